"""In-memory simulation of balancers, agents and targets of one service."""

import random
from dataclasses import dataclass, field

from msgspec.structs import replace

from ibisshunt.coordination.forwarding.addresses import unpack_addresses
from ibisshunt.coordination.forwarding.agent import Agent
from ibisshunt.coordination.forwarding.balancer import Balancer
from ibisshunt.coordination.forwarding.messages import (
    Deliver,
    FlowAnswer,
    FlowQuery,
    LocationQuery,
    Ping,
    RejectedPacket,
    RelayRequest,
    ResetFlow,
    SendMessage,
    SendToCaller,
    SendToTarget,
)
from ibisshunt.coordination.forwarding.routes import Route, RouteTable, WeightedService
from ibisshunt.coordination.forwarding.search.aggregation import AnswerAggregator
from ibisshunt.coordination.forwarding.segment import Segment
from ibisshunt.coordination.forwarding.target_tracking.incarnations import Heartbeat

VIP = bytes((198, 18, 0, 1, 1, 187))
SERVICE = "booking"
HEARTBEAT = 1.0


def make_key(port=40_001, vip=VIP):
    """Return the key of a caller's flow."""
    return bytes((100, 64, 0, 7)) + port.to_bytes(2, "big") + vip


def make_route_table(version=1, service=SERVICE, vip=VIP, retryable=True):
    """Return a configuration with one route."""
    route = Route("r", (WeightedService(service, 1),), 500, 100, 1, retryable)
    return RouteTable(version, {vip: route})


def syn_segment(key, sequence=1000):
    """Return a caller's SYN."""
    return Segment(key, b"syn", b"", sequence, 0, is_syn=True)


def data_segment(key, acknowledgement, sequence=1001, data=b"GET / HTTP/1.1\r\n\r\n"):
    """Return a caller's packet with data."""
    return Segment(key, b"data", data, sequence, acknowledgement, is_ack=True)


def rst_segment(key, sequence=0):
    """Return a target's RST of a flow."""
    return Segment(key, b"rst", b"", sequence, 0, is_rst=True)


@dataclass
class FakeTarget:
    """Target that holds flows and bounces packets of flows that it does not hold."""

    first_sequence: int
    full: bool = False
    is_running: bool = True
    answers: bool = False
    # Whether it resets flows that it does not hold instead of bouncing their packets.
    resets_unknown_flows: bool = False
    flows: dict = field(default_factory=dict)
    received: list = field(default_factory=list)
    unknown_flow_packets: list = field(default_factory=list)

    def handle_packet(self, segment, balancer):
        """Return the packet with which the target answers, or None."""
        if not self.is_running:
            return None
        if segment.is_syn:
            if self.full:
                return replace(segment, is_bounced=True, balancer=balancer)
            self.first_sequence += 100_000
            self.flows[segment.key] = self.first_sequence
            return Segment(
                segment.key,
                b"synack",
                b"",
                self.first_sequence,
                1,
                is_syn=True,
                is_ack=True,
            )
        first_sequence = self.flows.get(segment.key)
        if first_sequence is None or segment.acknowledgement - first_sequence > 50_000:
            self.unknown_flow_packets.append(segment)
            if self.resets_unknown_flows:
                return rst_segment(segment.key, self.first_sequence)
            return replace(segment, is_bounced=True, balancer=balancer)
        self.received.append(segment)
        if not self.answers:
            return None
        return Segment(segment.key, b"ack", b"", first_sequence + 1, 1, is_ack=True)


class World:
    """Simulation that delivers messages immediately, unless an agent is unreachable."""

    def __init__(self, targets=3, balancers=2, seed=1, retryable=True):
        self.retryable = retryable
        self.now = 100.0
        self.random = random.Random(seed)
        self.balancers = {
            f"10.0.1.{number}": self.make_balancer() for number in range(balancers)
        }
        self.agents = {}
        self.aggregators = {}
        self.targets = {}
        # Actions by which agents sent aggregated answers to balancers.
        self.answer_messages = []
        self.unreachable = set()
        self.sent_to_callers = []
        self.resets = []
        self.sent = []
        self._segments = {}
        self.next_status_at = self.now
        for number in range(targets):
            self.add_target(
                f"10.0.2.{number}", first_sequence=100_000_000 * (number + 1)
            )
        self.send_statuses()

    def make_balancer(self):
        """Return a balancer that knows the configuration and no agents."""
        balancer = Balancer(self.random.random)
        balancer.update_routes(make_route_table(retryable=self.retryable))
        return balancer

    def add_target(self, address, first_sequence, service=SERVICE):
        """Add a target that started after its agent, some heartbeats ago."""
        started_at = self.now - 3 * HEARTBEAT
        agent = self.agents[address] = self.make_agent(service, started_at)
        self.aggregators[address] = AnswerAggregator()
        self.targets[address] = FakeTarget(first_sequence)
        heartbeat = Heartbeat(f"i-{first_sequence}", service, 1, False, 0, 1)
        for number in range(4):
            agent.handle_heartbeat(heartbeat, started_at + number * HEARTBEAT)

    def make_agent(self, service=SERVICE, started_at=None):
        """Return an agent that has received no heartbeat."""
        now = self.now if started_at is None else started_at
        return Agent(service, int(now * 1000), HEARTBEAT, now)

    def restart_agents(self, lose_flows=False):
        """Restart all agents; targets continue or, with ``lose_flows``, restart too."""
        for address in self.agents:
            self.agents[address] = self.make_agent()
            if lose_flows:
                self.targets[address].flows.clear()
            self.send_heartbeat(address, number=9, name="i-again" + address)

    def send_heartbeat(self, address, number, name=None, draining=False, slots=1):
        """Send a target's heartbeat to its agent."""
        agent = self.agents[address]
        name = name or agent.current_heartbeat.name
        heartbeat = Heartbeat(name, agent.service, slots, draining, 0, number)
        agent.handle_heartbeat(heartbeat, self.now)

    def replace_target(self, address, name, **changes):
        """Let a target fall silent, and another one be heard until it replaces it.

        Its last heartbeat has sequence number 2; ``changes`` apply to the heartbeats.
        """
        agent = self.agents[address]
        silent_since = agent.target.last_heartbeat_at
        self.now = max(self.now, silent_since + 3 * HEARTBEAT)
        heartbeat = replace(agent.current_heartbeat, name=name, **changes)
        agent.handle_heartbeat(replace(heartbeat, sequence=1), self.now)
        self.now += HEARTBEAT
        agent.handle_heartbeat(replace(heartbeat, sequence=2), self.now)
        assert agent.current_heartbeat.name == name

    def add_load(self, address, count):
        """Add ``count`` requests of other callers at a target."""
        for number in range(count):
            key = make_key(50_001 + number)
            self.agents[address].request_tracker.record_caller_segment(
                data_segment(key, 1), self.now
            )

    def send_statuses(self):
        """Send the statuses of all reachable agents to all balancers."""
        for address, agent in self.agents.items():
            if address in self.unreachable:
                continue
            status = agent.make_status(self.now)
            for balancer in self.balancers.values():
                balancer.handle_status(address, status, self.now)

    def wait(self, seconds):
        """Advance the clock, with heartbeats and statuses at their usual intervals."""
        steps = max(1, int(seconds / 0.05))
        for _ in range(steps):
            self.now += seconds / steps
            if self.now >= self.next_status_at:
                self.next_status_at = self.now + 0.4
                for address in self.agents:
                    agent = self.agents[address]
                    if (
                        agent.current_heartbeat is not None
                        and address not in self.unreachable
                    ):
                        agent.handle_heartbeat(agent.current_heartbeat, self.now)
                self.send_statuses()
            for aggregator in self.aggregators.values():
                self._send_answers(aggregator.flush_due(self.now))
            for address, balancer in self.balancers.items():
                self.carry_out(address, balancer.tick(self.now))

    def send(self, balancer, segment):
        """Deliver a caller's packet to a balancer."""
        packet = str(len(self._segments)).encode()
        segment = self._segments[packet] = replace(segment, packet=packet)
        actions = self.balancers[balancer].handle_packet(segment, self.now)
        self.carry_out(balancer, actions)

    def carry_out(self, balancer, actions):
        """Carry out a balancer's actions."""
        for action in actions:
            if isinstance(action, ResetFlow):
                self.resets.append(action)
            elif action.peer not in self.unreachable and (
                action.peer in self.agents or action.peer in self.balancers
            ):
                self.sent.append(action)
                self._deliver(balancer, action)

    def open(self, balancer, key=None, sequence=1000):
        """Open a flow; return its target's address and the acknowledgement number.

        The SYN may be pending for up to half a second until a slot is free.
        """
        key = key or make_key()
        count_before, began_at = len(self.sent_to_callers), self.now
        self.send(balancer, syn_segment(key, sequence))
        while len(self.sent_to_callers) == count_before and self.now < began_at + 0.5:
            self.wait(0.05)
        address, segment = self.sent_to_callers[count_before]
        return address, segment.sequence + 1

    def open_flows(self, balancer, count):
        """Open flows and send data on each; return their targets by key."""
        holders = {}
        for port in range(40_001, 40_001 + count):
            address, number = self.open(balancer, make_key(port))
            self.send(balancer, data_segment(make_key(port), number))
            holders[make_key(port)] = address
        return holders

    def _deliver(self, balancer, action: SendMessage):
        if isinstance(action.message, LocationQuery):
            locations = self.balancers[action.peer].answer_location_query(
                action.message, self.now
            )
            if locations is not None:
                actions = self.balancers[balancer].handle_flow_locations(
                    locations, self.now
                )
                self.carry_out(balancer, actions)
            return
        if isinstance(action.message, Ping):
            sender = self.balancers[balancer]
            sender.handle_pong(action.peer, action.message.sequence, self.now)
            return
        if isinstance(action.message, RelayRequest):
            self._relay(balancer, action.peer, action.message)
            return
        agent = self.agents[action.peer]
        assert isinstance(action.message, Deliver)
        segment = self._segments[action.message.packet]
        outcome = agent.handle_packet(balancer, action.message, segment, self.now)
        self._carry_out_agent_action(balancer, action.peer, outcome, segment)

    def _relay(self, balancer, relay, message):
        query = message.query
        key = query.key if isinstance(query, FlowQuery) else None
        key = key or self._segments[query.packet].key
        agents = unpack_addresses(message.agents)
        aggregator = self.aggregators[relay]
        aggregator.start(balancer, message.round_id, key, agents, self.now)
        for address in agents:
            if address not in self.unreachable and address in self.agents:
                self._query_agent(relay, address, query)

    def _query_agent(self, relay, address, query):
        agent = self.agents[address]
        if isinstance(query, FlowQuery):
            self._add_answer(relay, address, agent.answer_query(query, self.now))
            return
        segment = self._segments[query.packet]
        outcome = agent.handle_probe(relay, query, segment, self.now)
        self._carry_out_agent_action(relay, address, outcome, segment)

    def _add_answer(self, relay, address, answer):
        self._send_answers(
            self.aggregators[relay].add_answer(address, answer, self.now)
        )

    def _send_answers(self, messages):
        for action in messages:
            self.answer_messages.append(action)
            if action.peer in self.balancers:
                balancer = self.balancers[action.peer]
                actions = balancer.handle_aggregated_answers(action.message, self.now)
                self.carry_out(action.peer, actions)

    def _carry_out_agent_action(self, balancer, address, action, segment):
        if isinstance(action, SendToTarget):
            balancer_address = bytes(int(part) for part in action.balancer.split("."))
            answer = self.targets[address].handle_packet(
                action.segment, balancer_address
            )
            if answer is not None:
                for action in self.agents[address].handle_target_packet(
                    answer, self.now
                ):
                    self._carry_out_agent_action(balancer, address, action, segment)
        elif isinstance(action, SendToCaller):
            self.sent_to_callers.append((address, action.segment))
        elif isinstance(action.message, FlowAnswer):
            self._add_answer(action.peer, address, action.message)
        elif isinstance(action.message, RejectedPacket):
            actions = self.balancers[action.peer].handle_rejected_packet(
                address, action.message, segment, self.now
            )
            self.carry_out(action.peer, actions)
