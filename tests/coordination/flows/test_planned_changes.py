"""Test that planned changes, one or two at once, break no flow.

Each change is a generator of steps. After each step new flows are opened and packets of
older flows are sent through the balancers; each must reach the target that accepted its
first packet. Steps update some nodes before others.
"""

import itertools
from dataclasses import replace

import pytest

from ibisshunt.coordination.flows.router import Router
from ibisshunt.model.target import TargetState
from ibisshunt.protocol.datagram import Header
from tests.flow_fakes import SYN, make_tcp
from tests.flow_world import World

TARGETS = 4


def add_targets(world):
    for number in (1, 2):
        world.add(f"added{number}")
        yield from publish_in_two_steps(world)


def drain_target(world):
    world.leave("t1")
    world.find_agent("t1").set_leaving(True)
    yield from publish_in_two_steps(world)
    assert "t1" not in {world.open(port) for port in next_ports(40)}


def replace_target(world):
    world.add("replacement")
    yield from publish_in_two_steps(world)
    world.leave("t2")
    yield from publish_in_two_steps(world)


def replace_target_under_its_name(world):
    old = world.find("t4")
    world.targets[old.incarnation] = replace(old, state=TargetState.LEAVING)
    world.add("t4")
    yield from publish_in_two_steps(world)


def change_weights(world):
    for number, weight in enumerate((50, 400, 100), 1):
        world.change(f"t{number}", weight=weight)
        yield from publish_in_two_steps(world)


def warm_up_cold_target(world):
    world.add("cold", warm_deadline=world.now + 10)
    for _ in range(6):
        yield from publish_in_two_steps(world)
        world.now += 1.5


def add_balancer(world):
    world.balancers.append(Router())
    world.publish(agents=(), balancers=(len(world.balancers) - 1,))
    yield


def remove_balancer(world):
    if len(world.balancers) > 1:
        world.balancers.pop()
    yield


def roll_balancers(world):
    for number in range(len(world.balancers)):
        world.balancers[number] = Router()
        world.publish(agents=(), balancers=(number,))
        yield


def roll_agents(world):
    for name in sorted({one.name for one in world.targets.values()}):
        if world.find(name).state == TargetState.READY:
            world.restart_agent(name)
            world.publish()
            yield


def roll_agents_that_keep_their_incarnation(world):
    for name in sorted({one.name for one in world.targets.values()}):
        world.restart_agent(name, same_incarnation=True)
        world.publish(agents=(name,), balancers=())
        yield


def upgrade_half_of_the_nodes(world):
    """Restart half of the balancers and agents, as an upgrade to a new release does."""
    world.balancers[0] = Router()
    world.publish(agents=(), balancers=(0,))
    yield
    for name in ("t1", "t3"):
        if world.find(name).state == TargetState.READY:
            world.restart_agent(name)
            world.publish()
            yield


def change_schema_version(world):
    """Write the record again: another schema version of it gets a new revision."""
    world.service = replace(world.service, idle_timeout_ms=200_000)
    yield from publish_in_two_steps(world)


CHANGES = [
    add_targets,
    drain_target,
    replace_target,
    replace_target_under_its_name,
    change_weights,
    warm_up_cold_target,
    add_balancer,
    remove_balancer,
    roll_balancers,
    roll_agents,
    roll_agents_that_keep_their_incarnation,
    upgrade_half_of_the_nodes,
    change_schema_version,
]


def publish_in_two_steps(world):
    names = sorted({target.name for target in world.targets.values()})
    world.publish(agents=names[::2], balancers=(0,))
    yield
    world.publish(agents=names[1::2], balancers=range(1, len(world.balancers)))
    yield


PORT_COUNTER = itertools.count()


def next_ports(count):
    return [20_000 + next(PORT_COUNTER) % 40_000 for _ in range(count)]


def open_flow(world, port):
    outcome = world.send(make_tcp(SYN, port=port), port % len(world.balancers))
    assert outcome.target, outcome
    return outcome.agent_port


def run_changes(world, *changes):
    agent_ports = {port: open_flow(world, port) for port in next_ports(60)}
    check_flows(world, agent_ports)
    for steps in itertools.zip_longest(*(change(world) for change in changes)):
        del steps
        for port in next_ports(6):
            agent_ports[port] = open_flow(world, port)
        check_flows(world, agent_ports)
    world.publish()
    check_flows(world, agent_ports)


def check_flows(world, agent_ports):
    for port, agent_port in agent_ports.items():
        outcome = world.send_ack(port, balancer=port % len(world.balancers))
        assert outcome.agent_port == agent_port, outcome


@pytest.mark.parametrize("change", CHANGES, ids=lambda change: change.__name__)
def test_a_planned_change_breaks_no_flow(change):
    run_changes(World(TARGETS, balancers=3), change)


@pytest.mark.parametrize("sharing", ["even", "hunting"])
@pytest.mark.parametrize(
    ("one", "other"),
    [
        (replace_target, roll_balancers),
        (replace_target, roll_agents),
        (drain_target, add_targets),
        (change_weights, replace_target_under_its_name),
        (warm_up_cold_target, drain_target),
        (upgrade_half_of_the_nodes, change_schema_version),
        (roll_agents, roll_balancers),
        (roll_agents_that_keep_their_incarnation, replace_target),
    ],
    ids=lambda value: getattr(value, "__name__", value),
)
def test_two_planned_changes_at_once_break_no_flow(one, other, sharing):
    run_changes(World(TARGETS, balancers=3, sharing=sharing), one, other)


def test_unknown_flags_and_kinds_of_a_newer_release_are_ignored():
    """Some nodes run a newer release that sets an unknown flag."""
    world = World(TARGETS)
    agent_ports = {port: open_flow(world, port) for port in next_ports(20)}
    agent = world.find_agent("t1")
    newer = Header(77, 0, world.service.number, 1, 1)
    assert agent.receive(newer, b"anything", world.now) == "unknown_kind"
    for router in world.balancers:
        for route in router._routes.values():
            route.packed_headers = [
                (address, header_bytes[:2] + b"\x40" + header_bytes[3:])
                for address, header_bytes in route.packed_headers
            ]
    check_flows(world, agent_ports)
