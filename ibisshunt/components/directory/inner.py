"""Send and receive typed messages between nodes as datagrams."""

from collections.abc import Callable, Collection, Iterator
from typing import Any

import msgspec

from ...coordination.directory.messages import (
    Fetch,
    Hello,
    Introduce,
    Leave,
    Notice,
    Piece,
    Welcome,
)
from ...coordination.forwarding.messages import (
    Deliver,
    Gathered,
    Known,
    Noted,
    OnBehalf,
    Ping,
    Pong,
    Recall,
    Recalled,
    Relay,
    Returned,
    Seek,
    Status,
    Told,
)
from ...helpers.datagrams import DatagramSocket
from ...helpers.logging import warn_event
from ...helpers.samples import Sample
from ...model.address import Address
from .message_counts import MessageCounts

Message = (
    Deliver
    | Returned
    | Relay
    | OnBehalf
    | Told
    | Gathered
    | Seek
    | Known
    | Status
    | Hello
    | Welcome
    | Leave
    | Introduce
    | Notice
    | Fetch
    | Piece
    | Ping
    | Pong
    | Noted
    | Recall
    | Recalled
)
Handler = Callable[[str, Any], None]


class InnerSocket:
    """Own the socket at which other nodes reach this one.

    All nodes use the same port, so that an address names a node.
    """

    def __init__(self, address: Address) -> None:
        self._socket = DatagramSocket(address)
        self._port = address.port
        self._handlers: dict[type, Handler] = {}
        self._encode = msgspec.msgpack.Encoder().encode
        self._decode = msgspec.msgpack.Decoder(Message).decode
        self.unreadable = 0
        self.unsent = 0
        self._sent = MessageCounts("sent")
        self._received = MessageCounts("received")

    def handle(self, kind: type, handler: Handler) -> None:
        """Call ``handler`` with the sender's IPv4 address and each such message."""
        self._handlers[kind] = handler

    def send(self, peer: str, message: Any) -> None:
        """Send a message without waiting; what the system refuses is lost."""
        self.send_all((peer,), message)

    def send_all(self, peers: Collection[str], message: Any) -> None:
        """Send one message to many nodes, as ``send`` does."""
        data = self._encode(message)
        self._sent.add(type(message), len(peers), len(data))
        for peer in peers:
            try:
                self._socket.send_to(data, (peer, self._port))
            except OSError as error:
                # Datagrams get lost anyway and every message is sent again by its
                # sender's timers; the count tells when it happens often.
                self._note_unsent(peer, error)

    def _note_unsent(self, peer: str, error: OSError) -> None:
        self.unsent += 1
        if self.unsent & (self.unsent - 1) == 0:
            warn_event("datagram_unsent", peer=peer, error=error, count=self.unsent)

    def list_samples(self) -> Iterator[Sample]:
        """Yield the samples of the metrics page."""
        yield from self._sent.list_samples()
        yield from self._received.list_samples()

    def run(self) -> None:
        """Serve until killed."""
        self._socket.serve(self._take)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def _take(self, data: bytes, sender: tuple[str, int]) -> None:
        try:
            message = self._decode(data)
        except msgspec.DecodeError as error:
            self.unreadable += 1
            if self.unreadable & (self.unreadable - 1) == 0:
                warn_event(
                    "datagram_unreadable",
                    peer=sender[0],
                    error=error,
                    count=self.unreadable,
                )
            return
        self._received.add(type(message), 1, len(data))
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(sender[0], message)
