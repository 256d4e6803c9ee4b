"""Stand-ins for endpoints, clients and routers of the second review's cases.

They speak the packets and calls of the users' PROTOCOL.md. ``sum`` is a checksum of
their own; it is never 0, so a packet with ``sum`` 0 is a reset of the system's own.
"""

import socket
import struct
import threading
import time
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

from fleet_2 import HEARTBEAT_SECONDS, READY_PATH, Ports, Record, call

HEAD = struct.Struct(">BH2s4s2s4s4sIII")
SYN, ACK, FIN, RST, BOUNCED = 64, 4, 128, 8, 2
SPACE = 1 << 32
# How far from a client's last ack the seq of a reset of an open flow may be.
RESET_SPAN = 76_800


@dataclass(frozen=True)
class Packet:
    """One packet; ``source`` and ``destination`` are (address, port)."""

    flags: int
    source: tuple[str, int]
    destination: tuple[str, int]
    sequence: int
    acknowledgement: int
    data: bytes = b""
    total: int = 0

    def encode(self) -> bytes:
        """Return the packet on the wire, with its ``sum``."""
        ends = (
            self.source[1].to_bytes(2, "big"),
            socket.inet_aton(self.source[0]),
            self.destination[1].to_bytes(2, "big"),
            socket.inet_aton(self.destination[0]),
        )
        total = zlib.crc32(b"".join(ends) + self.data + bytes((self.flags,))) or 1
        return (
            HEAD.pack(
                self.flags,
                len(self.data),
                *ends,
                bytes(4),
                total,
                self.sequence % SPACE,
                self.acknowledgement % SPACE,
            )
            + self.data
        )


def decode(raw: bytes) -> Packet:
    """Return the packet of a datagram."""
    flags, size, sport, src, dport, dst, _, total, seq, ack = HEAD.unpack_from(raw)
    return Packet(
        flags,
        (socket.inet_ntoa(src), int.from_bytes(sport, "big")),
        (socket.inet_ntoa(dst), int.from_bytes(dport, "big")),
        seq,
        ack,
        raw[HEAD.size : HEAD.size + size],
        total,
    )


@dataclass
class EndpointFlow:
    """One flow at an endpoint; numbers are those of the packets."""

    initial: int
    next_sequence: int
    expected: int
    is_open: bool = False
    opened_at: float = 0.0
    last_answer: list[bytes] = field(default_factory=list)


class Endpoint:
    """One incarnation of an endpoint beside an agent.

    ``work_seconds`` is how long a request takes; ``first_sequence`` the ``Seq`` of its
    first heartbeat, which it sends ``first_delay`` seconds after its start.
    """

    def __init__(
        self,
        record: Record,
        ports: Ports,
        ip: str,
        zone: str,
        service: str,
        name: str,
        work_seconds: float = 0.015,
        first_sequence: int = 1,
        first_delay: float = 0.0,
    ) -> None:
        self.ip, self.zone, self.service, self.name = ip, zone, service, name
        self.work_seconds = work_seconds
        self.state = "ready"
        self.runs: list[str] = []
        self.flows: dict[tuple[str, int], EndpointFlow] = {}
        self.acknowledged: list[tuple[float, int, str]] = []
        self._record, self._ports = record, ports
        self._sequence = first_sequence
        self._first_delay = first_delay
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._free_at = 0.0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((ip, ports.app))
        self._socket.settimeout(0.1)
        for function in (self._serve, self._beat):
            threading.Thread(target=function, daemon=True).start()

    def stop(self) -> None:
        """End the endpoint; it discards its flows."""
        self._stopping.set()
        time.sleep(0.15)
        self._socket.close()
        self._record.write(f"endpoint {self.name} has ended")

    def _beat(self) -> None:
        self._stopping.wait(self._first_delay)
        while not self._stopping.is_set():
            started_at = time.monotonic()
            body = {
                "Service": self.service,
                "Address": f"{self.ip}:{self._ports.app}",
                "Zone": self.zone,
                "Version": "v1",
                "Slots": 1,
                "State": self.state,
                "WarmupLeftMs": 0,
                "Seq": self._sequence,
            }
            path = f"/-/instances/{self.name}/heartbeat"
            address = f"{self.ip}:{self._ports.control}"
            status, _, _ = call(address, "POST", path, body)
            self._record.write(
                f"heartbeat of {self.name} Seq {self._sequence} {self.state}:"
                f" {status or 'no answer'}"
            )
            if status == 200:
                self.acknowledged.append((time.monotonic(), self._sequence, self.state))
            self._sequence += 1
            left = HEARTBEAT_SECONDS - (time.monotonic() - started_at)
            self._stopping.wait(max(0.05, left))

    def _serve(self) -> None:
        while not self._stopping.is_set():
            try:
                raw, _ = self._socket.recvfrom(65_535)
            except TimeoutError:
                continue
            except OSError:
                return
            for answer in self._answer(raw):
                self._send(answer)

    def _send(self, raw: bytes) -> None:
        if not self._stopping.is_set():
            self._socket.sendto(raw, (self.ip, self._ports.outbound))

    def _answer(self, raw: bytes) -> list[bytes]:
        packet = decode(raw)
        flow = self.flows.get(packet.source)
        if packet.flags & SYN:
            return [self._open(packet, flow)]
        if flow is None or not self._belongs(packet, flow):
            self._record.write(f"{self.name} bounces a packet of {packet.source}")
            return [bytes((raw[0] | BOUNCED,)) + raw[1:]]
        if not flow.is_open:
            # The endpoint has the end of the handshake.
            flow.is_open, flow.opened_at = True, time.monotonic()
        if packet.flags & RST:
            del self.flows[packet.source]
            return []
        if not packet.data:
            return []
        if packet.sequence != flow.expected:
            return flow.last_answer
        flow.expected = (flow.expected + len(packet.data)) % SPACE
        self._work(packet, flow)
        return []

    def _open(self, packet: Packet, flow: EndpointFlow | None) -> bytes:
        if flow is None or flow.expected != (packet.sequence + 1) % SPACE:
            initial = zlib.crc32(f"{self.name}{packet.source}".encode())
            flow = EndpointFlow(initial, (initial + 1) % SPACE, packet.sequence + 1)
            self.flows[packet.source] = flow
        return Packet(
            SYN | ACK, packet.destination, packet.source, flow.initial, flow.expected
        ).encode()

    @staticmethod
    def _belongs(packet: Packet, flow: EndpointFlow) -> bool:
        ahead = (packet.acknowledgement - flow.initial - 1) % SPACE
        return ahead <= (flow.next_sequence - flow.initial - 1) % SPACE

    def _work(self, packet: Packet, flow: EndpointFlow) -> None:
        """Run a request once the slot is free, and answer it."""
        name = packet.data.partition(b"X-Request-Id: ")[2].partition(b"\r")[0].decode()
        now = time.monotonic()
        with self._lock:
            start = max(now, self._free_at)
            self._free_at = start + self.work_seconds
            end = self._free_at

        def finish() -> None:
            time.sleep(max(0.0, end - time.monotonic()))
            self.runs.append(name)
            self._record.write(f"{self.name} has run {name}")
            body = f"{self.service} {name} {self.name}".encode()
            head = (
                "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            ).encode()
            answer = Packet(
                ACK,
                packet.destination,
                packet.source,
                flow.next_sequence,
                flow.expected,
                head + body,
            ).encode()
            flow.next_sequence = (flow.next_sequence + len(head + body)) % SPACE
            flow.last_answer = [answer]
            self._send(answer)

        threading.Thread(target=finish, daemon=True).start()


class Router:
    """Choose balancers as the platform does: those that are ready, by a hash."""

    def __init__(self, record: Record, ports: Ports, balancers: list[str]) -> None:
        self._record, self._ports, self._balancers = record, ports, balancers
        self._missed = dict.fromkeys(balancers, 2)
        self._stopping = threading.Event()
        for ip in balancers:
            threading.Thread(target=self._probe, args=(ip,), daemon=True).start()

    def stop(self) -> None:
        """End the probes."""
        self._stopping.set()

    def list_rotation(self) -> list[str]:
        """Return the balancers in rotation."""
        return [ip for ip in self._balancers if self._missed[ip] < 2]

    def choose(self, key: bytes) -> str:
        """Return the balancer of a flow: only the flows of a lost one move."""
        candidates = self.list_rotation() or self._balancers
        return max(candidates, key=lambda ip: zlib.crc32(key + ip.encode()))

    def _probe(self, ip: str) -> None:
        while not self._stopping.wait(0.5):
            status, _, _ = call(f"{ip}:{self._ports.ready}", "GET", READY_PATH)
            was_in = self._missed[ip] < 2
            self._missed[ip] = 0 if status == 200 else self._missed[ip] + 1
            if was_in != (self._missed[ip] < 2):
                word = "leaves" if was_in else "joins"
                self._record.write(f"router: {ip} {word} the rotation")


@dataclass
class Result:
    """How one try of a request ended; ``kind`` is answer, reset or silence."""

    kind: str
    text: str = ""


class Client:
    """The flows of one client address; packets go through the router."""

    def __init__(self, record: Record, ports: Ports, router: Router, ip: str) -> None:
        self.ip = ip
        self._record, self._ports, self._router = record, ports, router
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((ip, ports.packets))
        self._waiting: dict[int, Callable[[Packet], None]] = {}
        threading.Thread(target=self._receive, daemon=True).start()

    def open(self, port: int, vip: tuple[str, int]) -> "Flow":
        """Return a new flow from a port; ``connect`` opens it."""
        flow = Flow(self, port, vip, self._record)
        self._waiting[port] = flow.take
        return flow

    def send(self, packet: Packet) -> str:
        """Send a packet to the balancer that the router chooses."""
        raw = packet.encode()
        balancer = self._router.choose(raw[3:15])
        self._socket.sendto(raw, (balancer, self._ports.packets))
        return balancer

    def _receive(self) -> None:
        while True:
            try:
                packet = decode(self._socket.recv(65_535))
            except OSError:
                return
            take = self._waiting.get(packet.destination[1])
            if take is not None:
                take(packet)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()


class Flow:
    """One flow of a client, with one request at a time."""

    def __init__(
        self, client: Client, port: int, vip: tuple[str, int], record: Record
    ) -> None:
        self.source, self.vip = (client.ip, port), vip
        self.is_connected = self.is_open = False
        self.resets: list[tuple[float, int, int]] = []
        self._client, self._record = client, record
        self._sequence = zlib.crc32(repr(self.source).encode())
        self._acknowledgement = 0
        self._event = threading.Event()
        self._answer = b""

    def take(self, packet: Packet) -> None:
        """Handle a packet for this flow."""
        if packet.flags & RST:
            kind = "of the system" if packet.total == 0 else "of the endpoint"
            self._record.write(
                f"client {self.source}: reset {kind}, seq {packet.sequence},"
                f" last ack {self._acknowledgement}, open {self.is_open}"
            )
            self.resets.append((time.monotonic(), packet.sequence, packet.total))
            distance = (packet.sequence - self._acknowledgement) % SPACE
            is_near = min(distance, SPACE - distance) <= RESET_SPAN
            if is_near or not self.is_connected:
                self._event.set()
        elif packet.flags & SYN:
            if self._acknowledgement == 0:
                self._acknowledgement = (packet.sequence + 1) % SPACE
                self._event.set()
        elif packet.data and packet.sequence == self._acknowledgement:
            self._acknowledgement += len(packet.data)
            self._acknowledgement %= SPACE
            self._answer = packet.data
            self._event.set()

    def connect(self, seconds: float = 1.4) -> bool:
        """Open the flow; copies of the SYN follow after 0.2 s and 0.6 s."""
        started_at = time.monotonic()
        for copy, due in enumerate((0.0, 0.2, 0.6, seconds)):
            left = started_at + due - time.monotonic()
            if copy and self._event.wait(max(0.0, left)):
                break
            if copy == 3:
                return False
            syn = Packet(SYN, self.source, self.vip, self._sequence, copy)
            balancer = self._client.send(syn)
            self._record.write(f"client {self.source}: SYN {copy} to {balancer}")
        if self.resets:
            return False
        self.is_connected = True
        self._sequence = (self._sequence + 1) % SPACE
        return True

    def confirm(self) -> None:
        """Send the end of the handshake without a request."""
        self._client.send(
            Packet(ACK, self.source, self.vip, self._sequence, self._acknowledgement)
        )

    def ask(self, name: str, seconds: float) -> Result:
        """Send one request; return its result within ``seconds``."""
        data = f"POST /r HTTP/1.1\r\nX-Request-Id: {name}\r\n\r\n".encode()
        packet = Packet(
            ACK, self.source, self.vip, self._sequence, self._acknowledgement, data
        )
        self._event.clear()
        self._answer = b""
        known_resets = len(self.resets)
        deadline = time.monotonic() + seconds
        pause = 0.2
        while (left := deadline - time.monotonic()) > 0:
            balancer = self._client.send(packet)
            self._record.write(f"client {self.source}: request {name} to {balancer}")
            if self._event.wait(min(pause, left)):
                break
            pause = min(2 * pause, 1.6)
        if self._answer:
            self._sequence = (self._sequence + len(data)) % SPACE
            text = self._answer.rpartition(b"\r\n\r\n")[2].decode()
            self.is_open = True
            self._record.write(f"client {self.source}: answer to {name}: {text}")
            ack = Packet(
                ACK, self.source, self.vip, self._sequence, self._acknowledgement
            )
            self._client.send(ack)
            return Result("answer", text)
        if len(self.resets) > known_resets:
            return Result("reset")
        self._record.write(f"client {self.source}: no answer to {name}")
        return Result("silence")
