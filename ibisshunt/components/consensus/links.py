"""Send envelopes to the other hosts over one connection and task per host."""

from collections.abc import Callable
from typing import Any

from ...coordination.consensus import Envelope
from ...exceptions import RpcError
from ...helpers.logging import log_event, warn_event
from ...helpers.mailbox import Mailbox
from ...model.address import Address
from ...protocol.channel import RpcChannel
from ...protocol.consensus import EXCHANGE, ExchangeRequest, PackedEnvelope, pack

EXCHANGE_TIMEOUT_SECONDS = 2.0
MAX_BATCH_ENVELOPES = 256
MAX_BATCH_BYTES = 4 * 1024 * 1024
MAX_QUEUED_ENVELOPES = 1_024

ChannelFactory = Callable[[Address], RpcChannel]
Spawn = Callable[..., Any]


class Link:
    """Send envelopes over the connection to one host.

    Calls run one at a time; envelopes queued meanwhile are batched into the next call.
    A failed call drops its envelopes: the consensus protocol tolerates message loss
    and sends again.
    """

    def __init__(self, address: Address, make_channel: ChannelFactory) -> None:
        self.address = address
        self.sent_bytes = 0
        self.lost_envelopes = 0
        self._mailbox: Mailbox[Envelope] = Mailbox(MAX_QUEUED_ENVELOPES)
        self._channel = make_channel(address)
        self.is_reachable = True

    def enqueue(self, envelope: Envelope) -> None:
        """Queue an envelope; drop it if the queue is full."""
        if not self._mailbox.send(envelope):
            self.lost_envelopes += 1

    def run(self) -> None:
        """Send queued envelopes until the task is killed."""
        while True:
            batch = self._receive_batch()
            try:
                request = ExchangeRequest(batch)
                self._channel.call(EXCHANGE, request, EXCHANGE_TIMEOUT_SECONDS)
            except RpcError as error:
                self.lost_envelopes += len(batch)
                self._record_reachability(False, error.fault.reason)
                continue
            self._record_reachability(True, "")

    def close(self) -> None:
        """Close the connection."""
        self._channel.close()

    def _receive_batch(self) -> tuple[PackedEnvelope, ...]:
        batch: list[PackedEnvelope] = []
        size = 0
        while len(batch) < MAX_BATCH_ENVELOPES and size < MAX_BATCH_BYTES:
            if batch and not len(self._mailbox):
                break
            envelope = self._mailbox.receive()
            if envelope is None:
                continue
            packed = pack(envelope)
            size += len(packed.body)
            batch.append(packed)
        self.sent_bytes += size
        return tuple(batch)

    def _record_reachability(self, reachable: bool, reason: str) -> None:
        if reachable == self.is_reachable:
            return
        self.is_reachable = reachable
        if reachable:
            log_event("control_host_reachable", peer=self.address)
        else:
            warn_event("control_host_unreachable", peer=self.address, reason=reason)


class Links:
    """Manage one link per address, each created on first use."""

    def __init__(
        self,
        find_address: Callable[[str], Address | None],
        make_channel: ChannelFactory,
        spawn: Spawn,
    ) -> None:
        self._find_address = find_address
        self._make_channel = make_channel
        self._spawn = spawn
        self._links: dict[Address, Link] = {}
        self._tasks: list[Any] = []

    def send(self, envelope: Envelope) -> None:
        """Queue an envelope for its receiver without blocking."""
        address = self._find_address(envelope.receiver)
        if address is None:
            return
        self.get_link(address).enqueue(envelope)

    def get_link(self, address: Address) -> Link:
        """Return the link to an address; create it if there is none."""
        if address not in self._links:
            link = Link(address, self._make_channel)
            self._links[address] = link
            self._tasks.append(self._spawn(f"link {address}", link.run))
        return self._links[address]

    def count_sent_bytes(self) -> int:
        """Return the total size of the messages sent, in bytes."""
        return sum(link.sent_bytes for link in self._links.values())

    def count_lost_envelopes(self) -> int:
        """Return how many envelopes this host dropped before or while sending."""
        return sum(link.lost_envelopes for link in self._links.values())

    def close(self) -> None:
        """Stop the tasks and close the connections."""
        for task in self._tasks:
            task.kill()
        for link in self._links.values():
            link.close()
