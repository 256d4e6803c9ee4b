"""Balancer in the simulation, driven as by its task."""

from ibisshunt.coordination.forwarding.balancer import Balancer
from ibisshunt.coordination.forwarding.messages import (
    AggregatedAnswers,
    FlowLocations,
    LocationQuery,
    Pong,
    RejectedPacket,
    SendMessage,
    Status,
)
from tests.forwarding_world import make_route_table
from tests.races.timing import (
    BUSY_TICK_SECONDS,
    CALLER_SECONDS,
    IDLE_TICK_SECONDS,
)


class BalancerNode:
    """Balancer that is driven by simulated events."""

    def __init__(self, world, address, domain):
        self.world, self.address, self.domain = world, address, domain
        self.balancer = Balancer(world.random.random, self.log_event, world.now)
        self.balancer.update_routes(make_route_table())
        world.call_later(world.random.uniform(0, IDLE_TICK_SECONDS), self.tick)

    def log_event(self, event, **fields):
        if "flow" in fields:
            key = bytes.fromhex(fields.pop("flow"))
            self.world.trace(key, event, self.address, fields)

    def tick(self):
        self.balancer.peers = tuple(
            address for address in self.world.balancers if address != self.address
        )
        self.carry_out(self.balancer.tick(self.world.now))
        is_busy = self.balancer.has_pending_work()
        pause = BUSY_TICK_SECONDS if is_busy else IDLE_TICK_SECONDS
        self.world.call_later(pause, self.tick)

    def handle_message(self, peer, message):
        now, balancer = self.world.now, self.balancer
        if isinstance(message, Status):
            balancer.handle_status(peer, message, now)
            if balancer.state.pending_syns and message.active_requests <= message.slots:
                self.carry_out(balancer.retry_pending(now))
        elif isinstance(message, RejectedPacket):
            segment = self.world.segments[message.packet]
            self.carry_out(balancer.handle_rejected_packet(peer, message, segment, now))
        elif isinstance(message, AggregatedAnswers):
            self.carry_out(balancer.handle_aggregated_answers(message, now))
        elif isinstance(message, Pong):
            balancer.handle_pong(peer, message.sequence, now)
        elif isinstance(message, LocationQuery):
            locations = balancer.answer_location_query(message, now)
            if locations is not None:
                self.world.send(self.address, peer, locations)
        elif isinstance(message, FlowLocations):
            self.carry_out(balancer.handle_flow_locations(message, now))

    def handle_packet(self, segment):
        self.carry_out(self.balancer.handle_packet(segment, self.world.now))

    def carry_out(self, actions):
        for action in actions:
            if isinstance(action, SendMessage):
                self.world.send(self.address, action.peer, action.message)
                continue
            key = action.segment.key
            self.world.trace(key, "reset", self.address, action.reason)
            delay = self.world.draw_delay(CALLER_SECONDS)
            self.world.call_later(delay, self.world.reset, action.segment)
