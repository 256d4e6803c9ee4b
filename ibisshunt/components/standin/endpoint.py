"""Simulate a target: a tunnel endpoint with minimal TCP, and an HTTP server."""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, Final

import gevent
from gevent import socket
from gevent.pywsgi import WSGIServer

from ...const import MAX_DATAGRAM_BYTES
from ...model.address import Address
from .segments import ACK, FIN, PUSH, RST, SYN, Segment, build_packet, parse_packet

FIRST_SEQUENCE: Final = 1_000


class Endpoint:
    """Run the sockets of one simulated target.

    Packets to callers are sent to ``reply_address``. Connections are identified by
    caller and service address; a segment of an unknown connection is answered with a
    reset, as a kernel does.
    """

    def __init__(
        self,
        service: str,
        name: str,
        tunnel: Address,
        web: Address,
        reply_address: Address,
    ) -> None:
        self.service = service
        self.name = name
        self.counts: Counter[str] = Counter()
        self.connections: dict[tuple[Address, Address], int] = {}
        self._reply_address = reply_address
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(tunnel.as_pair())
        self.tunnel = Address(*self._socket.getsockname())
        self._web = WSGIServer(web.as_pair(), self._handle_http_request, log=None)
        self._web.start()
        self.web = Address(web.ip, self._web.server_port)
        self._task = gevent.spawn(self._run)

    def close(self) -> None:
        """Release the sockets."""
        self._task.kill()
        self._socket.close()
        self._web.stop(timeout=1)

    def _run(self) -> None:
        while True:
            data, _ = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            segment = parse_packet(data)
            if segment is None:
                self.counts["malformed"] += 1
                continue
            for reply in self._handle_segment(segment):
                self._socket.sendto(build_packet(reply), self._reply_address.as_pair())

    def _handle_segment(self, segment: Segment) -> Iterable[Segment]:
        pair = (segment.source, segment.destination)
        if segment.has_flag(SYN):
            self.counts["opened"] += 1
            self.connections[pair] = FIRST_SEQUENCE + 1
            yield self._make_reply(segment, SYN | ACK, FIRST_SEQUENCE, 1)
            return
        if segment.has_flag(RST):
            self.connections.pop(pair, None)
            return
        if pair not in self.connections:
            self.counts["reset"] += 1
            yield self._make_reply(segment, RST, segment.acknowledgment, 0)
            return
        if segment.payload:
            yield self._handle_request(segment, pair)
        if segment.has_flag(FIN):
            sequence = self.connections.pop(pair)
            self.counts["closed"] += 1
            yield self._make_reply(
                segment, FIN | ACK, sequence, len(segment.payload) + 1
            )

    def _handle_request(
        self, segment: Segment, pair: tuple[Address, Address]
    ) -> Segment:
        self.counts["answered"] += 1
        payload = f"{self.service} {self.name} ".encode() + segment.payload
        sequence = self.connections[pair]
        self.connections[pair] = sequence + len(payload)
        consumed = len(segment.payload)
        return self._make_reply(segment, ACK | PUSH, sequence, consumed, payload)

    @staticmethod
    def _make_reply(
        segment: Segment, flags: int, sequence: int, consumed: int, payload: bytes = b""
    ) -> Segment:
        return Segment(
            segment.destination,
            segment.source,
            sequence,
            segment.sequence + consumed,
            flags,
            payload,
        )

    def _handle_http_request(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        self.counts["requests"] += 1
        body = f"{self.service} {self.name} answers {environ['PATH_INFO']}\n".encode()
        length = ("Content-Length", str(len(body)))
        start_response("200 OK", [("Content-Type", "text/plain"), length])
        return [body]
