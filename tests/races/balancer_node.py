"""Drive a balancer as its task does, on the race world's clock."""

from ibisshunt.coordination.forwarding.balancer import Balancer
from ibisshunt.coordination.forwarding.messages import (
    Gathered,
    Known,
    Pong,
    Returned,
    Seek,
    Send,
    Status,
)
from tests.forwarding_world import make_table
from tests.races.timing import (
    BUSY_SWEEP_SECONDS,
    CALLER_SECONDS,
    IDLE_SWEEP_SECONDS,
)


class BalancerNode:
    """Drive one balancer."""

    def __init__(self, world, address, domain):
        self.world, self.address, self.domain = world, address, domain
        self.balancer = Balancer(world.random.random, self.tell_event, world.now)
        self.balancer.take_routes(make_table())
        world.after(world.random.uniform(0, IDLE_SWEEP_SECONDS), self.sweep)

    def tell_event(self, event, **fields):
        if "flow" in fields:
            key = bytes.fromhex(fields.pop("flow"))
            self.world.trace(key, event, self.address, fields)

    def sweep(self):
        self.balancer.peers = tuple(
            address for address in self.world.balancers if address != self.address
        )
        self.carry_out(self.balancer.sweep(self.world.now))
        is_busy = self.balancer.is_busy()
        pause = BUSY_SWEEP_SECONDS if is_busy else IDLE_SWEEP_SECONDS
        self.world.after(pause, self.sweep)

    def take(self, peer, message):
        now, balancer = self.world.now, self.balancer
        if isinstance(message, Status):
            balancer.learn(peer, message, now)
            if balancer.state.openings and message.active <= message.slots:
                self.carry_out(balancer.open_again(now))
        elif isinstance(message, Returned):
            segment = self.world.segments[message.packet]
            self.carry_out(balancer.take_returned(peer, message, segment, now))
        elif isinstance(message, Gathered):
            self.carry_out(balancer.take_gathered(message, now))
        elif isinstance(message, Pong):
            balancer.take_pong(peer, message.number, now)
        elif isinstance(message, Seek):
            known = balancer.tell_known(message, now)
            if known is not None:
                self.world.send(self.address, peer, known)
        elif isinstance(message, Known):
            self.carry_out(balancer.take_known(message, now))

    def take_packet(self, segment):
        self.carry_out(self.balancer.take(segment, self.world.now))

    def carry_out(self, actions):
        for action in actions:
            if isinstance(action, Send):
                self.world.send(self.address, action.peer, action.message)
                continue
            key = action.segment.key
            self.world.trace(key, "reset", self.address, action.reason)
            delay = self.world.draw_delay(CALLER_SECONDS)
            self.world.after(delay, self.world.reset, action.segment)
