"""Send envelopes to the other hosts, one connection and task for each."""

from collections.abc import Callable
from typing import Any

from ...coordination.consensus import Envelope
from ...exceptions import RpcError
from ...helpers.logging import log_event, warn_event
from ...helpers.mailbox import Mailbox
from ...model.address import Address
from ...protocol.caller import Caller
from ...protocol.consensus import EXCHANGE, ExchangeRequest, Packed, pack

EXCHANGE_TIMEOUT_SECONDS = 2.0
MAX_BATCH_ENVELOPES = 256
MAX_BATCH_BYTES = 4 * 1024 * 1024
WAITING_ENVELOPES = 1_024

MakeChannel = Callable[[Address], Caller]
Spawn = Callable[..., Any]


class Link:
    """Own the connection to one host.

    Calls are made one after another: what waits meanwhile goes together in the next.
    A call that fails loses its envelopes, which the decisions expect and mend.
    """

    def __init__(self, address: Address, make_channel: MakeChannel) -> None:
        self.address = address
        self.sent_bytes = 0
        self.lost = 0
        self._mailbox: Mailbox[Envelope] = Mailbox(WAITING_ENVELOPES)
        self._channel = make_channel(address)
        self.is_reachable = True

    def deliver(self, envelope: Envelope) -> None:
        """Queue an envelope; lose it when too many wait."""
        if not self._mailbox.send(envelope):
            self.lost += 1

    def run(self) -> None:
        """Send until the task is killed."""
        while True:
            batch = self._gather()
            try:
                request = ExchangeRequest(batch)
                self._channel.call(EXCHANGE, request, EXCHANGE_TIMEOUT_SECONDS)
            except RpcError as error:
                self.lost += len(batch)
                self._note(False, error.fault.reason)
                continue
            self._note(True, "")

    def close(self) -> None:
        """Close the connection."""
        self._channel.close()

    def _gather(self) -> tuple[Packed, ...]:
        found: list[Packed] = []
        size = 0
        while len(found) < MAX_BATCH_ENVELOPES and size < MAX_BATCH_BYTES:
            if found and not len(self._mailbox):
                break
            envelope = self._mailbox.receive()
            if envelope is None:
                continue
            packed = pack(envelope)
            size += len(packed.body)
            found.append(packed)
        self.sent_bytes += size
        return tuple(found)

    def _note(self, reachable: bool, reason: str) -> None:
        if reachable == self.is_reachable:
            return
        self.is_reachable = reachable
        if reachable:
            log_event("control_host_reachable", peer=self.address)
        else:
            warn_event("control_host_unreachable", peer=self.address, reason=reason)


class Links:
    """Hold the links by address and make them when they are needed."""

    def __init__(
        self,
        find_address: Callable[[str], Address | None],
        make_channel: MakeChannel,
        spawn: Spawn,
    ) -> None:
        self._find_address = find_address
        self._make_channel = make_channel
        self._spawn = spawn
        self._links: dict[Address, Link] = {}
        self._tasks: list[Any] = []

    def deliver(self, envelope: Envelope) -> None:
        """Send an envelope without waiting."""
        address = self._find_address(envelope.receiver)
        if address is None:
            return
        self.find(address).deliver(envelope)

    def find(self, address: Address) -> Link:
        """Return the link to an address."""
        if address not in self._links:
            link = Link(address, self._make_channel)
            self._links[address] = link
            self._tasks.append(self._spawn(f"link {address}", link.run))
        return self._links[address]

    def count_sent_bytes(self) -> int:
        """Return the bytes of all messages sent."""
        return sum(link.sent_bytes for link in self._links.values())

    def count_lost(self) -> int:
        """Return how many envelopes were lost on this side."""
        return sum(link.lost for link in self._links.values())

    def close(self) -> None:
        """End the tasks and connections."""
        for task in self._tasks:
            task.kill()
        for link in self._links.values():
            link.close()
