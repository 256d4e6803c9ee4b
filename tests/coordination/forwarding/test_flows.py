"""Flows through balancers, agents and targets that start, stop, fail and change."""

import pytest

from ibisshunt.coordination.forwarding.balancer import Balancer
from ibisshunt.coordination.forwarding.messages import (
    Answer,
    Deliver,
    FlowLocations,
    LocationQuery,
    Ping,
    TargetState,
)
from ibisshunt.coordination.forwarding.placement.flow import PlacedFlow
from ibisshunt.coordination.forwarding.placement.target import LOST_SECONDS
from ibisshunt.coordination.forwarding.search.search import start_search
from ibisshunt.coordination.forwarding.target_tracking.local_target import (
    MISSED_HEARTBEAT_INTERVALS,
)
from tests.forwarding_world import (
    HEARTBEAT,
    SERVICE,
    World,
    data_segment,
    make_key,
    make_route_table,
    syn_segment,
)

FIRST, SECOND = "10.0.1.0", "10.0.1.1"


def count_received(world):
    return {address: len(target.received) for address, target in world.targets.items()}


def test_all_packets_of_a_flow_go_to_one_target():
    world = World()
    address, ack = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), ack))
    assert len(world.targets[address].received) == 1
    assert sum(count_received(world).values()) == 1
    assert not world.resets


def test_any_balancer_finds_the_target_of_a_flow():
    # A caller's packets reach another balancer, as when its own leaves the rotation.
    # That balancer does not know the flow: it asks the agents and delivers the packet.
    # No other target gets a packet of the flow, and nothing is reset.
    world = World(targets=7)
    address, ack = world.open(FIRST)
    world.send(SECOND, data_segment(make_key(), ack))
    assert len(world.targets[address].received) == 1
    assert not any(target.unknown_flow_packets for target in world.targets.values())
    assert not world.resets


def test_packets_that_arrive_during_a_search_are_all_delivered():
    # An agent is slow to answer while three packets of a flow of its target arrive at a
    # balancer that does not know it: all three must reach the target once it answers.
    world = World()
    address, ack = world.open(FIRST)
    world.unreachable.add(address)
    for step in range(3):
        world.send(SECOND, data_segment(make_key(), ack, 1001 + 16 * step))
    assert not world.targets[address].received
    world.unreachable.clear()
    world.wait(0.2)
    assert len(world.targets[address].received) == 3
    assert not world.resets


def test_packets_reach_the_holder_after_its_agent_has_restarted():
    # An agent restarts while its target runs on: the agent does not know the flows that
    # the target holds. Packets through any balancer still reach the target, and the
    # caller gets no reset.
    world = World(targets=4)
    address, ack = world.open(FIRST)
    world.now += 1.0
    world.agents[address] = world.make_agent()
    world.send_heartbeat(address, number=9, name="i-again")
    world.send_statuses()
    world.send(FIRST, data_segment(make_key(), ack))
    world.send(SECOND, data_segment(make_key(), ack, 1017))
    assert len(world.targets[address].received) == 2
    assert not world.resets


def test_all_agents_restarted_at_once_lose_no_flow():
    # All agents are killed and restart without their flows; each answers MAYBE. The
    # targets are probed, and those that do not hold the flow bounce the packet.
    world = World(targets=5)
    flows = {}
    for port in range(40_001, 40_021):
        flows[port] = world.open(FIRST, make_key(port))
    world.now += 1.0
    world.restart_agents()
    world.send_statuses()
    for port, (address, ack) in flows.items():
        before = len(world.targets[address].received)
        world.send(SECOND, data_segment(make_key(port), ack))
        assert len(world.targets[address].received) == before + 1
    assert not world.resets


def test_a_flow_that_nobody_holds_is_reset_at_once():
    # A target crashed and another one has replaced it: its flows are gone. The caller
    # must get a reset with its next packet instead of waiting for its deadline, through
    # the balancer that knows the flow and through another one.
    world = World()
    address, ack = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), ack))
    world.wait(0.3)
    world.targets[address].flows.clear()
    world.send_heartbeat(address, number=1, name="i-successor")
    world.send_statuses()
    world.send(FIRST, data_segment(make_key(), ack, 1017))
    world.send(SECOND, data_segment(make_key(), ack, 1017))
    reasons = [reset.reason for reset in world.resets]
    assert reasons == ["held_by_nobody", "held_by_nobody"]


def test_a_flow_of_a_silent_agent_is_not_reset_before_the_agent_is_lost():
    # The agent of a flow does not answer for a moment, as during a restart. A reset
    # would break a flow that its target still holds, and its caller may not retry the
    # request.
    world = World(retryable=False)
    address, ack = world.open(FIRST)
    world.unreachable.add(address)
    world.send(SECOND, data_segment(make_key(), ack))
    world.wait(1.2)
    assert not world.resets
    world.unreachable.clear()
    world.wait(0.4)
    world.send(SECOND, data_segment(make_key(), ack))
    assert len(world.targets[address].received) >= 1


def test_a_flow_of_a_lost_agent_is_reset():
    # The host of a target fails without notice: after four missed statuses its flows
    # count as lost, and the caller gets a reset with its next packet.
    world = World()
    address, ack = world.open(FIRST)
    world.unreachable.add(address)
    world.wait(2.0)
    world.send(FIRST, data_segment(make_key(), ack))
    assert len(world.resets) == 1


def test_a_caller_learns_of_a_lost_agent_without_sending_again():
    # The host of a target is lost, and the caller's packet comes before that is known.
    # Its next retransmission may be 1.6 s away; the flow is reset as soon as the agent
    # counts as lost.
    world = World(retryable=False)
    address, ack = world.open(FIRST)
    world.unreachable.add(address)
    world.wait(0.6)
    world.send(SECOND, data_segment(make_key(), ack))
    world.wait(0.5)
    assert not world.resets
    world.wait(LOST_SECONDS)
    assert [reset.reason for reset in world.resets] == ["held_by_nobody"]


def test_a_flow_continues_as_soon_as_its_agent_is_back():
    # The agent of a flow restarts while its target runs on, and the caller's packet
    # comes in between. The flow continues with the agent's first status: neither the
    # caller nor the balancer waits until a retransmission is due.
    world = World(retryable=False)
    address, ack = world.open(FIRST)
    world.wait(0.5)
    world.unreachable.add(address)
    world.send(SECOND, data_segment(make_key(), ack))
    world.wait(0.95)
    agent = world.agents[address] = world.make_agent()
    world.send_heartbeat(address, number=9, name="i-same")
    world.targets[address].answers = True
    world.unreachable.clear()
    sent_before = len(world.sent)
    world.balancers[SECOND].handle_status(
        address, agent.make_status(world.now), world.now
    )
    world.carry_out(SECOND, world.balancers[SECOND].tick(world.now))
    assert len(world.sent) > sent_before
    world.wait(0.1)
    assert world.targets[address].received
    assert not world.resets


def test_no_flow_is_reset_while_an_agent_restarts_as_announced():
    # A planned restart takes longer than an agent may be silent. It was announced, so
    # the agent's flows are not reset during it.
    world = World()
    address, ack = world.open(FIRST)
    world.agents[address].pause(world.now)
    world.send_statuses()
    world.unreachable.add(address)
    world.wait(4.0)
    world.send(FIRST, data_segment(make_key(), ack))
    assert not world.resets


def stop_agent_of_failed_target(world, address, seconds):
    """Restart an agent whose target has failed; stop it ``seconds`` later for good."""
    world.agents[address] = world.make_agent()
    world.send_statuses()
    world.wait(seconds)
    world.agents[address].pause(world.now)
    world.send_statuses()
    world.unreachable.add(address)
    world.wait(0.1)


def test_flows_are_reset_at_once_when_an_agent_stops_without_its_target():
    # After an outage hosts without a target are switched off one after the other. Each
    # agent has missed its target's heartbeats by then and reports it; a caller whose
    # flow ended with that target gets a reset at once, not only when the agent counts
    # as lost.
    world = World()
    address, ack = world.open(FIRST)
    stop_agent_of_failed_target(
        world, address, MISSED_HEARTBEAT_INTERVALS * HEARTBEAT + 0.1
    )
    world.send(SECOND, data_segment(make_key(), ack))
    assert [reset.reason for reset in world.resets] == ["held_by_nobody"]


def test_flows_are_reset_at_once_when_a_host_without_its_target_fails():
    # A host that was removed with its target is powered on with the fleet, and switched
    # off again seconds later without notice. It can hold no flow; a caller whose flow
    # has ended gets a reset at once.
    world = World()
    address, ack = world.open(FIRST)
    world.agents[address] = world.make_agent()
    world.send_statuses()
    world.wait(MISSED_HEARTBEAT_INTERVALS * HEARTBEAT + 0.5)
    world.unreachable.add(address)
    world.send(SECOND, data_segment(make_key(), ack))
    world.wait(0.1)
    assert [reset.reason for reset in world.resets] == ["held_by_nobody"]


def test_a_flow_is_not_reset_while_an_agent_that_has_seen_it_is_silent():
    # A target whose heartbeats are missing may be slow but alive. Its agent knows a
    # flow and is silent for a moment: the flow is not reset before the agent counts as
    # lost.
    world = World()
    address, ack = world.open(FIRST)
    world.now += MISSED_HEARTBEAT_INTERVALS * HEARTBEAT + 0.1
    world.agents[address].tick(world.now)
    world.send_statuses()
    world.unreachable.add(address)
    world.send(SECOND, data_segment(make_key(), ack))
    world.wait(0.5)
    assert not world.resets


def test_a_flow_is_not_reset_when_its_agent_stops_before_the_first_heartbeat():
    # The agent is stopped shortly after its start: its target may be alive and send a
    # heartbeat soon, and a reset would break the flow that it holds.
    world = World()
    address, ack = world.open(FIRST)
    stop_agent_of_failed_target(
        world, address, MISSED_HEARTBEAT_INTERVALS * HEARTBEAT - 0.3
    )
    world.send(SECOND, data_segment(make_key(), ack))
    world.wait(0.5)
    assert not world.resets


def test_a_draining_target_gets_no_new_flow_from_a_balancer_that_does_not_know():
    # A target drains. Its agent knows, a balancer does not yet: the agent rejects the
    # SYN and another target gets the flow.
    world = World(targets=2)
    leaving = "10.0.2.0"
    world.send_heartbeat(leaving, number=2, draining=True)
    for port in range(40_001, 40_021):
        address, _ = world.open(FIRST, make_key(port))
        assert address != leaving
    assert not world.targets[leaving].flows


def test_a_draining_target_keeps_its_flows():
    world = World()
    address, ack = world.open(FIRST)
    world.send_heartbeat(address, number=2, draining=True)
    world.send_statuses()
    world.send(SECOND, data_segment(make_key(), ack))
    assert len(world.targets[address].received) == 1


def test_a_full_target_passes_the_flow_to_another():
    world = World(targets=3)
    for address in ("10.0.2.0", "10.0.2.1"):
        world.targets[address].full = True
    address, _ = world.open(FIRST)
    assert address == "10.0.2.2"
    assert not world.resets


def test_a_flow_that_no_target_can_accept_is_reset_at_once():
    # Every target is full: the caller gets a reset instead of waiting for its timeout,
    # and no request has run.
    world = World(targets=3)
    for target in world.targets.values():
        target.full = True
    world.send(FIRST, syn_segment(make_key()))
    assert [reset.reason for reset in world.resets] == ["no_target"]


def test_a_target_at_a_reused_address_gets_no_packets_of_the_previous_service():
    # A target crashes and a target of another service gets its address. A balancer that
    # does not know yet sends a packet there: the service tag differs, so the packet is
    # not delivered, and the flow is placed elsewhere.
    world = World(targets=2)
    reused = "10.0.2.0"
    world.add_target(reused, first_sequence=9_000_000, service="docs")
    for port in range(40_001, 40_011):
        address, _ = world.open(FIRST, make_key(port))
        assert address == "10.0.2.1"
    assert not world.targets[reused].flows


def test_statuses_of_a_replacement_host_count_though_its_clock_is_behind():
    # A host is replaced by one that booted later, so that its clock counts from a later
    # time and its statuses carry a smaller start time. They must not be discarded as
    # late statuses of the replaced host.
    world = World(targets=1)
    world.wait(2.0)
    address = "10.0.2.0"
    now, world.now = world.now, 5.0
    world.agents[address] = world.make_agent()
    world.now = now
    world.send_heartbeat(address, number=1, name="i-new", slots=7)
    world.wait(0.8)
    for balancer in world.balancers.values():
        assert balancer.targets[address].status.slots == 7


def test_a_reused_port_opens_a_new_flow_while_the_old_one_is_known():
    # A caller reuses its port while the balancer still knows the old flow. The SYN has
    # another sequence number, so the flow is placed anew and its packets follow it.
    world = World(targets=3)
    world.open(FIRST)
    for sequence in range(2000, 2010):
        address, ack = world.open(FIRST, sequence=sequence)
        before = len(world.targets[address].received)
        world.send(FIRST, data_segment(make_key(), ack, sequence + 1))
        assert len(world.targets[address].received) == before + 1


def test_copies_of_a_syn_go_to_one_target():
    # The SYN-ACK was lost and the caller retransmits its SYN through the same balancer:
    # at a second target the handshake would never be completed.
    world = World(targets=5)
    key = make_key()
    for _ in range(3):
        world.send(FIRST, syn_segment(key))
    assert len({address for address, _ in world.sent_to_callers}) == 1


@pytest.mark.parametrize("accepted", [0, 1])
def test_the_caller_decides_between_two_targets_that_answered(accepted):
    # Copies of one SYN went through two balancers to two targets. The caller accepts
    # one SYN-ACK; its packets must reach that target through both balancers, and the
    # other target must get none of them.
    world = World(targets=2)
    key = make_key()
    world.targets["10.0.2.1"].full = True
    world.send(FIRST, syn_segment(key))
    world.targets["10.0.2.1"].full = False
    world.targets["10.0.2.0"].full = True
    world.send(SECOND, syn_segment(key))
    answers = world.sent_to_callers
    assert len({address for address, _ in answers}) == 2
    address, answer = answers[accepted]
    for balancer in (FIRST, SECOND):
        world.send(balancer, data_segment(key, answer.sequence + 1))
    other = next(found for found in world.targets if found != address)
    assert len(world.targets[address].received) == 2
    assert not world.targets[other].received
    assert not world.targets[other].unknown_flow_packets
    assert not world.resets


@pytest.mark.parametrize("is_lost", [False, True])
def test_silence_does_not_prove_that_a_target_holds_a_flow(is_lost):
    # Copies of a SYN went to two targets through two balancers, and the caller accepted
    # the first SYN-ACK. The second balancer still has its own target on record, because
    # the message that this one does not hold the flow was lost. Nine seconds later the
    # caller uses that balancer, and its target rejects the packet, or is gone. The flow
    # is open at the first target and must not be reset.
    world = World(targets=2)
    holder, ack = world.open(FIRST)
    other = next(address for address in world.agents if address != holder)
    fresh = world.balancers[SECOND]
    fresh.flows[make_key()] = PlacedFlow(
        other, SERVICE, 1000, False, world.now, world.now
    )
    world.wait(9.0)
    if is_lost:
        world.unreachable.add(other)
        world.wait(2.0)
    world.send(SECOND, data_segment(make_key(), ack))
    world.wait(0.1)
    assert not world.resets
    assert world.targets[holder].received


def test_an_open_flow_stays_where_it_is_when_its_route_changes_its_service():
    # A new configuration sends new flows of a route to another service; an open flow
    # stays at its target, also through a balancer that never saw it.
    world = World(targets=2)
    world.add_target("10.0.2.9", first_sequence=9_000_000, service="docs")
    world.send_statuses()
    address, ack = world.open(FIRST)
    for balancer in world.balancers.values():
        balancer.update_routes(make_route_table(version=2, service="docs"))
    for balancer in (FIRST, SECOND):
        world.send(balancer, data_segment(make_key(), ack))
    assert len(world.targets[address].received) == 2
    assert world.open(FIRST, make_key(41_000))[0] == "10.0.2.9"


def test_an_older_configuration_is_ignored():
    world = World()
    balancer = world.balancers[FIRST]
    assert balancer.update_routes(make_route_table(version=5))
    assert not balancer.update_routes(make_route_table(version=4, service="docs"))
    assert balancer.routes.version == 5


def test_a_syn_to_a_vip_without_a_route_is_reset_at_once():
    world = World()
    vip = bytes((198, 18, 0, 9, 1, 187))
    world.send(FIRST, syn_segment(make_key(vip=vip)))
    assert [reset.reason for reset in world.resets] == ["no_route"]


def test_a_balancer_that_has_just_started_does_not_reset_a_flow_it_does_not_know():
    # A balancer restarts. Callers' packets arrive before all agents' statuses: the
    # agent of an open flow is listed by a control host, but has sent none yet. A reset
    # would break the flow; the packet waits and reaches the target after the agent's
    # status.
    world = World(targets=3)
    address, ack = world.open(FIRST)
    fresh = Balancer(world.random.random, now=world.now)
    world.balancers[SECOND] = fresh
    fresh.update_routes(make_route_table())
    for known, agent in world.agents.items():
        fresh.expect_agent(known, world.now)
        if known != address:
            fresh.handle_status(known, agent.make_status(world.now), world.now)
    world.send(SECOND, data_segment(make_key(), ack))
    assert not world.resets
    world.wait(0.5)
    assert len(world.targets[address].received) == 1
    world.send(SECOND, data_segment(make_key(), ack, 1017))
    assert len(world.targets[address].received) == 2
    assert not world.resets


def make_fresh_balancer(world, known):
    """Return a balancer that started just now and has statuses of some agents."""
    fresh = Balancer(world.random.random, now=world.now)
    fresh.update_routes(make_route_table(retryable=world.retryable))
    for address in known:
        fresh.expect_agent(address, world.now)
        fresh.handle_status(
            address, world.agents[address].make_status(world.now), world.now
        )
    return fresh


def restart_balancer(world):
    """Restart the second balancer; it has the statuses of all listed agents."""
    world.balancers[SECOND] = fresh = make_fresh_balancer(world, world.agents)
    fresh.apply_agent_list(frozenset(world.agents))


def test_a_syn_is_pending_while_a_new_balancer_knows_only_a_draining_target():
    # A control host and a balancer have just started, and only one agent is listed so
    # far, whose target drains. Guards against the reset of a new flow while another
    # target is free: the balancer must wait for the complete list before it decides.
    world = World(targets=2)
    leaving, free = world.agents
    world.send_heartbeat(leaving, number=2, draining=True)
    world.balancers[FIRST] = fresh = make_fresh_balancer(world, [leaving])
    world.unreachable = {free}
    world.send(FIRST, syn_segment(make_key()))
    world.wait(0.3)
    assert not world.resets
    world.unreachable.clear()
    fresh.expect_agent(free, world.now)
    fresh.apply_agent_list(frozenset(world.agents))
    world.wait(0.5)
    assert [address for address, _ in world.sent_to_callers] == [free]


def test_a_new_flow_is_reset_at_once_when_all_listed_targets_drain():
    # All listed agents have sent statuses, and their targets drain: a caller that
    # waited for another target would only lose time.
    world = World(targets=1)
    (leaving,) = world.agents
    world.send_heartbeat(leaving, number=2, draining=True)
    world.balancers[FIRST] = fresh = make_fresh_balancer(world, [leaving])
    fresh.apply_agent_list(frozenset(world.agents))
    world.send(FIRST, syn_segment(make_key()))
    assert [reset.reason for reset in world.resets] == ["no_target"]


def test_an_open_flow_is_not_reset_while_the_list_lacks_its_agent():
    # A control host and a balancer restart together. The first list has one agent,
    # which does not hold the flow; the holder is listed a moment later. A reset in
    # between would break an open flow.
    world = World(targets=2)
    holder, ack = world.open(FIRST)
    other = next(address for address in world.agents if address != holder)
    world.balancers[SECOND] = fresh = make_fresh_balancer(world, [other])
    world.unreachable = {holder}
    world.send(SECOND, data_segment(make_key(), ack))
    world.wait(0.3)
    assert not world.resets
    world.unreachable.clear()
    fresh.expect_agent(holder, world.now)
    fresh.apply_agent_list(frozenset(world.agents))
    world.wait(0.6)
    assert len(world.targets[holder].received) == 1
    assert not world.resets


def test_a_flow_is_reset_once_its_agent_is_no_longer_listed():
    # A host does not come back after a power loss of the whole fleet. The balancer
    # knows it from the list of the previous run and waits for it. Once the control host
    # does not list it either, the callers of its flows must get a reset.
    world = World(targets=2)
    lost, alive = world.agents
    world.unreachable = {lost}
    world.balancers[FIRST] = fresh = make_fresh_balancer(world, [alive])
    fresh.expect_agent(lost, world.now)
    world.send(FIRST, data_segment(make_key(), 77))
    world.wait(0.1)
    fresh.apply_agent_list(frozenset(world.agents))
    world.wait(0.2)
    assert not world.resets
    fresh.apply_agent_list(frozenset((alive,)))
    world.wait(0.2)
    assert [reset.reason for reset in world.resets] == ["held_by_nobody"]


def test_syns_are_pending_while_a_fleet_restarts():
    # All processes were killed. A balancer is back before it has a configuration and
    # any status. With a reset the caller would use up its attempts within milliseconds;
    # the SYN is kept and placed once a target is known.
    world = World(targets=2)
    world.balancers[FIRST] = fresh = Balancer(world.random.random, now=world.now)
    world.unreachable = set(world.agents)
    world.send(FIRST, syn_segment(make_key()))
    world.wait(0.2)
    fresh.update_routes(make_route_table())
    world.wait(0.1)
    assert not world.sent_to_callers
    world.unreachable.clear()
    world.wait(0.5)
    assert len(world.sent_to_callers) == 1
    assert not world.resets


def test_a_pending_syn_times_out():
    # No agent comes back: the caller gets a reset after a second, in time to try again.
    world = World(targets=2)
    world.balancers[FIRST] = Balancer(world.random.random, now=world.now)
    world.unreachable = set(world.agents)
    world.send(FIRST, syn_segment(make_key()))
    world.wait(1.2)
    assert [reset.reason for reset in world.resets] == ["no_target_in_time"]


def test_a_syn_does_not_wait_for_draining_targets():
    world = World(targets=2)
    for address in world.agents:
        world.send_heartbeat(address, number=2, draining=True)
    world.send_statuses()
    world.send(FIRST, syn_segment(make_key()))
    assert [reset.reason for reset in world.resets] == ["no_target"]


def test_a_syn_waits_when_one_target_drains_and_the_other_is_back_soon():
    # One target drains, which a balancer does not know yet; the other one's agent has
    # just restarted and has received no heartbeat. The first agent rejects the SYN. The
    # caller must get no reset for that: the second target is open a moment later.
    world = World(targets=2)
    leaving, late = world.agents
    world.now += 1.0
    world.agents[late] = world.make_agent()
    world.send_statuses()
    world.send_heartbeat(leaving, number=2, draining=True)
    world.send(FIRST, syn_segment(make_key()))
    assert not world.resets
    world.send_heartbeat(late, number=3, name="i-late")
    world.wait(0.5)
    assert [address for address, _ in world.sent_to_callers] == [late]


def test_copies_of_a_pending_syn_open_one_flow():
    world = World(targets=2)
    world.balancers[FIRST] = Balancer(world.random.random, now=world.now)
    world.balancers[FIRST].update_routes(make_route_table())
    for _ in range(3):
        world.send(FIRST, syn_segment(make_key()))
    world.wait(0.6)
    assert len(world.sent_to_callers) == 1


def test_an_agent_that_becomes_known_during_a_search_is_queried_too():
    # A balancer that has just started searches for a flow before it knows the holder's
    # agent. That agent becomes known a moment later: the queued packet must reach the
    # target then, without waiting for the caller's next retransmission.
    world = World(targets=3)
    address, ack = world.open(FIRST)
    fresh = Balancer(world.random.random, now=world.now)
    world.balancers[SECOND] = fresh
    fresh.update_routes(make_route_table())
    world.send(SECOND, data_segment(make_key(), ack))
    assert not world.targets[address].received
    world.wait(0.5)
    assert len(world.targets[address].received) == 1
    assert not world.resets


def test_flows_are_found_after_a_restart_of_all_agents_though_one_host_is_gone():
    # All agents were killed; all but one came back. The lost one never answers: once it
    # counts as lost, the others' targets are probed, and the flow continues.
    world = World(targets=4)
    address, ack = world.open(FIRST)
    gone = next(found for found in world.agents if found != address)
    for found in world.agents:
        if found != gone:
            world.agents[found] = world.make_agent()
            world.send_heartbeat(found, number=9, name="i-again" + found)
    world.unreachable.add(gone)
    world.wait(2.2)
    world.send(SECOND, data_segment(make_key(), ack))
    world.wait(0.2)
    assert len(world.targets[address].received) == 1
    assert not world.resets


def test_an_ended_flow_is_reset_after_one_probe_when_all_agents_restarted():
    # All agents and targets restarted. A caller uses a flow that has ended: all targets
    # are probed at once, all bounce the packet, and the caller gets a reset without
    # waiting for one target after the other.
    world = World(targets=8)
    _, ack = world.open(FIRST)
    world.restart_agents(lose_flows=True)
    world.send_statuses()
    world.send(SECOND, data_segment(make_key(), ack))
    assert [reset.reason for reset in world.resets] == ["held_by_nobody"]


def test_a_balancer_queries_balancers_of_its_domain_before_all_agents():
    # A flow's packets come to another balancer of the same failure domain. Queries to
    # eighty agents for each flow would congest the link of a balancer's host; the other
    # balancer knows the target.
    world = World(targets=8)
    address, ack = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), ack))
    world.balancers[SECOND].peers = (FIRST,)
    world.sent.clear()
    world.send(SECOND, data_segment(make_key(), ack, 1017))
    assert len(world.targets[address].received) == 2
    assert [type(action.message) for action in world.sent] == [LocationQuery, Deliver]


def test_agents_are_queried_when_no_balancer_of_the_domain_knows():
    # The balancer that knew the flow was killed; the others of its domain do not know
    # it.
    world = World(targets=3)
    address, ack = world.open(FIRST)
    world.balancers[FIRST] = world.make_balancer()
    world.balancers[SECOND].peers = (FIRST,)
    world.send_statuses()
    world.send(SECOND, data_segment(make_key(), ack))
    world.wait(0.1)
    assert len(world.targets[address].received) == 1
    assert not world.resets


def test_a_wrong_answer_of_a_balancer_is_corrected_by_the_agents():
    # A balancer has a flow on record at a target that does not hold it: it placed a
    # copy of the SYN there, and the caller accepted another target's SYN-ACK.
    world = World(targets=3)
    address, ack = world.open(FIRST)
    wrong = next(found for found in world.agents if found != address)
    other = world.balancers[SECOND]
    other.handle_flow_locations(FlowLocations(((make_key(), wrong),)), world.now)
    world.balancers["10.0.1.9"] = third = world.make_balancer()
    third.peers = (SECOND,)
    world.send_statuses()
    world.send("10.0.1.9", data_segment(make_key(), ack))
    world.wait(0.2)
    assert len(world.targets[address].received) == 1
    assert not world.resets


def test_a_balancer_that_stops_exports_its_flow_locations():
    # A balancer is stopped as planned; all its flows move to another balancer at once.
    # That one must need no query to any agent.
    world = World(targets=4)
    flows = {}
    for port in range(40_001, 40_021):
        flows[port] = world.open(FIRST, make_key(port))
        world.wait(0.12)
    for port, (_, ack) in flows.items():
        world.send(FIRST, data_segment(make_key(port), ack))
    for message in world.balancers[FIRST].export_flow_locations():
        world.balancers[SECOND].handle_flow_locations(message, world.now)
    world.sent.clear()
    for port, (_, ack) in flows.items():
        world.send(SECOND, data_segment(make_key(port), ack, 1017))
    assert len(world.sent) == 20
    assert sum(len(target.received) for target in world.targets.values()) == 40


def test_queries_to_silent_agents_back_off():
    # Thirty flows of a lost balancer are searched for while many agents do not answer:
    # with a query every 60 ms, the queries alone would fill a link of 2.2 Mbit/s.
    world = World(targets=20)
    _, ack = world.open(FIRST)
    world.unreachable = set(world.agents)
    fresh = world.balancers[SECOND]
    sent = []
    world.carry_out = lambda balancer, actions: sent.extend(actions)
    world.send(SECOND, data_segment(make_key(), ack))
    began = world.now
    while world.now < began + 0.9:
        world.now += 0.02
        sent.extend(fresh.tick(world.now))
    pings = [action for action in sent if isinstance(action.message, Ping)]
    assert len(sent) - len(pings) <= 5
    # About 60 bytes each with network headers: below a tenth of the link.
    assert len(pings) * 60 * 8 < 0.1 * 2.2e6 * (world.now - began)


def test_a_search_costs_a_balancer_few_packets():
    # All nodes restarted, and a hundred flows are searched for. To query and probe
    # eighty targets one by one, a balancer would send eighty copies of each packet;
    # instead an agent relays them.
    world = World(targets=40)
    _, ack = world.open(FIRST)
    world.restart_agents(lose_flows=True)
    world.send_statuses()
    world.sent.clear()
    world.send(SECOND, data_segment(make_key(), ack))
    assert [reset.reason for reset in world.resets] == ["held_by_nobody"]
    assert len(world.sent) == 2


def test_a_late_heartbeat_of_a_previous_incarnation_is_ignored():
    # A target crashed and another one replaced it; a heartbeat of the first arrives
    # late. Treated as a new incarnation, it would drop the flows of the second.
    world = World(targets=1)
    (address,) = world.agents
    world.replace_target(address, "i-second")
    world.send_statuses()
    world.open(FIRST)
    world.send_heartbeat(address, number=7, name="i-100000000", draining=True)
    agent = world.agents[address]
    assert agent.flows
    assert agent.state == TargetState.OPEN


def test_a_late_status_of_an_agents_previous_run_is_ignored():
    # An agent restarted while a status of its previous run was in flight. If it
    # counted, the balancer would use an outdated state and load.
    world = World(targets=1)
    (address,) = world.agents
    late = world.agents[address].make_status(world.now)
    world.now += 0.1
    world.agents[address] = world.make_agent()
    world.send_heartbeat(address, number=9, name="i-again", slots=5)
    world.send_statuses()
    balancer = world.balancers[FIRST]
    assert not balancer.handle_status(address, late, world.now + 0.01)
    assert balancer.targets[address].status.slots == 5


def test_a_target_does_not_count_as_holder_while_others_are_silent_too():
    # Two targets may hold a flow and both were probed; neither bounced the probe,
    # because the probes were lost. To choose the first would send the flow to a wrong
    # target.
    world = World(targets=2)
    targets = list(world.balancers[FIRST].targets.values())
    search = start_search(data_segment(make_key(), 5), targets, frozenset(), 1.0)
    search.answers.update({target.address: Answer.MAYBE for target in targets})
    assert search.next_probe_batch(1.0, 0.03)
    assert search.find_holder(1.1, 0.03) is None
    search.answers[targets[0].address] = Answer.NOT_HELD
    assert search.find_holder(1.1, 0.03) == targets[1].address


def test_a_host_without_its_target_does_not_count_as_holder_of_an_ended_flow():
    # A host was removed with its target and is powered on again with the fleet. Its
    # agent knows no flows, and nothing answers a probe there. Silence must not make it
    # the holder: the caller of a flow that ended with another target gets a reset as
    # soon as the agent can tell that its own target is missing.
    world = World(targets=2)
    empty, other = world.agents
    world.now += 1.0
    for address in world.agents:
        world.agents[address] = world.make_agent()
    world.send_heartbeat(other, number=9, name="i-again")
    world.targets[empty].is_running = False
    world.send_statuses()
    world.send(SECOND, data_segment(make_key(), 77))
    world.wait(0.5)
    assert not world.resets
    assert not world.balancers[SECOND].flows
    # The caller need not retransmit its packet for that.
    world.wait(MISSED_HEARTBEAT_INTERVALS * HEARTBEAT + 0.1)
    assert [reset.reason for reset in world.resets] == ["held_by_nobody"]


def test_a_target_answers_a_probe_before_its_first_heartbeat():
    # All agents are killed and back before the targets' next heartbeats. A target
    # answers the packet that it was probed with. That proves that it holds the flow,
    # which continues without waiting for the heartbeat.
    world = World(targets=3)
    address, ack = world.open(FIRST)
    world.now += 1.0
    for found in world.agents:
        world.agents[found] = world.make_agent()
    world.send_statuses()
    world.targets[address].answers = True
    world.send(SECOND, data_segment(make_key(), ack))
    assert len(world.targets[address].received) == 1
    assert world.balancers[SECOND].flows[make_key()].address == address


def test_one_message_searches_for_an_ended_flow_after_a_fleet_restart():
    # After a power loss a balancer that has just started has the statuses of all
    # agents. A caller uses a flow that has ended: one message leaves the balancer,
    # every target bounces the packet, and the caller gets a reset.
    world = World(targets=20)
    _, ack = world.open(FIRST)
    world.restart_agents(lose_flows=True)
    restart_balancer(world)
    world.sent.clear()
    world.send(SECOND, data_segment(make_key(), ack))
    assert [reset.reason for reset in world.resets] == ["held_by_nobody"]
    assert len(world.sent) == 1


def test_no_flow_is_probed_while_an_agent_is_silent():
    # The agent of an open flow restarts late. Probes that all other targets bounce,
    # while the holder gets none, would look like a flow sent to wrong targets.
    world = World(targets=3, retryable=False)
    address, ack = world.open(FIRST)
    world.restart_agents()
    restart_balancer(world)
    world.unreachable = {address}
    world.wait(1.35)
    world.send(SECOND, data_segment(make_key(), ack))
    assert not any(target.unknown_flow_packets for target in world.targets.values())
    world.unreachable.clear()
    world.wait(0.6)
    assert world.targets[address].received
    assert not world.resets


def test_an_agent_that_knows_a_flow_answers_a_probe_itself():
    # The flow opened after the agents' restart: the holder's agent answers HELD, and no
    # copy of the packet goes to its target for that.
    world = World(targets=3)
    world.restart_agents()
    address, ack = world.open(FIRST)
    restart_balancer(world)
    world.send(SECOND, data_segment(make_key(), ack))
    assert len(world.targets[address].received) == 1
    assert not world.resets


def test_a_target_that_accepts_a_probe_gets_its_packet_once():
    # All agents and a balancer restarted while the targets ran on. The target answers
    # the packet that it was probed with; it must not get a copy of it.
    world = World(targets=4)
    address, ack = world.open(FIRST)
    world.restart_agents()
    restart_balancer(world)
    world.targets[address].answers = True
    world.send(SECOND, data_segment(make_key(), ack))
    world.send(SECOND, data_segment(make_key(), ack, 1017))
    assert [found.sequence for found in world.targets[address].received] == [1001, 1017]
    assert not world.resets
