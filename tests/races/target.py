"""A target that holds flows and answers requests, crashes and is back."""

from msgspec.structs import replace

from ibisshunt.coordination.forwarding.holding.incarnations import Announcement
from ibisshunt.coordination.forwarding.segment import Segment
from tests.forwarding_world import SERVICE
from tests.races.timing import (
    FIRST_HEARTBEAT_SECONDS,
    HANDSHAKE_SECONDS,
    HEARTBEAT_SECONDS,
    HEARTBEAT_WAY_SECONDS,
    LATE_HEARTBEAT_SECONDS,
    MAX_QUEUE,
    SERVICE_SECONDS,
)

ANSWER = (b"HTTP/1.1 200 OK\r\n\r\n" + bytes(980), bytes(1000))


class Target:
    """Hold flows and serve one request after the other, as an endpoint does."""

    def __init__(self, world, address, name):
        self.world, self.address, self.name = world, address, name
        self.agent = world.agents[address]
        # The next number to send in each flow, by key.
        self.open = {}
        # The numbers with which openings were answered that no caller has taken yet.
        self.offered = {}
        self.ended = set()
        self.answered = set()
        self.queue = []
        self.beats = 0
        self.is_there = True
        first = world.random.uniform(0.0005, FIRST_HEARTBEAT_SECONDS)
        world.after(first, self.beat)

    def beat(self):
        """Send a heartbeat, and go on with that."""
        if not self.is_there:
            return
        self.beats += 1
        found = Announcement(self.name, SERVICE, 1, False, 0, self.beats)
        self.world.after(self._draw_way(), self.agent.announce, found)
        self.world.after(HEARTBEAT_SECONDS, self.beat)

    def crash(self):
        """End at once: the host closes the flows and returns all that comes."""
        self.is_there = False
        self.queue.clear()
        for key in tuple(self.open):
            self._finish(key)

    def take(self, segment, origin):
        """Take a packet that the agent hands over."""
        if segment.opens:
            self._take_opening(segment, origin)
            return
        key = segment.key
        first = segment.acknowledgement - 1
        if key not in self.open and first in self.offered.get(key, ()):
            del self.offered[key]
            self.open[key] = first + 1
            self.ended.discard(key)
            self.world.trace(key, "held", self.name, first)
        if key in self.ended:
            self._answer_ended(segment)
        elif key not in self.open:
            self.agent.hear(replace(segment, returned=True, origin=origin))
        elif segment.finishes:
            self.say(acknowledge(key, self.open[key]))
            self._finish(key)
        elif segment.data:
            self._take_request(segment)

    def say(self, segment):
        """Send a packet, through the agent."""
        self.agent.hear(segment)

    def _draw_way(self):
        share = self.world.late_heartbeats
        if share and self.world.random.random() < share:
            return self.world.random.uniform(0, LATE_HEARTBEAT_SECONDS)
        return HEARTBEAT_WAY_SECONDS

    def _take_opening(self, segment, origin):
        if not self.is_there or len(self.queue) > MAX_QUEUE:
            self.agent.hear(replace(segment, returned=True, origin=origin))
            return
        # Each copy is answered with a number of its own; the caller takes one.
        first = self.world.draw_number()
        self.offered.setdefault(segment.key, set()).add(first)
        answer = Segment(segment.key, b"", b"", first, 1, opens=True, acknowledges=True)
        self.world.after(HANDSHAKE_SECONDS, self.say, answer)

    def _take_request(self, segment):
        if (segment.key, segment.sequence) in self.answered:
            return
        self.answered.add((segment.key, segment.sequence))
        self.queue.append(segment.key)
        if len(self.queue) == 1:
            self._work()

    def _work(self):
        self.world.after(
            self.world.random.expovariate(1 / SERVICE_SECONDS), self._answer
        )

    def _answer(self):
        if not self.is_there:
            return
        key = self.queue.pop(0)
        if key in self.open:
            for data in ANSWER:
                number = self.open[key]
                self.say(Segment(key, b"", data, number, 1, acknowledges=True))
                self.open[key] = number + len(data)
        if self.queue:
            self._work()

    def _finish(self, key):
        number = self.open.pop(key)
        self.ended.add(key)
        self.say(replace(acknowledge(key, number), finishes=True))

    def _answer_ended(self, segment):
        if segment.finishes:
            self.say(acknowledge(segment.key, segment.acknowledgement))
        elif segment.data:
            self.say(Segment(segment.key, b"", b"", 0, 0, resets=True))


def acknowledge(key, number):
    """Return a target's packet without data."""
    return Segment(key, b"", b"", number, 1, acknowledges=True)
