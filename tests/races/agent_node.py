"""Agent in the simulation, driven as by its task."""

from ibisshunt.coordination.forwarding.addresses import unpack_addresses
from ibisshunt.coordination.forwarding.agent import Agent
from ibisshunt.coordination.forwarding.messages import (
    Deliver,
    FlowAnswer,
    Ping,
    Pong,
    Probe,
    RelayedQuery,
    RelayRequest,
    SendMessage,
    SendToCaller,
    SendToTarget,
)
from ibisshunt.coordination.forwarding.search.aggregation import AnswerAggregator
from ibisshunt.coordination.forwarding.target_tracking.incarnations import HeartbeatKind
from tests.forwarding_world import SERVICE, make_route_table
from tests.races.timing import (
    CALLER_SECONDS,
    CHANGE_SECONDS,
    FLUSH_SECONDS,
    HEARTBEAT_SECONDS,
    HOST_SECONDS,
    STATUS_SECONDS,
    TICK_SECONDS,
)


class AgentNode:
    """Agent that is driven by simulated events."""

    def __init__(self, world, address, domain):
        self.world, self.address, self.domain = world, address, domain
        self.starts = 0
        self.start()
        world.call_later(world.random.uniform(0, TICK_SECONDS), self.tick)

    def start(self):
        """Start without state from a previous run."""
        now = self.world.now
        self.starts += 1
        self.is_running = True
        self.agent = Agent(
            SERVICE, self.starts, HEARTBEAT_SECONDS, now, self.log_event, 60.0
        )
        self.agent.update_routes(make_route_table())
        self.aggregator = AnswerAggregator()
        self.next_status_at = self.last_status_at = now
        self.reported_load = 0

    def stop(self):
        """Announce the restart of the agent, and stop it."""
        self.agent.pause(self.world.now)
        self.send_statuses()
        self.is_running = False

    def log_event(self, event, **fields):
        if "flow" in fields:
            key = bytes.fromhex(fields.pop("flow"))
            self.world.trace(key, event, self.address, fields)

    def tick(self):
        self.world.call_later(TICK_SECONDS, self.tick)
        if not self.is_running:
            return
        now = self.world.now
        agent = self.agent
        change = abs(agent.count_load(now) - self.reported_load)
        has_changed = change >= 1 and now >= self.last_status_at + CHANGE_SECONDS
        if agent.tick(now) or now >= self.next_status_at or has_changed:
            self.send_statuses()

    def send_statuses(self):
        now = self.world.now
        self.next_status_at, self.last_status_at = now + STATUS_SECONDS, now
        self.reported_load = self.agent.count_load(now)
        status = self.agent.make_status(now)
        for balancer in self.world.balancers:
            self.world.send(self.address, balancer, status)

    def handle_heartbeat(self, heartbeat):
        if not self.is_running:
            return
        before = self.agent.state
        kind = self.agent.handle_heartbeat(heartbeat, self.world.now)
        if kind == HeartbeatKind.NEW_INCARNATION or self.agent.state != before:
            self.send_statuses()

    def receive_from_target(self, segment):
        """Receive a packet of the target after the delay of their link."""
        self.world.call_later(
            self.world.draw_delay(HOST_SECONDS), self.handle_target_packet, segment
        )

    def handle_target_packet(self, segment):
        if not self.is_running:
            return
        now = self.world.now
        for action in self.agent.handle_target_packet(segment, now):
            self.carry_out(action)
        if balancer := self.agent.pop_waiting_balancer(now):
            self.world.send(self.address, balancer, self.agent.make_status(now))

    def handle_message(self, peer, message):
        if not self.is_running:
            return
        now = self.world.now
        if isinstance(message, Deliver):
            segment = self.world.segments[message.packet]
            action = self.agent.handle_packet(peer, message, segment, now)
            if action is not None:
                self.carry_out(action)
        elif isinstance(message, RelayRequest):
            self.relay(peer, message)
        elif isinstance(message, RelayedQuery):
            self.answer_query(peer, message.query)
        elif isinstance(message, FlowAnswer):
            for action in self.aggregator.add_answer(peer, message, now):
                self.carry_out(action)
        elif isinstance(message, Ping):
            self.world.send(self.address, peer, Pong(message.sequence))

    def relay(self, peer, message):
        query = message.query
        agents = unpack_addresses(message.agents)
        is_probe = isinstance(query, Probe)
        key = self.world.segments[query.packet].key if is_probe else query.key
        self.aggregator.start(peer, message.round_id, key, agents, self.world.now)
        self.world.call_later(FLUSH_SECONDS, self.send_answers)
        for address in agents:
            self.world.send(self.address, address, RelayedQuery(query))

    def answer_query(self, peer, query):
        now = self.world.now
        if isinstance(query, Probe):
            segment = self.world.segments[query.packet]
            self.carry_out(self.agent.handle_probe(peer, query, segment, now))
            return
        answer = self.agent.answer_query(query, now)
        self.world.trace(query.key, "answer", self.address, answer.answer)
        self.world.send(self.address, peer, answer)

    def send_answers(self):
        for action in self.aggregator.flush_due(self.world.now):
            self.carry_out(action)
        if self.aggregator:
            self.world.call_later(FLUSH_SECONDS, self.send_answers)

    def carry_out(self, action):
        if isinstance(action, SendMessage):
            self.world.send(self.address, action.peer, action.message)
        elif isinstance(action, SendToTarget):
            balancer = bytes(int(part) for part in action.balancer.split("."))
            segment = action.segment
            self.world.call_later(
                HOST_SECONDS,
                self.world.send_to_target,
                self.address,
                segment,
                balancer,
            )
        elif isinstance(action, SendToCaller):
            delay = self.world.draw_delay(CALLER_SECONDS)
            self.world.call_later(
                delay, self.world.send_to_caller, action.segment, self.address
            )
