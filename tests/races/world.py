"""The clock, the links and the callers, nodes and targets that meet there."""

import heapq
import random
from dataclasses import dataclass
from zlib import crc32

from msgspec.structs import replace

from ibisshunt.coordination.forwarding.segment import Segment
from tests.races.agent_node import AgentNode
from tests.races.balancer_node import BalancerNode
from tests.races.caller import Caller
from tests.races.target import Target
from tests.races.timing import (
    CALLER_SECONDS,
    FAR_SECONDS,
    JITTER,
    NEAR_SECONDS,
    RESET_SPAN,
)

FIRST_STEP = 1_000_000


@dataclass(frozen=True)
class Break:
    """Hold the reset of an open flow after ``idle`` seconds without a packet."""

    at: float
    key: bytes
    idle: float


class RaceWorld:
    """Own the clock, the links and what must hold: no open flow is reset.

    ``loss`` is the share of messages that are lost, ``late_heartbeats`` that of
    heartbeats that are late. ``broken`` are the resets of open flows, ``traces`` what
    happened in each flow.
    """

    def __init__(
        self,
        seed,
        targets=7,
        balancers=4,
        callers=60,
        loss=0.0,
        domains=4,
        late_heartbeats=0.0,
    ):
        self.random = random.Random(seed)
        self.now = 0.0
        self.loss, self.late_heartbeats = loss, late_heartbeats
        # A factor on the pauses of callers.
        self.pauses = 1.0
        self.segments, self.connections = {}, {}
        self.traces, self.broken = {}, []
        self._queue, self._count, self._number = [], 0, 0
        self._started = 0
        self.domains = domains
        self.balancers = {}
        for _ in range(balancers):
            self.add_balancer()
        self.agents, self.targets = {}, {}
        for number in range(targets):
            address = f"10.0.2.{number}"
            self.agents[address] = AgentNode(self, address, number % domains)
            self.start(address)
        self.run(2.0)
        self.callers = []
        self.add_callers(callers)

    def after(self, seconds, call, *arguments):
        """Call something later."""
        self._count += 1
        event = (self.now + seconds, self._count, call, arguments)
        heapq.heappush(self._queue, event)

    def run(self, seconds):
        """Let time go by."""
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self._queue)
            call(*arguments)
        self.now = until

    def draw_number(self):
        """Return the first number of another flow."""
        self._number += FIRST_STEP
        return self._number

    def start(self, address):
        """Start a target that knows nothing of a former one there."""
        self._started += 1
        self.targets[address] = Target(self, address, f"i-{self._started}")

    def add_balancer(self):
        """Let one more balancer take packets; flows whose hash it wins move to it."""
        number = len(self.balancers)
        address = f"10.0.1.{number}"
        self.balancers[address] = BalancerNode(self, address, number % self.domains)

    def add_callers(self, count):
        """Let more callers come."""
        first = len(self.callers)
        self.callers += [Caller(self, first + number) for number in range(count)]

    def restart_agent(self, address, seconds):
        """Stop an agent as planned; it is back after a while, its target lives on."""
        node = self.agents[address]
        node.stop()
        self.after(seconds, node.start)

    def crash(self, address, seconds):
        """End a target; another one starts at its address after a while."""
        target = self.targets[address]
        if target.is_there:
            target.crash()
            self.after(seconds, self.start, address)

    def trace(self, key, *what):
        """Note what happened in a flow."""
        self.traces.setdefault(key, []).append((round(self.now, 4), *what))

    def _delay(self, one, other):
        nodes = {**self.balancers, **self.agents}
        near = nodes[one].domain == nodes[other].domain
        return self.draw_delay(NEAR_SECONDS if near else FAR_SECONDS)

    def draw_delay(self, seconds):
        return seconds * self.random.uniform(1, JITTER)

    def send(self, origin, peer, message):
        """Bring a node's message to another node, or lose it."""
        node = self.balancers.get(peer) or self.agents.get(peer)
        if node is None or self.random.random() < self.loss:
            return
        self.after(self._delay(origin, peer), node.take, origin, message)

    def send_packet(self, segment):
        """Let a caller's packet go to the balancer that its flow hashes to."""
        _, connection = self.connections[segment.key]
        connection.used_at = self.now
        raw = str(len(self.segments)).encode()
        segment = self.segments[raw] = replace(segment, raw=raw)
        address = max(
            self.balancers, key=lambda found: crc32(segment.key + found.encode())
        )
        if self.random.random() >= self.loss:
            delay = self.draw_delay(CALLER_SECONDS)
            self.after(delay, self.balancers[address].take_packet, segment)

    def hand(self, address, segment, origin):
        """Hand a packet to what is at a target's address."""
        self.targets[address].take(segment, origin)

    def answer(self, segment, address):
        """Bring a caller a target's packet."""
        caller, connection = self.connections[segment.key]
        if segment.resets and self.find_holder(connection) not in (None, address):
            self.note_broken(connection)
        caller.take(connection, segment)

    def reset(self, segment):
        """Bring a caller a reset of a balancer; on an open flow its number must fit."""
        caller, connection = self.connections[segment.key]
        number = segment.acknowledgement if segment.acknowledges else 0
        distance = abs(number - connection.acknowledgement)
        if connection.first is not None and distance > RESET_SPAN:
            return
        if self.find_holder(connection):
            self.note_broken(connection)
        caller.take(connection, Segment(segment.key, b"", b"", 0, 0, resets=True))

    def find_holder(self, connection):
        """Return the address of the target that holds an open flow, or None."""
        for address, target in self.targets.items():
            known = target.open.get(connection.key)
            if target.is_there and known is not None and connection.first is not None:
                return address
        return None

    def note_broken(self, connection):
        idle = max(connection.paused, self.now - connection.used_at)
        self.broken.append(Break(self.now, connection.key, idle))
        self.trace(connection.key, "BROKEN")
