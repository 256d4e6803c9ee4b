"""Failures that the property of flows has found, and the bounds of a recall."""

from ibisshunt.coordination.flows.ranking import identify_place
from ibisshunt.coordination.flows.recall import (
    RECALL_SECONDS,
    PlaceMemory,
    Recall,
    Verdict,
)
from ibisshunt.model.target import TargetState
from ibisshunt.protocol.packet import scan_packet
from tests.flow_fakes import ACK, SYN, make_target, make_tcp
from tests.flow_world import World

PORTS = range(40_000, 40_100)


def make_key(port):
    return scan_packet(make_tcp(ACK, port=port))[0]


def list_holders(world, port):
    return [
        target.name
        for target in world.targets.values()
        if make_key(port) in world.agent_of(target.name).state.flows
    ]


def test_an_adopted_flow_yields_to_an_agent_that_took_it_from_its_first_packet():
    """A restarted agent adopts a stray that nobody claims; no target holds it.

    The caller is reset and opens a new flow on the same ports, which another agent
    takes. Were the first agent to keep its entry, the new flow would break as soon as
    the bucket moved to it.
    """
    world = World(targets=3)
    world.restart_agent("t2", hand_over=False)
    world.spread()
    adopted = [port for port in PORTS if world.go_on(port).target == "t2"]
    assert adopted
    for port in adopted:
        owner = world.agent_of("t1")
        owner.state.flows.touch(make_key(port), 0, world.now, 300)
        owner.state.tell(world.find("t2"), [make_key(port)])
        world._carry_notices(owner)
        assert list_holders(world, port) == ["t1"]


def test_a_flow_that_goes_on_after_its_adoption_is_kept():
    world = World(targets=3)
    owners = {port: world.open(port) for port in PORTS}
    world.restart_agent("t2", hand_over=False)
    world.spread()
    mine = [port for port, name in owners.items() if name == "t2"]
    for port in mine:
        assert world.go_on(port).target == "t2"
        assert world.go_on(port, balancer=1).target == "t2"
        peer = world.agent_of("t1")
        peer.state.tell(world.find("t2"), [make_key(port)])
        world._carry_notices(peer)
        assert list_holders(world, port) == ["t2"]


def test_a_restarted_agent_does_not_recall_flows_that_it_only_passed_on():
    """The first choice passed a flow to the second, and that one to the third.

    The first still points to the second, because what the third told it was lost.
    When the second's agent restarts and asks its peers, it must not be told that the
    flow is its own.
    """
    world = World(targets=3)
    world.lose_notices = True
    for name in ("t1", "t2", "t3"):
        world.agent_of(name).state.flows.limit = 100 if name == "t3" else 0
    owners = {port: world.open(port) for port in PORTS}
    assert set(owners.values()) == {"t3"}
    world.lose_notices = False
    world.restart_agent("t2")
    world.spread(agents=("t2",), balancers=())
    for port in PORTS:
        assert list_holders(world, port) == ["t3"]
        assert world.go_on(port).target == "t3"


def test_peers_are_told_of_every_flow_again_within_the_idle_timeout():
    """A peer forgets what it was told after the idle timeout."""
    world = World(targets=3, max_flows=5000, idle_timeout_ms=60_000)
    ports = range(10_000, 11_000)
    owners = {port: world.open(port) for port in ports}
    for _ in range(150):
        world.now += 1.0
        for port in list(owners)[::10]:
            world.go_on(port)
        world.tell_flows()
        for agent in world.agents.values():
            for _ in agent.state.pointers.sweep(world.now):
                pass
    for target in world.targets.values():
        mine = {make_key(port) for port in ports if owners[port] == target.name}
        place = identify_place(target)
        told = set()
        for agent in world.agents.values():
            told |= set(agent.state.pointers.list_keys(place))
        assert mine <= told


def test_packets_that_meet_a_recalling_agent_are_lost_and_not_misled():
    world = World(targets=2)
    owners = {port: world.open(port) for port in PORTS}
    world.lose_notices = True
    world.restart_agent("t1")
    world.spread()
    world.now -= RECALL_SECONDS
    reasons = {world.go_on(port).reason for port in owners if owners[port] == "t1"}
    assert reasons == {"recalling"}


def test_a_recall_ends_when_every_peer_has_answered_whole():
    recall = Recall()
    recall.start({1, 2}, 10.0)
    recall.count(1, 100)
    recall.finish(1, 100, Verdict.KNOWN)
    assert recall.is_open(10.1)
    recall.count(2, 99)
    recall.finish(2, 100, Verdict.UNSURE)
    assert recall.list_waiting() == {2}
    recall.count(2, 100)
    recall.finish(2, 100, Verdict.UNSURE)
    assert not recall.is_open(10.1)
    assert not recall.is_fresh()


def test_flows_are_recalled_from_suspects_when_there_is_nobody_else():
    """Control cannot be reached by the other agents: their leases have run out."""
    world = World(targets=3)
    owners = {port: world.open(port) for port in PORTS}
    for name in ("t1", "t3"):
        world.change(name, state=TargetState.SUSPECT)
    world.spread()
    world.restart_agent("t2", same_incarnation=True)
    world.spread(agents=("t2",), balancers=())
    for port, name in owners.items():
        assert list_holders(world, port) == [name]


def test_a_recall_without_answers_ends_at_its_deadline():
    recall = Recall()
    recall.start({1}, 10.0)
    assert recall.is_open(10.0 + RECALL_SECONDS - 0.01)
    assert not recall.is_open(10.0 + RECALL_SECONDS)
    alone = Recall()
    alone.start(set(), 10.0)
    assert not alone.is_open(10.0)


def test_peers_tell_a_new_place_from_a_restarted_agent():
    memory = PlaceMemory()
    old, new = make_target(1), make_target(2)
    memory.note((old,))
    memory.note((old, new))
    assert memory.judge(identify_place(old), 1, 50) == Verdict.UNSURE
    assert memory.judge(identify_place(old), 9, 50) == Verdict.KNOWN
    assert memory.judge(identify_place(new), 2, 60) == Verdict.FRESH
    assert memory.judge(identify_place(new), 3, 60) == Verdict.KNOWN
    assert memory.judge(12345, 4, 70) == Verdict.FRESH
    assert memory.judge(identify_place(new), 2, 61) == Verdict.KNOWN


def test_a_syn_while_tables_disagree_is_taken_once():
    """The balancer knows a new target; that target's own agent does not yet.

    The new agent sends the SYN to whom it holds to be first, who holds the new one to
    be first. An older flow on the same ports lives elsewhere: it must be found.
    """
    world = World(targets=3)
    owners = {port: world.open(port) for port in PORTS}
    world.add("t4", weight=400)
    world.spread(agents=("t1", "t2", "t3"))
    for port, name in owners.items():
        assert world.send(make_tcp(SYN, port=port)).target == name
        assert list_holders(world, port) == [name]
