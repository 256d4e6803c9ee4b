"""Keep the flows of a balancer on control hosts, and fetch them after a start."""

from collections.abc import Callable
from zlib import crc32

import gevent

from ...coordination.forwarding.balancer import Balancer
from ...coordination.forwarding.messages import Noted, Recalled
from ...coordination.forwarding.restart.recollection import Recollection
from ...helpers.clock import read_clock
from ...helpers.logging import log_event
from ..directory.inner import InnerSocket

# How often entries are sent; flows that opened since are not known after an outage.
SEND_SECONDS = 0.25
# How often it is looked at who has yet to tell the former run's flows.
ASK_SECONDS = 0.02


class CheckpointTask:
    """Own the exchange of one balancer's flow entries with control hosts.

    ``list_control`` returns the control hosts to ask, ``list_heard`` those that were
    heard lately. Entries are kept by one control host more than ``losses``, the disks
    that may be lost together with all power.
    """

    def __init__(
        self,
        address: str,
        balancer: Balancer,
        inner: InnerSocket,
        list_control: Callable[[], list[str]],
        list_heard: Callable[[], list[str]],
        losses: int,
    ) -> None:
        self._address = address
        self._balancer = balancer
        self._inner = inner
        self._list_control = list_control
        self._list_heard = list_heard
        self._copies = losses + 1
        self._recollection = Recollection(read_clock())
        inner.handle(Recalled, self._take_recalled)

    def run_sending(self) -> None:
        """Send entries until killed."""
        while True:
            gevent.sleep(SEND_SECONDS)
            self.send()

    def send(self) -> None:
        """Send all entries that are not sent yet."""
        self._balancer.state.note_flows(read_clock())
        keepers = self._choose_keepers()
        while keepers and (entries := self._balancer.state.checkpoint.take()):
            self._inner.send_all(keepers, Noted(entries))

    def run_asking(self) -> None:
        """Ask for the flows of the former run until that is over."""
        while not self._recollection.is_over(read_clock()):
            self.ask()
            gevent.sleep(ASK_SECONDS)

    def ask(self) -> None:
        """Ask the control hosts that have not told everything."""
        asked = self._recollection.ask(
            self._list_control(), read_clock(), self._list_heard()
        )
        for peer, question in asked:
            self._inner.send(peer, question)

    def _choose_keepers(self) -> list[str]:
        """Return control hosts, others for each balancer, to share the work."""
        heard = self._list_heard()
        own = self._address.encode()
        heard.sort(key=lambda control: crc32(own + control.encode()))
        return heard[: self._copies]

    def _take_recalled(self, peer: str, message: Recalled) -> None:
        now = read_clock()
        entries = self._recollection.take(peer, message, now)
        if not entries:
            return
        self._balancer.take_former(entries, now)
        if message.first + len(entries) >= message.total:
            log_event("flows_recalled", peer=peer, flows=message.total)
        self.ask()
