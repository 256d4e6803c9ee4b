"""Decide when an idle agent pulls requests from which other agent."""

from collections.abc import Callable
from typing import Final

from .load_sharing import LoadSharing

MIN_INTERVAL_SECONDS: Final = 0.02
MAX_INTERVAL_SECONDS: Final = 1.0
# Time in which a request that a pull has returned is expected to arrive.
TRANSFER_SECONDS: Final = 0.01


class PullSchedule:
    """Schedule the pulls of one agent.

    An idle agent pulls at once from the agent with the longest queue, if a load report
    has shown one. Otherwise it pulls from a random agent, at intervals that double. An
    agent with a queue also calls random agents, so that idle ones learn of its load.
    """

    def __init__(self, sharing: LoadSharing) -> None:
        self._sharing = sharing
        self._next_time = 0.0
        self._transfer_deadline = 0.0
        self._interval = MIN_INTERVAL_SECONDS

    def choose_peer(
        self,
        peers: tuple[int, ...],
        idle: bool,
        queued: int,
        random_fraction: Callable[[], float],
        now: float,
    ) -> int | None:
        """Return the agent to call now, or None."""
        if not peers or not (idle or queued) or now < self._transfer_deadline:
            return None
        longest = self._sharing.find_longest_queue(now) if idle else None
        if longest is not None:
            self._interval = MIN_INTERVAL_SECONDS
            return longest
        if now < self._next_time:
            return None
        doubled = min(MAX_INTERVAL_SECONDS, self._interval * 2)
        self._interval = MIN_INTERVAL_SECONDS if queued else doubled
        self._next_time = now + self._interval
        return peers[int(random_fraction() * len(peers))]

    def record_reply(self, count: int, now: float) -> None:
        """Pause after a reply that announces ``count`` requests, until they arrive."""
        if count:
            self._transfer_deadline = now + TRANSFER_SECONDS
