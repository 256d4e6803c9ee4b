"""The simulated clock and links, with the callers, nodes and targets on them."""

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
    CROSS_DOMAIN_SECONDS,
    JITTER,
    LATE_HEARTBEAT_SECONDS,
    RESET_WINDOW,
    SAME_DOMAIN_SECONDS,
)

SEQUENCE_STEP = 1_000_000


@dataclass(frozen=True)
class BrokenFlow:
    """Reset of an open flow after ``idle`` seconds without a packet."""

    at: float
    key: bytes
    idle: float


class RaceWorld:
    """Simulation that records violations of its rule: no open flow is reset.

    ``loss`` is the share of messages that are lost, ``late_heartbeats`` the share of
    heartbeats that are late, for at most ``max_late_seconds``. ``unheard_starts`` is
    the share of crashes after which a target starts and crashes whose heartbeats all
    arrive late. ``broken`` lists the resets of open flows, ``traces`` the events of
    each flow.
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
        unheard_starts=0.0,
        max_late_seconds=LATE_HEARTBEAT_SECONDS,
    ):
        self.random = random.Random(seed)
        self.now = 0.0
        self.loss, self.late_heartbeats = loss, late_heartbeats
        self.unheard_starts = unheard_starts
        self.max_late_seconds = max_late_seconds
        # Factor on the pauses of callers.
        self.pause_factor = 1.0
        self.segments, self.connections = {}, {}
        self.traces, self.broken = {}, []
        self._events, self._event_count, self._sequence = [], 0, 0
        self._started_targets = 0
        self.domains = domains
        self.balancers = {}
        for _ in range(balancers):
            self.add_balancer()
        self.agents, self.targets = {}, {}
        for number in range(targets):
            address = f"10.0.2.{number}"
            self.agents[address] = AgentNode(self, address, number % domains)
            self.start_target(address)
        self.run(2.0)
        self.callers = []
        self.add_callers(callers)

    def call_later(self, seconds, call, *arguments):
        """Schedule a call."""
        self._event_count += 1
        event = (self.now + seconds, self._event_count, call, arguments)
        heapq.heappush(self._events, event)

    def run(self, seconds):
        """Advance the time and run the calls that are due."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        self.now = until

    def make_first_sequence(self):
        """Return the first sequence number of another flow."""
        self._sequence += SEQUENCE_STEP
        return self._sequence

    def start_target(self, address, is_unheard=False):
        """Start a target without flows; it replaces the previous one at the address."""
        self._started_targets += 1
        name = f"i-{self._started_targets}"
        self.targets[address] = Target(self, address, name, is_unheard)

    def add_balancer(self):
        """Add a balancer; flows whose hash now selects it move to it."""
        number = len(self.balancers)
        address = f"10.0.1.{number}"
        self.balancers[address] = BalancerNode(self, address, number % self.domains)

    def add_callers(self, count):
        """Add callers."""
        first = len(self.callers)
        self.callers += [Caller(self, first + number) for number in range(count)]

    def restart_agent(self, address, seconds):
        """Stop an agent as planned and restart it later; its target continues."""
        node = self.agents[address]
        node.stop()
        self.call_later(seconds, node.start)

    def crash_target(self, address, seconds):
        """Crash a target; start another one at its address later."""
        target = self.targets[address]
        if not target.is_running:
            return
        target.crash()
        if self.unheard_starts and self.random.random() < self.unheard_starts:
            self.call_later(0.2 * seconds, self.start_target, address, True)
            self.call_later(0.9 * seconds, self.crash_unheard, address)
        self.call_later(seconds, self.start_target, address)

    def crash_unheard(self, address):
        """Crash a target whose heartbeats have not arrived."""
        self.targets[address].crash()

    def trace(self, key, *event):
        """Record an event of a flow."""
        self.traces.setdefault(key, []).append((round(self.now, 4), *event))

    def _draw_link_delay(self, sender, receiver):
        nodes = {**self.balancers, **self.agents}
        is_same_domain = nodes[sender].domain == nodes[receiver].domain
        return self.draw_delay(
            SAME_DOMAIN_SECONDS if is_same_domain else CROSS_DOMAIN_SECONDS
        )

    def draw_delay(self, seconds):
        return seconds * self.random.uniform(1, JITTER)

    def send(self, sender, peer, message):
        """Send a node's message to another node; it may be lost."""
        node = self.balancers.get(peer) or self.agents.get(peer)
        if node is None or self.random.random() < self.loss:
            return
        self.call_later(
            self._draw_link_delay(sender, peer), node.handle_message, sender, message
        )

    def send_packet(self, segment):
        """Send a caller's packet to the balancer that its flow hashes to."""
        _, connection = self.connections[segment.key]
        connection.last_sent_at = self.now
        packet = str(len(self.segments)).encode()
        segment = self.segments[packet] = replace(segment, packet=packet)
        address = max(
            self.balancers, key=lambda address: crc32(segment.key + address.encode())
        )
        if self.random.random() >= self.loss:
            delay = self.draw_delay(CALLER_SECONDS)
            self.call_later(delay, self.balancers[address].handle_packet, segment)

    def send_to_target(self, address, segment, balancer):
        """Send a packet to the target at an address."""
        self.targets[address].handle_packet(segment, balancer)

    def send_to_caller(self, segment, address):
        """Send a target's packet to its caller."""
        caller, connection = self.connections[segment.key]
        if segment.is_rst and self._find_holder(connection) not in (None, address):
            self._record_broken(connection)
        caller.handle_packet(connection, segment)

    def reset(self, segment):
        """Send a balancer's reset to a caller, which checks its sequence number."""
        caller, connection = self.connections[segment.key]
        sequence = segment.acknowledgement if segment.is_ack else 0
        distance = abs(sequence - connection.acknowledgement)
        if connection.target_first_sequence is not None and distance > RESET_WINDOW:
            return
        if self._find_holder(connection):
            self._record_broken(connection)
        caller.handle_packet(
            connection, Segment(segment.key, b"", b"", 0, 0, is_rst=True)
        )

    def _find_holder(self, connection):
        """Return the address of the target that holds an open flow, or None."""
        for address, target in self.targets.items():
            next_sequence = target.next_sequences.get(connection.key)
            if (
                target.is_running
                and next_sequence is not None
                and connection.target_first_sequence is not None
            ):
                return address
        return None

    def _record_broken(self, connection):
        idle = max(connection.pause_seconds, self.now - connection.last_sent_at)
        self.broken.append(BrokenFlow(self.now, connection.key, idle))
        self.trace(connection.key, "BROKEN")
