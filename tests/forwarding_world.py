"""Balancers, agents and targets of one service in memory, with a clock of their own."""

import random
from dataclasses import dataclass, field

from msgspec.structs import replace

from ibisshunt.coordination.forwarding.addresses import unpack_addresses
from ibisshunt.coordination.forwarding.agent import Agent
from ibisshunt.coordination.forwarding.balancer import Balancer
from ibisshunt.coordination.forwarding.holding.incarnations import Announcement
from ibisshunt.coordination.forwarding.messages import (
    Ask,
    Deliver,
    Ping,
    Relay,
    Reset,
    Returned,
    Seek,
    Send,
    ToCaller,
    Told,
    ToTarget,
)
from ibisshunt.coordination.forwarding.routes import Route, RouteTable, Share
from ibisshunt.coordination.forwarding.searching.gathering import Gatherings
from ibisshunt.coordination.forwarding.segment import Segment

PLACE = bytes((198, 18, 0, 1, 1, 187))
SERVICE = "booking"
HEARTBEAT = 1.0


def make_key(port=40_001, place=PLACE):
    """Return the key of a caller's flow."""
    return bytes((100, 64, 0, 7)) + port.to_bytes(2, "big") + place


def make_table(version=1, service=SERVICE, place=PLACE, repeatable=True):
    """Return a configuration with one route."""
    route = Route("r", (Share(service, 1),), 500, 100, 1, repeatable)
    return RouteTable(version, {place: route})


def open_segment(key, sequence=1000):
    """Return the packet that opens a flow."""
    return Segment(key, b"syn", b"", sequence, 0, opens=True)


def data_segment(key, acknowledgement, sequence=1001, data=b"GET / HTTP/1.1\r\n\r\n"):
    """Return a caller's packet with data."""
    return Segment(key, b"data", data, sequence, acknowledgement, acknowledges=True)


def reset_segment(key, sequence=0):
    """Return a target's reset of a flow."""
    return Segment(key, b"rst", b"", sequence, 0, resets=True)


@dataclass
class FakeTarget:
    """Hold flows as an endpoint does: it returns each packet that it does not hold."""

    first: int
    full: bool = False
    is_there: bool = True
    answers: bool = False
    # Whether it answers packets of flows that it does not hold with resets.
    resets_strays: bool = False
    flows: dict = field(default_factory=dict)
    taken: list = field(default_factory=list)
    strays: list = field(default_factory=list)

    def take(self, segment, origin):
        """Return the packet that the target sends in turn, or None."""
        if not self.is_there:
            return None
        if segment.opens:
            if self.full:
                return replace(segment, returned=True, origin=origin)
            self.first += 100_000
            self.flows[segment.key] = self.first
            return Segment(
                segment.key,
                b"synack",
                b"",
                self.first,
                1,
                opens=True,
                acknowledges=True,
            )
        first = self.flows.get(segment.key)
        if first is None or segment.acknowledgement - first > 50_000:
            self.strays.append(segment)
            if self.resets_strays:
                return reset_segment(segment.key, self.first)
            return replace(segment, returned=True, origin=origin)
        self.taken.append(segment)
        if not self.answers:
            return None
        return Segment(segment.key, b"ack", b"", first + 1, 1, acknowledges=True)


class World:
    """Carry messages between the parts at once, unless a link is cut."""

    def __init__(self, targets=3, balancers=2, seed=1, repeatable=True):
        self.repeatable = repeatable
        self.now = 100.0
        self.random = random.Random(seed)
        self.balancers = {
            f"10.0.1.{number}": self.make_balancer() for number in range(balancers)
        }
        self.agents = {}
        self.gatherings = {}
        self.targets = {}
        # Messages of agents that reached balancers, but for statuses.
        self.told = []
        self.silent = set()
        self.to_callers = []
        self.resets = []
        self.sent = []
        self._segments = {}
        self.tell_at = self.now
        for number in range(targets):
            self.add_target(f"10.0.2.{number}", first=100_000_000 * (number + 1))
        self.tell_all()

    def make_balancer(self):
        """Return a balancer that has the configuration and no more."""
        balancer = Balancer(self.random.random)
        balancer.take_routes(make_table(repeatable=self.repeatable))
        return balancer

    def add_target(self, address, first, service=SERVICE):
        """Add a target that starts after its agent."""
        self.agents[address] = self.make_agent(service)
        self.gatherings[address] = Gatherings()
        self.targets[address] = FakeTarget(first)
        self.beat(address, number=1, name=f"i-{first}")

    def make_agent(self, service=SERVICE):
        """Return an agent that has not heard its target."""
        return Agent(service, int(self.now * 1000), HEARTBEAT, self.now)

    def restart_agents(self, lose_flows=False):
        """Start all agents anew, beside targets that run on or lost power as well."""
        for address in self.agents:
            self.agents[address] = self.make_agent()
            if lose_flows:
                self.targets[address].flows.clear()
            self.beat(address, number=9, name="i-again" + address)

    def beat(self, address, number, name=None, draining=False, slots=1):
        """Let a target speak to its agent."""
        agent = self.agents[address]
        name = name or agent.present.name
        found = Announcement(name, agent.service, slots, draining, 0, number)
        agent.announce(found, self.now)

    def load(self, address, count):
        """Let callers of other flows have ``count`` requests at a target."""
        for number in range(count):
            key = make_key(50_001 + number)
            self.agents[address].requests.note_inward(data_segment(key, 1), self.now)

    def tell_all(self):
        """Let each agent that is heard tell all balancers of its target."""
        for address, agent in self.agents.items():
            if address in self.silent:
                continue
            status = agent.report(self.now)
            for balancer in self.balancers.values():
                balancer.learn(address, status, self.now)

    def wait(self, seconds):
        """Let time go by; targets and agents speak as they do."""
        steps = max(1, int(seconds / 0.05))
        for _ in range(steps):
            self.now += seconds / steps
            if self.now >= self.tell_at:
                self.tell_at = self.now + 0.4
                for address in self.agents:
                    agent = self.agents[address]
                    if agent.present is not None and address not in self.silent:
                        agent.announce(agent.present, self.now)
                self.tell_all()
            for gatherings in self.gatherings.values():
                self._gather(gatherings.sweep(self.now))
            for address, balancer in self.balancers.items():
                self.carry_out(address, balancer.sweep(self.now))

    def send(self, balancer, segment):
        """Let a caller's packet arrive at a balancer."""
        raw = str(len(self._segments)).encode()
        segment = self._segments[raw] = replace(segment, raw=raw)
        taken = self.balancers[balancer].take(segment, self.now)
        self.carry_out(balancer, taken)

    def carry_out(self, balancer, actions):
        """Carry out what a balancer asks for."""
        for action in actions:
            if isinstance(action, Reset):
                self.resets.append(action)
            elif action.peer not in self.silent and (
                action.peer in self.agents or action.peer in self.balancers
            ):
                self.sent.append(action)
                self._deliver(balancer, action)

    def open(self, balancer, key=None, sequence=1000):
        """Open a flow; return the address of its target and the number to ack.

        A flow may wait for a free slot; half a second is what it gets.
        """
        key = key or make_key()
        before, began = len(self.to_callers), self.now
        self.send(balancer, open_segment(key, sequence))
        while len(self.to_callers) == before and self.now < began + 0.5:
            self.wait(0.05)
        address, segment = self.to_callers[before]
        return address, segment.sequence + 1

    def open_flows(self, balancer, count):
        """Open flows and use each once; return their targets by key."""
        homes = {}
        for port in range(40_001, 40_001 + count):
            address, number = self.open(balancer, make_key(port))
            self.send(balancer, data_segment(make_key(port), number))
            homes[make_key(port)] = address
        return homes

    def _deliver(self, balancer, action: Send):
        if isinstance(action.message, Seek):
            known = self.balancers[action.peer].tell_known(action.message, self.now)
            if known is not None:
                found = self.balancers[balancer].take_known(known, self.now)
                self.carry_out(balancer, found)
            return
        if isinstance(action.message, Ping):
            found = self.balancers[balancer]
            found.take_pong(action.peer, action.message.number, self.now)
            return
        if isinstance(action.message, Relay):
            self._relay(balancer, action.peer, action.message)
            return
        agent = self.agents[action.peer]
        assert isinstance(action.message, Deliver)
        segment = self._segments[action.message.packet]
        answer = agent.take(balancer, action.message, segment, self.now)
        self._follow(balancer, action.peer, answer, segment)

    def _relay(self, balancer, relay, message):
        question = message.question
        key = question.key if isinstance(question, Ask) else None
        key = key or self._segments[question.packet].key
        asked = unpack_addresses(message.to)
        gatherings = self.gatherings[relay]
        gatherings.begin(balancer, message.number, key, asked, self.now)
        for address in asked:
            if address not in self.silent and address in self.agents:
                self._answer(relay, address, question)

    def _answer(self, relay, address, question):
        agent = self.agents[address]
        if isinstance(question, Ask):
            self._tell(relay, address, agent.tell(question, self.now))
            return
        segment = self._segments[question.packet]
        answer = agent.take_probe(relay, question, segment, self.now)
        self._follow(relay, address, answer, segment)

    def _tell(self, relay, address, told):
        self._gather(self.gatherings[relay].take(address, told, self.now))

    def _gather(self, actions):
        for action in actions:
            self.told.append(action)
            if action.peer in self.balancers:
                balancer = self.balancers[action.peer]
                found = balancer.take_gathered(action.message, self.now)
                self.carry_out(action.peer, found)

    def _follow(self, balancer, address, answer, segment):
        if isinstance(answer, ToTarget):
            origin = bytes(int(part) for part in answer.origin.split("."))
            sent = self.targets[address].take(answer.segment, origin)
            if sent is not None:
                for answer in self.agents[address].take_outward(sent, self.now):
                    self._follow(balancer, address, answer, segment)
        elif isinstance(answer, ToCaller):
            self.to_callers.append((address, answer.segment))
        elif isinstance(answer.message, Told):
            self._tell(answer.peer, address, answer.message)
        elif isinstance(answer.message, Returned):
            found = self.balancers[answer.peer].take_returned(
                address, answer.message, segment, self.now
            )
            self.carry_out(answer.peer, found)
