"""Send and receive typed messages between nodes as datagrams."""

from collections.abc import Callable, Collection, Iterator
from typing import Any

import msgspec

from ...coordination.directory.messages import (
    Chunk,
    FetchChunks,
    Hello,
    HelloReply,
    Leave,
    Subscribe,
    UpdateNotice,
)
from ...coordination.forwarding.messages import (
    AggregatedAnswers,
    CheckpointEntries,
    Deliver,
    FlowAnswer,
    FlowLocations,
    LocationQuery,
    Ping,
    Pong,
    RecoveryReply,
    RecoveryRequest,
    RejectedPacket,
    RelayedQuery,
    RelayRequest,
    Status,
)
from ...helpers.datagrams import DatagramSocket
from ...helpers.logging import warn_event
from ...helpers.samples import Sample
from ...model.address import Address
from .message_counts import MessageCounts

Message = (
    Deliver
    | RejectedPacket
    | RelayRequest
    | RelayedQuery
    | FlowAnswer
    | AggregatedAnswers
    | LocationQuery
    | FlowLocations
    | Status
    | Hello
    | HelloReply
    | Leave
    | Subscribe
    | UpdateNotice
    | FetchChunks
    | Chunk
    | Ping
    | Pong
    | CheckpointEntries
    | RecoveryRequest
    | RecoveryReply
)
Handler = Callable[[str, Any], None]


class InternalSocket:
    """Exchange messages with other nodes over one socket.

    All nodes use the same port, so that an address identifies a node.
    """

    def __init__(self, address: Address) -> None:
        self._socket = DatagramSocket(address)
        self._port = address.port
        self._handlers: dict[type, Handler] = {}
        self._encode = msgspec.msgpack.Encoder().encode
        self._decode = msgspec.msgpack.Decoder(Message).decode
        self.unreadable_datagrams = 0
        self.unsent_datagrams = 0
        self._sent = MessageCounts("sent")
        self._received = MessageCounts("received")

    def register_handler(self, message_class: type, handler: Handler) -> None:
        """Call ``handler`` with the sender's IPv4 address and each such message."""
        self._handlers[message_class] = handler

    def send(self, address: str, message: Any) -> None:
        """Send a message without waiting; it is lost if the system rejects it."""
        self.send_all((address,), message)

    def send_all(self, addresses: Collection[str], message: Any) -> None:
        """Send one message to many nodes, as ``send`` does."""
        data = self._encode(message)
        self._sent.add(type(message), len(addresses), len(data))
        for address in addresses:
            try:
                self._socket.send_to(data, (address, self._port))
            except OSError as error:
                # Datagrams may be lost anyway, and each sender repeats its messages by
                # its own timers; the count shows if it happens often.
                self._record_unsent(address, error)

    def _record_unsent(self, address: str, error: OSError) -> None:
        self.unsent_datagrams += 1
        if self.unsent_datagrams & (self.unsent_datagrams - 1) == 0:
            warn_event(
                "datagram_unsent",
                peer=address,
                error=error,
                count=self.unsent_datagrams,
            )

    def list_samples(self) -> Iterator[Sample]:
        """Yield the samples of the metrics page."""
        yield from self._sent.list_samples()
        yield from self._received.list_samples()

    def run(self) -> None:
        """Serve until killed."""
        self._socket.serve(self._handle_datagram)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def _handle_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        try:
            message = self._decode(data)
        except msgspec.DecodeError as error:
            self.unreadable_datagrams += 1
            if self.unreadable_datagrams & (self.unreadable_datagrams - 1) == 0:
                warn_event(
                    "datagram_unreadable",
                    peer=sender[0],
                    error=error,
                    count=self.unreadable_datagrams,
                )
            return
        self._received.add(type(message), 1, len(data))
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(sender[0], message)
