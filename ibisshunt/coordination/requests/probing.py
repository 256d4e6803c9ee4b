"""Decide when an agent asks another one for requests."""

from collections.abc import Callable
from typing import Final

from .sharing import Sharing

FIRST_PAUSE_SECONDS: Final = 0.02
LONGEST_PAUSE_SECONDS: Final = 1.0
# A request that is being handed over arrives within this time, in seconds.
ARRIVAL_SECONDS: Final = 0.01


class Probing:
    """Choose whom to ask, and how often.

    The loads that other messages bring tell an idle agent whom to ask at once. Without
    any it asks at random, ever more rarely; an agent with a queue tells its load now
    and then so that an idle one learns of it.
    """

    def __init__(self, sharing: Sharing) -> None:
        self._sharing = sharing
        self._next_time = 0.0
        self._hold_deadline = 0.0
        self._pause = FIRST_PAUSE_SECONDS

    def choose(
        self,
        known: tuple[int, ...],
        idle: bool,
        queued: int,
        draw: Callable[[], float],
        now: float,
    ) -> int | None:
        """Return the agent to call, or None for the time being."""
        if not known or not (idle or queued) or now < self._hold_deadline:
            return None
        longest = self._sharing.find_longest(now) if idle else None
        if longest is not None:
            self._pause = FIRST_PAUSE_SECONDS
            return longest
        if now < self._next_time:
            return None
        slower = min(LONGEST_PAUSE_SECONDS, self._pause * 2)
        self._pause = FIRST_PAUSE_SECONDS if queued else slower
        self._next_time = now + self._pause
        return known[int(draw() * len(known))]

    def note_reply(self, count: int, now: float) -> None:
        """Wait for what is being handed over before asking for more."""
        if count:
            self._hold_deadline = now + ARRIVAL_SECONDS
