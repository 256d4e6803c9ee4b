"""Drive an agent as its task does, on the race world's clock."""

from ibisshunt.coordination.forwarding.addresses import unpack_addresses
from ibisshunt.coordination.forwarding.agent import Agent
from ibisshunt.coordination.forwarding.holding.incarnations import Word
from ibisshunt.coordination.forwarding.messages import (
    Deliver,
    OnBehalf,
    Ping,
    Pong,
    Probe,
    Relay,
    Send,
    ToCaller,
    Told,
    ToTarget,
)
from ibisshunt.coordination.forwarding.searching.gathering import Gatherings
from tests.forwarding_world import SERVICE, make_table
from tests.races.timing import (
    CALLER_SECONDS,
    CHANGE_SECONDS,
    GATHER_SECONDS,
    HEARTBEAT_SECONDS,
    HOST_SECONDS,
    STATUS_SECONDS,
    TICK_SECONDS,
)


class AgentNode:
    """Drive one agent."""

    def __init__(self, world, address, domain):
        self.world, self.address, self.domain = world, address, domain
        self.starts = 0
        self.start()
        world.after(world.random.uniform(0, TICK_SECONDS), self.tick)

    def start(self):
        """Start, knowing nothing of a former run."""
        now = self.world.now
        self.starts += 1
        self.is_there = True
        self.agent = Agent(
            SERVICE, self.starts, HEARTBEAT_SECONDS, now, self.tell_event, 60.0
        )
        self.agent.take_routes(make_table())
        self.gatherings = Gatherings()
        self.status_at = self.told_at = now
        self.told_load = 0

    def stop(self):
        """Say that the agent restarts, and do nothing more."""
        self.agent.pause(self.world.now)
        self.tell_all()
        self.is_there = False

    def tell_event(self, event, **fields):
        if "flow" in fields:
            key = bytes.fromhex(fields.pop("flow"))
            self.world.trace(key, event, self.address, fields)

    def tick(self):
        self.world.after(TICK_SECONDS, self.tick)
        if not self.is_there:
            return
        now = self.world.now
        agent = self.agent
        change = abs(agent.count_load(now) - self.told_load)
        has_changed = change >= 1 and now >= self.told_at + CHANGE_SECONDS
        if agent.sweep(now) or now >= self.status_at or has_changed:
            self.tell_all()

    def tell_all(self):
        now = self.world.now
        self.status_at, self.told_at = now + STATUS_SECONDS, now
        self.told_load = self.agent.count_load(now)
        status = self.agent.report(now)
        for balancer in self.world.balancers:
            self.world.send(self.address, balancer, status)

    def announce(self, found):
        if not self.is_there:
            return
        before = self.agent.state
        word = self.agent.announce(found, self.world.now)
        if word == Word.SUCCESSOR or self.agent.state != before:
            self.tell_all()

    def hear(self, segment):
        """Take a packet of the target."""
        self.world.after(
            self.world.draw_delay(HOST_SECONDS), self.take_outward, segment
        )

    def take_outward(self, segment):
        if not self.is_there:
            return
        now = self.world.now
        for action in self.agent.take_outward(segment, now):
            self.carry_out(action)
        if waiting := self.agent.take_waiting(now):
            self.world.send(self.address, waiting, self.agent.report(now))

    def take(self, peer, message):
        if not self.is_there:
            return
        now = self.world.now
        if isinstance(message, Deliver):
            segment = self.world.segments[message.packet]
            action = self.agent.take(peer, message, segment, now)
            if action is not None:
                self.carry_out(action)
        elif isinstance(message, Relay):
            self.relay(peer, message)
        elif isinstance(message, OnBehalf):
            self.answer(peer, message.question)
        elif isinstance(message, Told):
            for action in self.gatherings.take(peer, message, now):
                self.carry_out(action)
        elif isinstance(message, Ping):
            self.world.send(self.address, peer, Pong(message.number))

    def relay(self, peer, message):
        question = message.question
        asked = unpack_addresses(message.to)
        is_probe = isinstance(question, Probe)
        key = self.world.segments[question.packet].key if is_probe else question.key
        self.gatherings.begin(peer, message.number, key, asked, self.world.now)
        self.world.after(GATHER_SECONDS, self.gather)
        for address in asked:
            self.world.send(self.address, address, OnBehalf(question))

    def answer(self, peer, question):
        now = self.world.now
        if isinstance(question, Probe):
            segment = self.world.segments[question.packet]
            self.carry_out(self.agent.take_probe(peer, question, segment, now))
            return
        told = self.agent.tell(question, now)
        self.world.trace(question.key, "told", self.address, told.answer)
        self.world.send(self.address, peer, told)

    def gather(self):
        for action in self.gatherings.sweep(self.world.now):
            self.carry_out(action)
        if self.gatherings:
            self.world.after(GATHER_SECONDS, self.gather)

    def carry_out(self, action):
        if isinstance(action, Send):
            self.world.send(self.address, action.peer, action.message)
        elif isinstance(action, ToTarget):
            origin = bytes(int(part) for part in action.origin.split("."))
            segment = action.segment
            self.world.after(
                HOST_SECONDS, self.world.hand, self.address, segment, origin
            )
        elif isinstance(action, ToCaller):
            delay = self.world.draw_delay(CALLER_SECONDS)
            self.world.after(delay, self.world.answer, action.segment, self.address)
