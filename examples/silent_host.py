"""Embed the balancer's and the agents' decisions: a host goes dark, its caller hears.

Run ``python -m examples.silent_host``: a balancer places a flow on one of three
targets. The host of that target goes dark; the caller repeats its request after 0.2 s,
and pings that the other agents answer prove the silence. The caller is reset within
half a second, in time to be served elsewhere. Clock, network and targets are the
embedder's own, here a loop of steps of 10 ms. Nothing needs gevent or sockets.
"""

import random

from ibisshunt.coordination.forwarding.addresses import unpack_addresses
from ibisshunt.coordination.forwarding.agent import Agent
from ibisshunt.coordination.forwarding.balancer import Action, Balancer
from ibisshunt.coordination.forwarding.holding.incarnations import Announcement
from ibisshunt.coordination.forwarding.messages import Deliver, Ping, Relay, Reset
from ibisshunt.coordination.forwarding.routes import Route, RouteTable, Share
from ibisshunt.coordination.forwarding.searching.gathering import make_gathered
from ibisshunt.coordination.forwarding.segment import Segment

PLACE = bytes((198, 18, 0, 1, 1, 187))
KEY = bytes((100, 64, 0, 7, 156, 65)) + PLACE
OPENING = Segment(KEY, b"opening", b"", 1000, 0, opens=True)
REQUEST = Segment(KEY, b"request", b"GET /", 1001, 1, acknowledges=True)
ROUTE = Route("watch", (Share("booking", 1),), 1000, 100, 1, repeatable=True)
STEP, STATUS_STEPS, REPEAT_STEPS = 0.01, 40, 20


class Network:
    """Carry messages between one balancer and the agents of hosts that are up."""

    def __init__(self) -> None:
        self.balancer = Balancer(random.Random(1).random)
        self.balancer.take_routes(RouteTable(1, {PLACE: ROUTE}))
        self.agents: dict[str, Agent] = {}
        self.is_told = False
        for number in range(3):
            agent = Agent("booking", 1, 1.0, 0.0)
            agent.announce(Announcement(f"i-{number}", "booking", 1, False, 0, 1), 0.0)
            self.agents[f"10.0.2.{number}"] = agent

    def tell_statuses(self, now: float) -> None:
        """Let each agent tell of its target."""
        for address, agent in self.agents.items():
            self.balancer.learn(address, agent.report(now), now)

    def carry(self, actions: list[Action], now: float) -> None:
        """Carry out what the balancer asks for; what goes to a dark host is lost."""
        for action in actions:
            if isinstance(action, Reset):
                self.is_told = True
            elif action.peer in self.agents:
                self._deliver(action.peer, action.message, now)

    def _deliver(self, peer: str, message: Deliver | Ping | Relay, now: float) -> None:
        if isinstance(message, Ping):
            self.balancer.take_pong(peer, message.number, now)
        elif isinstance(message, Deliver):
            segment = OPENING if message.packet == OPENING.raw else REQUEST
            self.agents[peer].take("10.0.1.1", message, segment, now)
        else:
            asked = self.agents.keys() & set(unpack_addresses(message.to))
            answers = {
                address: int(self.agents[address].tell(message.question, now).answer)
                for address in asked
            }
            gathered = make_gathered(KEY, message.number, answers)
            self.carry(self.balancer.take_gathered(gathered, now), now)


def run() -> float:
    """Return how many seconds after its request the caller hears of the dark host."""
    network = Network()
    network.tell_statuses(0.0)
    network.carry(network.balancer.take(OPENING, 0.0), 0.0)
    network.carry(network.balancer.take(REQUEST, 0.0), 0.0)
    del network.agents[network.balancer.flows[KEY].address]
    step = 0
    while not network.is_told:
        step += 1
        now = step * STEP
        if step % STATUS_STEPS == 0:
            network.tell_statuses(now)
        if step == REPEAT_STEPS:
            network.carry(network.balancer.take(REQUEST, now), now)
        network.carry(network.balancer.sweep(now), now)
    return step * STEP


def main() -> None:
    """Run the example and tell what happened."""
    print(f"the caller of a dark host is told after {run():.2f} s")


if __name__ == "__main__":
    main()
