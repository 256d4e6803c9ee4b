"""Caller in the simulation."""

from dataclasses import dataclass, field

from msgspec.structs import replace

from ibisshunt.coordination.forwarding.segment import Segment
from tests.forwarding_world import VIP
from tests.races.target import ANSWER
from tests.races.timing import (
    LAST_SYN_COPY_SECONDS,
    MAX_PAUSES_SECONDS,
    REQUEST_TIMEOUT_SECONDS,
    RETRANSMISSION_SECONDS,
    SYN_COPY_SECONDS,
)

REQUEST = b"GET / HTTP/1.1\r\n\r\n"


@dataclass
class Connection:
    """State of a flow at its caller."""

    key: bytes
    sequence: int
    target_first_sequence: int | None = None
    acknowledgement: int = 0
    received: set = field(default_factory=set)
    is_waiting: bool = False
    is_closed: bool = False
    last_sent_at: float = 0.0
    # Length of the pause before the last request.
    pause_seconds: float = 0.0


class Caller:
    """Caller that keeps one flow open for many requests, with pauses between them."""

    def __init__(self, world, number):
        self.world = world
        self.address = bytes((100, 64, number // 250, number % 250))
        self.port = 1024
        self.connection = None
        world.call_later(world.random.uniform(0, 1), self.open)

    def open(self):
        self.port += 1
        key = self.address + self.port.to_bytes(2, "big") + VIP
        self.connection = Connection(key, self.world.random.randrange(1 << 32))
        self.world.connections[key] = self, self.connection
        self.world.trace(key, "opened", "caller", "")
        self.send_syn(self.connection, 0)

    def send_syn(self, connection, copy_number):
        if connection.target_first_sequence is not None or connection.is_closed:
            return
        syn_age = (0.0, *SYN_COPY_SECONDS)[copy_number]
        packet = Segment(
            connection.key,
            b"",
            b"",
            connection.sequence,
            0,
            is_syn=True,
            syn_age=syn_age,
        )
        self.world.send_packet(packet)
        if copy_number:
            self.world.trace(connection.key, "SYN copy", "caller", "")
        if copy_number < len(SYN_COPY_SECONDS):
            pause = SYN_COPY_SECONDS[copy_number] - syn_age
            self.world.call_later(pause, self.send_syn, connection, copy_number + 1)
        else:
            self.world.call_later(LAST_SYN_COPY_SECONDS, self.give_up_syn, connection)

    def give_up_syn(self, connection):
        if connection.target_first_sequence is None and not connection.is_closed:
            self.open_another(connection)

    def open_another(self, connection):
        connection.is_closed = True
        self.world.call_later(self.world.random.uniform(0, 0.05), self.open)

    def handle_packet(self, connection, segment):
        if connection.is_closed:
            return
        if segment.is_rst:
            self.open_another(connection)
            return
        if segment.is_fin:
            connection.acknowledgement = segment.sequence + 1
            self.send(connection, b"")
            self.close(connection)
            return
        if segment.is_syn and connection.target_first_sequence is None:
            connection.target_first_sequence = segment.sequence
            connection.acknowledgement = segment.sequence + 1
            connection.sequence += 1
            self.send_request(connection)
            return
        if segment.sequence == connection.acknowledgement and segment.data:
            connection.acknowledgement += len(segment.data)
            connection.received.add(segment.sequence)
            if len(connection.received) == len(ANSWER):
                connection.received.clear()
                connection.is_waiting = False
                self.send(connection, b"")
                pause = self.world.random.choice(MAX_PAUSES_SECONDS)
                self.world.call_later(
                    self.world.pause_factor * self.world.random.uniform(0, pause),
                    self.send_request,
                    connection,
                )

    def send_request(self, connection):
        if connection.is_closed or connection.is_waiting:
            return
        connection.is_waiting = True
        connection.pause_seconds = self.world.now - connection.last_sent_at
        self.send(connection, REQUEST)
        self.world.call_later(
            RETRANSMISSION_SECONDS, self.retransmit, connection, connection.sequence
        )
        self.world.call_later(
            REQUEST_TIMEOUT_SECONDS,
            self.give_up_request,
            connection,
            connection.sequence,
        )
        connection.sequence += len(REQUEST)

    def retransmit(self, connection, sequence):
        if not connection.is_waiting or connection.is_closed:
            return
        if connection.sequence == sequence + len(REQUEST):
            packet = self.make_packet(connection, REQUEST)
            self.world.send_packet(replace(packet, sequence=sequence))

    def give_up_request(self, connection, sequence):
        if connection.is_waiting and connection.sequence == sequence + len(REQUEST):
            self.close(connection)

    def close(self, connection):
        self.world.send_packet(replace(self.make_packet(connection, b""), is_fin=True))
        self.open_another(connection)

    def make_packet(self, connection, data):
        return Segment(
            connection.key,
            b"",
            data,
            connection.sequence,
            connection.acknowledgement,
            is_ack=True,
        )

    def send(self, connection, data):
        self.world.send_packet(self.make_packet(connection, data))
