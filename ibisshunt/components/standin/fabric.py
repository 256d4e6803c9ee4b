"""Simulate the fabric and the callers whose packets it forwards."""

from collections import Counter
from collections.abc import Callable, Sequence
from typing import Final

import gevent
from gevent import socket
from gevent.event import AsyncResult

from ...const import MAX_DATAGRAM_BYTES
from ...model.address import Address
from .segments import ACK, FIN, PUSH, RST, SYN, Segment, build_packet, parse_packet

REPLY_TIMEOUT_SECONDS: Final = 1.0
MAX_ATTEMPTS: Final = 4


class FlowBrokenError(Exception):
    """Raised when a flow got a reset or no reply."""


class Fabric:
    """Send packets to balancers, chosen by ``choose``, and replies to their callers."""

    def __init__(
        self,
        reply_address: Address,
        balancers: Sequence[Address],
        choose: Callable[[Sequence[Address]], Address],
    ) -> None:
        self.balancers = tuple(balancers)
        self.sent_counts: Counter[Address] = Counter()
        self._choose = choose
        self._pending_replies: dict[tuple[Address, Address], AsyncResult] = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(reply_address.as_pair())
        self.reply_address = Address(*self._socket.getsockname())
        self._task = gevent.spawn(self._run)

    def close(self) -> None:
        """Release the socket."""
        self._task.kill()
        self._socket.close()

    def send(self, data: bytes) -> None:
        """Send a packet to one balancer."""
        balancer = self._choose(self.balancers)
        self.sent_counts[balancer] += 1
        self._socket.sendto(data, balancer.as_pair())

    def exchange(self, segment: Segment) -> Segment:
        """Send a segment until a reply arrives; raise FlowBrokenError if none does."""
        pair = (segment.source, segment.destination)
        for _ in range(MAX_ATTEMPTS):
            self._pending_replies[pair] = AsyncResult()
            self.send(build_packet(segment))
            try:
                return self._pending_replies[pair].get(timeout=REPLY_TIMEOUT_SECONDS)
            except gevent.Timeout:
                continue
            finally:
                self._pending_replies.pop(pair, None)
        raise FlowBrokenError(f"no reply to {segment.source}")

    def _run(self) -> None:
        while True:
            data, _ = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            segment = parse_packet(data)
            if segment is None:
                continue
            pending = self._pending_replies.get((segment.destination, segment.source))
            if pending is not None and not pending.ready():
                pending.set(segment)


class Caller:
    """Run one TCP flow of a simulated caller."""

    def __init__(self, fabric: Fabric, source: Address, service: Address) -> None:
        self._fabric = fabric
        self._source = source
        self._service = service
        self._sequence = 1
        self._acknowledgment = 0

    def open(self) -> None:
        """Open the flow with a SYN; raise FlowBrokenError when it is refused."""
        reply = self._send_segment(SYN, b"", 1)
        if not reply.has_flag(SYN):
            raise FlowBrokenError(f"flow from {self._source} refused")

    def send_request(self, payload: bytes) -> bytes:
        """Send data and return the reply; raise FlowBrokenError on a reset."""
        return self._send_segment(ACK | PUSH, payload, len(payload)).payload

    def close(self) -> None:
        """Close the flow with a FIN."""
        self._send_segment(FIN | ACK, b"", 1)

    def _send_segment(self, flags: int, payload: bytes, consumed: int) -> Segment:
        segment = Segment(
            self._source,
            self._service,
            self._sequence,
            self._acknowledgment,
            flags,
            payload,
        )
        reply = self._fabric.exchange(segment)
        if reply.has_flag(RST):
            raise FlowBrokenError(f"flow from {self._source} got a reset")
        self._sequence += consumed
        flag_length = 1 if reply.has_flag(SYN) or reply.has_flag(FIN) else 0
        self._acknowledgment = reply.sequence + len(reply.payload) + flag_length
        return reply
