"""Stand in for the fabric and the callers behind it."""

from collections import Counter
from collections.abc import Callable, Sequence
from typing import Final

import gevent
from gevent import socket
from gevent.event import AsyncResult

from ...const import MAX_DATAGRAM_BYTES
from ...model.address import Address
from .segments import ACK, FIN, PUSH, RST, SYN, Segment, build_packet, read_segment

ANSWER_SECONDS: Final = 1.0
ATTEMPTS: Final = 4


class FlowBrokenError(Exception):
    """Report that a flow got a reset or no answer."""


class Fabric:
    """Hand packets to any balancer and answers to their callers."""

    def __init__(
        self,
        replies: Address,
        balancers: Sequence[Address],
        choose: Callable[[Sequence[Address]], Address],
    ) -> None:
        self.balancers = tuple(balancers)
        self.handed: Counter[Address] = Counter()
        self._choose = choose
        self._waiting: dict[tuple[Address, Address], AsyncResult] = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(replies.as_pair())
        self.replies = Address(*self._socket.getsockname())
        self._task = gevent.spawn(self._run)

    def close(self) -> None:
        """Release the socket."""
        self._task.kill()
        self._socket.close()

    def send(self, data: bytes) -> None:
        """Hand a packet to one balancer."""
        balancer = self._choose(self.balancers)
        self.handed[balancer] += 1
        self._socket.sendto(data, balancer.as_pair())

    def ask(self, segment: Segment) -> Segment:
        """Send a segment until an answer comes; raise FlowBrokenError without one."""
        pair = (segment.source, segment.destination)
        for _ in range(ATTEMPTS):
            self._waiting[pair] = AsyncResult()
            self.send(build_packet(segment))
            try:
                return self._waiting[pair].get(timeout=ANSWER_SECONDS)
            except gevent.Timeout:
                continue
            finally:
                self._waiting.pop(pair, None)
        raise FlowBrokenError(f"no answer to {segment.source}")

    def _run(self) -> None:
        while True:
            data, _ = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            segment = read_segment(data)
            if segment is None:
                continue
            waiting = self._waiting.get((segment.destination, segment.source))
            if waiting is not None and not waiting.ready():
                waiting.set(segment)


class Caller:
    """Hold one TCP flow of a stand-in caller."""

    def __init__(self, fabric: Fabric, source: Address, service: Address) -> None:
        self._fabric = fabric
        self._source = source
        self._service = service
        self._sequence = 1
        self._acknowledgment = 0

    def open(self) -> None:
        """Make the handshake; raise FlowBrokenError when it is refused."""
        reply = self._exchange(SYN, b"", 1)
        if not reply.has(SYN):
            raise FlowBrokenError(f"{self._source} refused")

    def ask(self, payload: bytes) -> bytes:
        """Send data and return the answer; raise FlowBrokenError on a reset."""
        return self._exchange(ACK | PUSH, payload, len(payload)).payload

    def close(self) -> None:
        """End the flow."""
        self._exchange(FIN | ACK, b"", 1)

    def _exchange(self, flags: int, payload: bytes, consumed: int) -> Segment:
        segment = Segment(
            self._source,
            self._service,
            self._sequence,
            self._acknowledgment,
            flags,
            payload,
        )
        reply = self._fabric.ask(segment)
        if reply.has(RST):
            raise FlowBrokenError(f"{self._source} got a reset")
        self._sequence += consumed
        extra = 1 if reply.has(SYN) or reply.has(FIN) else 0
        self._acknowledgment = reply.sequence + len(reply.payload) + extra
        return reply
