"""A caller that keeps a flow open for many requests, with pauses between them."""

from dataclasses import dataclass, field

from msgspec.structs import replace

from ibisshunt.coordination.forwarding.segment import Segment
from tests.forwarding_world import PLACE
from tests.races.target import ANSWER
from tests.races.timing import (
    COPY_SECONDS,
    GIVE_UP_SECONDS,
    LAST_COPY_SECONDS,
    PAUSES_SECONDS,
    REPEAT_SECONDS,
)

REQUEST = b"GET / HTTP/1.1\r\n\r\n"


@dataclass
class Connection:
    """Hold one flow as its caller sees it."""

    key: bytes
    sequence: int
    first: int | None = None
    acknowledgement: int = 0
    got: set = field(default_factory=set)
    waits: bool = False
    is_over: bool = False
    used_at: float = 0.0
    # How long its caller had paused before the last request, in seconds.
    paused: float = 0.0


class Caller:
    """Keep one flow open for many requests, with pauses between them."""

    def __init__(self, world, number):
        self.world = world
        self.address = bytes((100, 64, number // 250, number % 250))
        self.port = 1024
        self.connection = None
        world.after(world.random.uniform(0, 1), self.open)

    def open(self):
        self.port += 1
        key = self.address + self.port.to_bytes(2, "big") + PLACE
        self.connection = Connection(key, self.world.random.randrange(1 << 32))
        self.world.connections[key] = self, self.connection
        self.world.trace(key, "opens", "caller", "")
        self.send_opening(self.connection, 0)

    def send_opening(self, connection, copies):
        if connection.first is not None or connection.is_over:
            return
        waited = (0.0, *COPY_SECONDS)[copies]
        packet = Segment(
            connection.key, b"", b"", connection.sequence, 0, opens=True, waited=waited
        )
        self.world.send_packet(packet)
        if copies:
            self.world.trace(connection.key, "copy", "caller", "")
        if copies < len(COPY_SECONDS):
            pause = COPY_SECONDS[copies] - waited
            self.world.after(pause, self.send_opening, connection, copies + 1)
        else:
            self.world.after(LAST_COPY_SECONDS, self.give_up, connection)

    def give_up(self, connection):
        if connection.first is None and not connection.is_over:
            self.begin_anew(connection)

    def begin_anew(self, connection):
        connection.is_over = True
        self.world.after(self.world.random.uniform(0, 0.05), self.open)

    def take(self, connection, segment):
        if connection.is_over:
            return
        if segment.resets:
            self.begin_anew(connection)
            return
        if segment.finishes:
            connection.acknowledgement = segment.sequence + 1
            self.send(connection, b"")
            self.finish(connection)
            return
        if segment.opens and connection.first is None:
            connection.first = segment.sequence
            connection.acknowledgement = segment.sequence + 1
            connection.sequence += 1
            self.ask(connection)
            return
        if segment.sequence == connection.acknowledgement and segment.data:
            connection.acknowledgement += len(segment.data)
            connection.got.add(segment.sequence)
            if len(connection.got) == len(ANSWER):
                connection.got.clear()
                connection.waits = False
                self.send(connection, b"")
                pause = self.world.random.choice(PAUSES_SECONDS)
                self.world.after(
                    self.world.pauses * self.world.random.uniform(0, pause),
                    self.ask,
                    connection,
                )

    def ask(self, connection):
        if connection.is_over or connection.waits:
            return
        connection.waits = True
        connection.paused = self.world.now - connection.used_at
        self.send(connection, REQUEST)
        self.world.after(REPEAT_SECONDS, self.repeat, connection, connection.sequence)
        self.world.after(
            GIVE_UP_SECONDS, self.leave_late, connection, connection.sequence
        )
        connection.sequence += len(REQUEST)

    def repeat(self, connection, sequence):
        if not connection.waits or connection.is_over:
            return
        if connection.sequence == sequence + len(REQUEST):
            packet = self.make(connection, REQUEST)
            self.world.send_packet(replace(packet, sequence=sequence))

    def leave_late(self, connection, sequence):
        if connection.waits and connection.sequence == sequence + len(REQUEST):
            self.finish(connection)

    def finish(self, connection):
        self.world.send_packet(replace(self.make(connection, b""), finishes=True))
        self.begin_anew(connection)

    def make(self, connection, data):
        return Segment(
            connection.key,
            b"",
            data,
            connection.sequence,
            connection.acknowledgement,
            acknowledges=True,
        )

    def send(self, connection, data):
        self.world.send_packet(self.make(connection, data))
