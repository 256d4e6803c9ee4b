"""Pull requests from other agents while this one is idle."""

from collections.abc import Callable
from random import random

import gevent

from ...coordination.requests.load_sharing import LoadSharing
from ...coordination.requests.pull_schedule import PullSchedule
from .peers import Peers


class RequestPuller:
    """Run the calls that pull requests, one at a time."""

    def __init__(
        self,
        peers: Peers,
        load_sharing: LoadSharing,
        is_idle: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self._peers = peers
        self._schedule = PullSchedule(load_sharing)
        self._is_idle = is_idle
        self._clock = clock
        self._is_pulling = False

    def pull_when_due(self, queued: int) -> None:
        """Call an agent if a pull is due: to get requests or to report the queue."""
        if self._is_pulling:
            return
        peers, idle = self._peers.list_peers(), self._is_idle()
        peer = self._schedule.choose_peer(peers, idle, queued, random, self._clock())
        if peer is not None:
            self.start_pull(peer)

    def start_pull(self, peer: int) -> None:
        """Pull from an agent, unless a call is in progress."""
        if not self._is_pulling:
            self._is_pulling = True
            gevent.spawn(self._pull, peer)

    def _pull(self, peer: int) -> None:
        try:
            count = self._peers.pull(peer, self._is_idle())
            self._schedule.record_reply(count, self._clock())
        finally:
            self._is_pulling = False
