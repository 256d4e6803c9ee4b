"""Test the recall of flows after a restart, and failures found by random tests."""

from ibisshunt.coordination.flows.ranking import hash_instance
from ibisshunt.coordination.flows.recall import (
    RECALL_TIMEOUT_SECONDS,
    InstanceHistory,
    InstanceStatus,
    Recall,
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
        if make_key(port) in world.find_agent(target.name).state.flows
    ]


def test_an_adopted_flow_is_dropped_when_another_agent_owns_it_from_its_first_packet():
    """A restarted agent adopts an unknown flow that no target has.

    The caller is reset and opens a new flow on the same ports, which another agent
    accepts. If the first agent kept its entry, the new flow would break as soon as its
    bucket moved to that agent.
    """
    world = World(targets=3)
    world.restart_agent("t2", replicate=False)
    world.publish()
    adopted = [port for port in PORTS if world.send_ack(port).target == "t2"]
    assert adopted
    for port in adopted:
        owner = world.find_agent("t1")
        owner.state.flows.touch(make_key(port), 0, world.now, 300)
        owner.state.send_pointers(world.find("t2"), [make_key(port)])
        world._deliver_notices(owner)
        assert list_holders(world, port) == ["t1"]


def test_a_flow_with_packets_after_its_adoption_is_kept():
    world = World(targets=3)
    owners = {port: world.open(port) for port in PORTS}
    world.restart_agent("t2", replicate=False)
    world.publish()
    ports_of_target = [port for port, name in owners.items() if name == "t2"]
    for port in ports_of_target:
        assert world.send_ack(port).target == "t2"
        assert world.send_ack(port, balancer=1).target == "t2"
        peer = world.find_agent("t1")
        peer.state.send_pointers(world.find("t2"), [make_key(port)])
        world._deliver_notices(peer)
        assert list_holders(world, port) == ["t2"]


def test_a_restarted_agent_does_not_recall_flows_that_it_only_redirected():
    """The first choice redirected a flow to the second, and that one to the third.

    The first still has a pointer to the second, because the pointer from the third was
    lost. When the agent of the second restarts, the answers to its recall must not
    contain the flow.
    """
    world = World(targets=3)
    world.lose_notices = True
    for name in ("t1", "t2", "t3"):
        world.find_agent(name).state.flows.limit = 100 if name == "t3" else 0
    owners = {port: world.open(port) for port in PORTS}
    assert set(owners.values()) == {"t3"}
    world.lose_notices = False
    world.restart_agent("t2")
    world.publish(agents=("t2",), balancers=())
    for port in PORTS:
        assert list_holders(world, port) == ["t3"]
        assert world.send_ack(port).target == "t3"


def test_every_flow_is_replicated_again_within_the_idle_timeout():
    """The pointers at a peer expire after the idle timeout."""
    world = World(targets=3, max_flows=5000, idle_timeout_ms=60_000)
    ports = range(10_000, 11_000)
    owners = {port: world.open(port) for port in ports}
    for _ in range(150):
        world.now += 1.0
        for port in list(owners)[::10]:
            world.send_ack(port)
        world.replicate_flows()
        for agent in world.agents.values():
            for _ in agent.state.pointers.sweep(world.now):
                pass
    for target in world.targets.values():
        keys_of_target = {
            make_key(port) for port in ports if owners[port] == target.name
        }
        instance_id = hash_instance(target)
        advertised = set()
        for agent in world.agents.values():
            advertised |= set(agent.state.pointers.list_keys(instance_id))
        assert keys_of_target <= advertised


def test_packets_that_reach_an_agent_during_its_recall_are_dropped():
    world = World(targets=2)
    owners = {port: world.open(port) for port in PORTS}
    world.lose_notices = True
    world.restart_agent("t1")
    world.publish()
    world.now -= RECALL_TIMEOUT_SECONDS
    reasons = {world.send_ack(port).reason for port in owners if owners[port] == "t1"}
    assert reasons == {"recalling"}


def test_a_recall_ends_when_the_answers_of_all_peers_are_complete():
    recall = Recall()
    recall.start({1, 2}, 10.0)
    recall.add_received_keys(1, 100)
    recall.finish_peer(1, 100, InstanceStatus.KNOWN)
    assert recall.is_running(10.1)
    recall.add_received_keys(2, 99)
    recall.finish_peer(2, 100, InstanceStatus.UNSURE)
    assert recall.list_pending_peers() == {2}
    recall.add_received_keys(2, 100)
    recall.finish_peer(2, 100, InstanceStatus.UNSURE)
    assert not recall.is_running(10.1)
    assert not recall.is_new_instance()


def test_flows_are_recalled_from_suspects_without_other_peers():
    """The other agents cannot reach the control hosts: their leases have expired."""
    world = World(targets=3)
    owners = {port: world.open(port) for port in PORTS}
    for name in ("t1", "t3"):
        world.change(name, state=TargetState.SUSPECT)
    world.publish()
    world.restart_agent("t2", same_incarnation=True)
    world.publish(agents=("t2",), balancers=())
    for port, name in owners.items():
        assert list_holders(world, port) == [name]


def test_a_recall_without_answers_ends_at_its_deadline():
    recall = Recall()
    recall.start({1}, 10.0)
    assert recall.is_running(10.0 + RECALL_TIMEOUT_SECONDS - 0.01)
    assert not recall.is_running(10.0 + RECALL_TIMEOUT_SECONDS)
    recall_without_peers = Recall()
    recall_without_peers.start(set(), 10.0)
    assert not recall_without_peers.is_running(10.0)


def test_a_new_instance_is_distinguished_from_a_restarted_agent():
    history = InstanceHistory()
    old, new = make_target(1), make_target(2)
    history.add_targets((old,))
    history.add_targets((old, new))
    assert history.classify(hash_instance(old), 1, 50) == InstanceStatus.UNSURE
    assert history.classify(hash_instance(old), 9, 50) == InstanceStatus.KNOWN
    assert history.classify(hash_instance(new), 2, 60) == InstanceStatus.FRESH
    assert history.classify(hash_instance(new), 3, 60) == InstanceStatus.KNOWN
    assert history.classify(12345, 4, 70) == InstanceStatus.FRESH
    assert history.classify(hash_instance(new), 2, 61) == InstanceStatus.KNOWN


def test_an_agent_that_restarts_again_is_not_taken_for_its_previous_run():
    """Guards against packets of open flows that a restarted agent does not accept.

    Its peers took it for its previous run, because they also reported flows to it, and
    answered that its target is new and cannot have flows.
    """
    world = World(targets=3)
    world.lose_notices = True
    world.add("t4")
    world.publish()
    world.lose_notices = False
    owners = {port: world.open(port) for port in PORTS}
    assert "t4" in owners.values()
    for _ in range(2):
        world.restart_agent("t4", same_incarnation=True)
        world.publish()
    assert not world.find_agent("t4").state.recall.is_new_instance()


def test_a_syn_is_accepted_once_while_tables_differ():
    """The balancer knows a new target; that target's own agent does not yet.

    The new agent forwards the SYN to the first choice by its table, and by the table of
    that agent the new target is first. The SYN belongs to an older flow of a third
    target, which must get it.
    """
    world = World(targets=3)
    owners = {port: world.open(port) for port in PORTS}
    world.add("t4", weight=400)
    world.publish(agents=("t1", "t2", "t3"))
    for port, name in owners.items():
        assert world.send(make_tcp(SYN, port=port)).target == name
        assert list_holders(world, port) == [name]
