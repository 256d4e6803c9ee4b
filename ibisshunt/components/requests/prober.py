"""Call other agents for requests that this one could run."""

from collections.abc import Callable
from random import random

import gevent

from ...coordination.requests.probing import Probing
from ...coordination.requests.sharing import Sharing
from .peers import Peers


class Prober:
    """Own the calls that pull requests; one runs at a time."""

    def __init__(
        self,
        peers: Peers,
        sharing: Sharing,
        is_idle: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self._peers = peers
        self._probing = Probing(sharing)
        self._is_idle = is_idle
        self._clock = clock
        self._pulling = False

    def probe(self, queued: int) -> None:
        """Ask for work when idle, tell of work when requests wait."""
        if self._pulling:
            return
        known, idle = self._peers.list_known(), self._is_idle()
        peer = self._probing.choose(known, idle, queued, random, self._clock())
        if peer is not None:
            self.start_pull(peer)

    def start_pull(self, peer: int) -> None:
        """Ask one agent, unless a call is under way."""
        if not self._pulling:
            self._pulling = True
            gevent.spawn(self._pull, peer)

    def _pull(self, peer: int) -> None:
        try:
            count = self._peers.pull(peer, self._is_idle())
            self._probing.note_reply(count, self._clock())
        finally:
            self._pulling = False
