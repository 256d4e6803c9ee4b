"""Embed the balancer and the agents, and reset the caller of a host that fails.

Run ``python -m examples.silent_host``: a balancer places a flow on one of three
targets. The host of that target fails; the caller repeats its request after 0.2 s, and
the host leaves pings unanswered that the other agents answer. The caller gets a reset
within half a second, in time to be served by another target. Clock, network and targets
are simulated in steps of 10 ms. The example needs no gevent or sockets.
"""

import random

from ibisshunt.coordination.forwarding.addresses import unpack_addresses
from ibisshunt.coordination.forwarding.agent import Agent
from ibisshunt.coordination.forwarding.balancer import Action, Balancer
from ibisshunt.coordination.forwarding.messages import (
    Deliver,
    Ping,
    RelayRequest,
    ResetFlow,
)
from ibisshunt.coordination.forwarding.routes import Route, RouteTable, WeightedService
from ibisshunt.coordination.forwarding.search.aggregation import make_aggregated
from ibisshunt.coordination.forwarding.segment import Segment
from ibisshunt.coordination.forwarding.target_tracking.incarnations import Heartbeat

VIP = bytes((198, 18, 0, 1, 1, 187))
KEY = bytes((100, 64, 0, 7, 156, 65)) + VIP
SYN = Segment(KEY, b"opening", b"", 1000, 0, is_syn=True)
REQUEST = Segment(KEY, b"request", b"GET /", 1001, 1, is_ack=True)
ROUTE = Route("watch", (WeightedService("booking", 1),), 1000, 100, 1, retryable=True)
STEP_SECONDS, STATUS_STEPS, RETRANSMIT_STEPS = 0.01, 40, 20


class Network:
    """Deliver messages between one balancer and the agents of running hosts."""

    def __init__(self) -> None:
        self.balancer = Balancer(random.Random(1).random)
        self.balancer.update_routes(RouteTable(1, {VIP: ROUTE}))
        self.agents: dict[str, Agent] = {}
        self.is_caller_reset = False
        for number in range(3):
            agent = Agent("booking", 1, 1.0, -3.0)
            for sequence in range(1, 5):
                heartbeat = Heartbeat(f"i-{number}", "booking", 1, False, 0, sequence)
                agent.handle_heartbeat(heartbeat, sequence - 4.0)
            self.agents[f"10.0.2.{number}"] = agent

    def send_statuses(self, now: float) -> None:
        """Send the status of each agent to the balancer."""
        for address, agent in self.agents.items():
            self.balancer.handle_status(address, agent.make_status(now), now)

    def execute(self, actions: list[Action], now: float) -> None:
        """Execute the balancer's actions; messages to a failed host are lost."""
        for action in actions:
            if isinstance(action, ResetFlow):
                self.is_caller_reset = True
            elif action.peer in self.agents:
                self._deliver(action.peer, action.message, now)

    def _deliver(
        self, peer: str, message: Deliver | Ping | RelayRequest, now: float
    ) -> None:
        if isinstance(message, Ping):
            self.balancer.handle_pong(peer, message.sequence, now)
        elif isinstance(message, Deliver):
            segment = SYN if message.packet == SYN.packet else REQUEST
            self.agents[peer].handle_packet("10.0.1.1", message, segment, now)
        else:
            queried = self.agents.keys() & set(unpack_addresses(message.agents))
            answers = {
                address: int(
                    self.agents[address].answer_query(message.query, now).answer
                )
                for address in queried
            }
            aggregated = make_aggregated(KEY, message.round_id, answers)
            self.execute(self.balancer.handle_aggregated_answers(aggregated, now), now)


def run() -> float:
    """Return the seconds from the caller's request until its reset."""
    network = Network()
    network.send_statuses(0.0)
    network.execute(network.balancer.handle_packet(SYN, 0.0), 0.0)
    network.execute(network.balancer.handle_packet(REQUEST, 0.0), 0.0)
    del network.agents[network.balancer.flows[KEY].address]
    step = 0
    while not network.is_caller_reset:
        step += 1
        now = step * STEP_SECONDS
        if step % STATUS_STEPS == 0:
            network.send_statuses(now)
        if step == RETRANSMIT_STEPS:
            network.execute(network.balancer.handle_packet(REQUEST, now), now)
        network.execute(network.balancer.tick(now), now)
    return step * STEP_SECONDS


def main() -> None:
    """Run the example and print the time until the reset."""
    print(f"the caller of a dark host is told after {run():.2f} s")


if __name__ == "__main__":
    main()
