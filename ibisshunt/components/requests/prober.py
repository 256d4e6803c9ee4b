"""Look for requests that an idle agent could run."""

from collections.abc import Callable
from random import random
from typing import Final

import gevent

from ...coordination.requests.sharing import Sharing
from .peers import Peers

TICK_SECONDS: Final = 0.02
LONGEST_PAUSE_SECONDS: Final = 1.0


class Prober:
    """Own the calls that pull requests; one runs at a time.

    The loads that other messages bring tell an idle agent whom to ask. Without any it
    asks at random, ever more rarely; an agent with a queue tells its load so that an
    idle one learns of it.
    """

    def __init__(
        self, peers: Peers, sharing: Sharing, is_idle: Callable[[], bool]
    ) -> None:
        self._peers = peers
        self._sharing = sharing
        self._is_idle = is_idle
        self._pulling = False
        self._next_time = 0.0
        self._pause = TICK_SECONDS

    def probe(self, now: float, idle: bool, queued: int) -> None:
        """Ask for work when idle, tell of work when requests wait."""
        known = self._peers.list_known()
        if now < self._next_time or not known or not (idle or queued):
            return
        longest = self._sharing.find_longest(now) if idle else None
        useful = longest is not None or queued > 0
        slower = min(LONGEST_PAUSE_SECONDS, self._pause * 2)
        self._pause = TICK_SECONDS if useful else slower
        self._next_time = now + self._pause
        peer = longest if longest is not None else known[int(random() * len(known))]
        self.start_pull(peer)

    def start_pull(self, peer: int) -> None:
        """Ask one agent, unless a call is under way."""
        if not self._pulling:
            self._pulling = True
            gevent.spawn(self._pull, peer)

    def _pull(self, peer: int) -> None:
        try:
            self._peers.pull(peer, self._is_idle())
        finally:
            self._pulling = False
