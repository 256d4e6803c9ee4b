"""Measure broken flows, extra hops and imbalance at the level of decisions.

Prints JSON. Real routers and flow owners hand packets to each other through the small
world that the tests use; there are no sockets, and the clock is a number. Two baselines
see the same flows, changes and delays: a plain modulo hash over the targets that take
new flows, and the first choice of the bucket table without any chain.
"""

import argparse
import json
import random
from collections import Counter

from ibisshunt.coordination.flows.ranking import find_bucket
from ibisshunt.coordination.flows.router import Router
from ibisshunt.coordination.flows.table import ServiceTable
from ibisshunt.model.target import TargetState
from ibisshunt.protocol.packet import scan_packet
from tests.flow_fakes import ACK, SYN, make_configuration, make_tcp
from tests.flow_world import World

TARGETS = 7
BALANCERS = 4
FLOWS = 14_000
STEP_SECONDS = 0.5
SECONDS_PER_REPLACEMENT = 20.0
PACKETS_PER_STEP = 450
MOST_LAG_SECONDS = 8.0
NEW_PER_LOAD_REPORT = 77
SEED = 20261202


class Node:
    """Hold a table that reaches a node some seconds after it was accepted."""

    def __init__(self, take, draw):
        self.take = take
        self.draw = draw
        self.waiting = []

    def announce(self, slice_, now):
        """Schedule a slice; a later one is never in force before an earlier."""
        due = now + self.draw.uniform(0, MOST_LAG_SECONDS)
        if self.waiting:
            due = max(due, self.waiting[-1][0])
        self.waiting.append((due, slice_))

    def advance(self, now):
        """Take into force what is due."""
        while self.waiting and self.waiting[0][0] <= now:
            self.take(self.waiting.pop(0)[1])


class Replacement:
    """Replace all targets and all balancers while flows live."""

    def __init__(self, seed):
        self.draw = random.Random(seed)
        self.world = World(TARGETS, balancers=BALANCERS, max_flows=FLOWS)
        self.now_slice = self.world.slice
        self.tables = [ServiceTable(self.now_slice, 0.0) for _ in range(BALANCERS)]
        self.nodes = {}
        for number in range(BALANCERS):
            self.add_balancer(number)
        for target in self.world.targets.values():
            self.add_agent(target)
        self.ports = []
        self.packets = {}
        self.owners = {}
        self.modulo = {}
        self.consistent = {}
        self.again = Counter()
        self.hops = Counter()

    def add_balancer(self, number):
        """Start a balancer with the newest records."""

        def take(slice_):
            configuration = make_configuration(slice_)
            self.world.balancers[number].update(configuration, self.world.now)
            self.tables[number] = ServiceTable(slice_, self.world.now)

        self.world.balancers[number] = Router()
        take(self.now_slice)
        self.nodes["balancer", number] = Node(take, self.draw)

    def add_agent(self, target):
        """Let an agent hear of new records."""

        def take(slice_):
            table = ServiceTable(slice_, self.world.now)
            self.world.update_agent(target, table)

        self.nodes["agent", target.incarnation] = Node(take, self.draw)

    def announce(self):
        """Accept the present records; each node hears of them in its own time."""
        self.now_slice = self.world.make_slice()
        for node in self.nodes.values():
            node.announce(self.now_slice, self.world.now)

    def open(self, port):
        """Open a flow in all three worlds."""
        number = self.draw.randrange(BALANCERS)
        outcome = self.world.send(make_tcp(SYN, port=port), number)
        if not outcome.target:
            self.again[f"open {outcome.reason}"] += 1
            return
        packet = make_tcp(ACK, port=port)
        key, _ = scan_packet(packet)
        self.ports.append(port)
        self.packets[port] = packet, key
        self.owners[port] = outcome.agent_port
        self.modulo[port] = self.find_modulo(key, number)
        self.consistent[port] = self.tables[number].find_first_incarnation(
            find_bucket(key)
        )

    def find_modulo(self, key, number):
        """Return the target that a plain modulo hash gives."""
        ready = [one for one in self.tables[number].targets if one.takes_new_work]
        return ready[find_bucket(key) % len(ready)].incarnation

    def go_on(self, port):
        """Send a packet of a flow through some balancer in all three worlds."""
        number = self.draw.randrange(BALANCERS)
        packet, key = self.packets[port]
        if port in self.owners:
            outcome = self.world.send(packet, number)
            if outcome.target:
                self.hops[len(outcome.visits) - 1] += 1
            else:
                self.again[outcome.reason] += 1
            if outcome.reset or (
                outcome.target and outcome.agent_port != self.owners[port]
            ):
                del self.owners[port]
        if port in self.modulo and self.modulo[port] != self.find_modulo(key, number):
            del self.modulo[port]
        first = self.tables[number].find_first_incarnation(find_bucket(key))
        if port in self.consistent and self.consistent[port] != first:
            del self.consistent[port]

    def run(self):
        """Replace one target after the other, and the balancers meanwhile."""
        ports = range(1024, 1024 + FLOWS)
        for port in ports:
            self.open(port)
        next_port = ports[-1] + 1
        steps = int(SECONDS_PER_REPLACEMENT / STEP_SECONDS)
        for replaced in range(1, TARGETS + 1):
            for step in range(steps):
                self.change(replaced, step)
                self.world.now += STEP_SECONDS
                for node in list(self.nodes.values()):
                    node.advance(self.world.now)
                for _ in range(PACKETS_PER_STEP):
                    self.go_on(self.draw.choice(self.ports))
                for _ in range(10):
                    self.open(next_port)
                    next_port += 1
        return self.report()

    def change(self, replaced, step):
        """Make the changes of one step of one replacement."""
        if step == 0:
            self.add_agent(self.world.add(f"new{replaced}", FLOWS))
            self.announce()
        if step == 20:
            self.world.leave(f"t{replaced}")
            self.world.find_agent(f"t{replaced}").set_leaving(True)
            self.announce()
        if step == 30:
            self.add_balancer(replaced % BALANCERS)

    def report(self):
        """Return shares of broken flows and of hops."""
        opened = len(self.packets)
        packets = sum(self.hops.values())
        return {
            "flows": opened,
            "packets": packets,
            "broken_flows": {
                "ibisshunt": opened - len(self.owners),
                "modulo_hash": opened - len(self.modulo),
                "consistent_hash_without_chains": opened - len(self.consistent),
            },
            "packets_sent_again_by_reason": dict(self.again),
            "extra_hops": {
                str(hops): round(count / packets, 4)
                for hops, count in sorted(self.hops.items())
            },
        }


def measure_hops(flows=4000, lose_notices=False) -> dict:
    """Report extra hops while a service of 7 loses and regains a target."""
    world = World(TARGETS, max_flows=3 * flows)
    world.lose_notices = lose_notices
    for port in range(1024, 1024 + flows):
        world.open(port)
    phases = {"before": share_hops(world, flows)}
    world.leave("t3")
    world.publish()
    phases["target_leaves_first_packets"] = share_hops(world, flows)
    phases["target_leaves_later_packets"] = share_hops(world, flows)
    for port in range(10_000, 10_000 + flows):
        world.open(port)
    world.change("t3", state=TargetState.READY)
    world.publish()
    phases["target_is_back_first_packets"] = share_hops(world, flows, 10_000)
    phases["target_is_back_later_packets"] = share_hops(world, flows, 10_000)
    return phases


def share_hops(world, flows, first=1024) -> dict:
    """Return the share of packets by extra hops, one packet a flow."""
    hops = Counter()
    for port in range(first, first + flows):
        hops[len(world.send_ack(port).visits) - 1] += 1
    return {str(hop): round(count / flows, 4) for hop, count in sorted(hops.items())}


def measure_imbalance(flows: int, sharing: str) -> dict:
    """Report the most loaded target over the mean, flows opening one by one."""
    world = World(TARGETS, sharing=sharing, max_flows=2 * flows)
    for number in range(flows):
        if number % NEW_PER_LOAD_REPORT == 0:
            world.send_loads()
        caller = f"127.3.{number // 40_000}.1"
        packet = make_tcp(SYN, port=1024 + number % 40_000, caller=caller)
        assert world.send(packet, number % 2).target
    counts = [agent.count() for agent in world.agents.values()]
    return {
        "flows": flows,
        "sharing": sharing,
        "most_over_mean": round(max(counts) * TARGETS / flows, 4),
        "least_over_mean": round(min(counts) * TARGETS / flows, 4),
    }


def main() -> None:
    """Run all and print the result."""
    result = {
        "seed": SEED,
        "rolling_replacement_of_7_targets_and_4_balancers": Replacement(SEED).run(),
        "hops_while_a_target_leaves_and_returns": measure_hops(),
        "same_with_all_notices_lost": measure_hops(1000, lose_notices=True),
        "imbalance": [
            measure_imbalance(flows, sharing)
            for flows in (14_000, 42_000)
            for sharing in ("even", "hunting")
        ],
    }
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    argparse.ArgumentParser(description=__doc__).parse_args()
    main()
