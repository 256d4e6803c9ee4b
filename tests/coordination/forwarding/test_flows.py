"""Flows through balancers, agents and targets while these change."""

import pytest

from ibisshunt.coordination.forwarding.balancer import Balancer
from ibisshunt.coordination.forwarding.holding.own_target import MISSED_HEARTBEATS
from ibisshunt.coordination.forwarding.messages import (
    Answer,
    Deliver,
    Known,
    Ping,
    Seek,
    TargetState,
)
from ibisshunt.coordination.forwarding.placing.placed import Flow
from ibisshunt.coordination.forwarding.placing.placement import LOST_SECONDS
from ibisshunt.coordination.forwarding.searching.search import start_search
from tests.forwarding_world import (
    HEARTBEAT,
    SERVICE,
    World,
    data_segment,
    make_key,
    make_table,
    open_segment,
)

FIRST, SECOND = "10.0.1.0", "10.0.1.1"


def count_taken(world):
    return {address: len(target.taken) for address, target in world.targets.items()}


def test_a_flow_opens_and_goes_on_at_one_target():
    world = World()
    address, number = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), number))
    assert len(world.targets[address].taken) == 1
    assert sum(count_taken(world).values()) == 1
    assert not world.resets


def test_any_balancer_finds_the_target_of_a_flow():
    # A caller's packets reach another balancer, as when its own leaves the rotation.
    # That one knows nothing of the flow: it asks the agents and hands the packet
    # over; no other target sees a packet of it, and nothing is reset.
    world = World(targets=7)
    address, number = world.open(FIRST)
    world.send(SECOND, data_segment(make_key(), number))
    assert len(world.targets[address].taken) == 1
    assert not any(target.strays for target in world.targets.values())
    assert not world.resets


def test_packets_that_arrive_during_a_search_are_all_handed_over():
    # One agent is slow to answer while three packets of its flow arrive at a balancer
    # that does not know it: all three must reach the target once it answers.
    world = World()
    address, number = world.open(FIRST)
    world.silent.add(address)
    for step in range(3):
        world.send(SECOND, data_segment(make_key(), number, 1001 + 16 * step))
    assert not world.targets[address].taken
    world.silent.clear()
    world.wait(0.2)
    assert len(world.targets[address].taken) == 3
    assert not world.resets


def test_a_restarted_agent_lets_its_target_tell_what_it_holds():
    # An agent restarts beside a living target: its flows are unknown to it, the
    # target's are not. Packets through any balancer still reach the target, and the
    # caller sees no reset.
    world = World(targets=4)
    address, number = world.open(FIRST)
    world.now += 1.0
    world.agents[address] = world.make_agent()
    world.beat(address, number=9, name="i-again")
    world.tell_all()
    world.send(FIRST, data_segment(make_key(), number))
    world.send(SECOND, data_segment(make_key(), number, 1017))
    assert len(world.targets[address].taken) == 2
    assert not world.resets


def test_all_agents_restarted_at_once_lose_no_flow():
    # All agents are killed together and know nothing; each answers "maybe". The
    # balancer tries one after the other, and what a target does not hold comes back.
    world = World(targets=5)
    flows = {}
    for port in range(40_001, 40_021):
        flows[port] = world.open(FIRST, make_key(port))
    world.now += 1.0
    world.restart_agents()
    world.tell_all()
    for port, (address, number) in flows.items():
        before = len(world.targets[address].taken)
        world.send(SECOND, data_segment(make_key(port), number))
        assert len(world.targets[address].taken) == before + 1
    assert not world.resets


def test_a_flow_that_nobody_holds_is_reset_at_once():
    # The target crashed and another one took its place: its flows are gone. The
    # caller must learn it with its next packet instead of waiting for its deadline,
    # through the balancer that knows the flow and through another one.
    world = World()
    address, number = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), number))
    world.wait(0.3)
    world.targets[address].flows.clear()
    world.beat(address, number=1, name="i-successor")
    world.tell_all()
    world.send(FIRST, data_segment(make_key(), number, 1017))
    world.send(SECOND, data_segment(make_key(), number, 1017))
    reasons = [reset.reason for reset in world.resets]
    assert reasons == ["held_by_nobody", "held_by_nobody"]


def test_a_flow_of_a_silent_agent_is_not_reset_before_the_agent_is_lost():
    # The agent of a flow does not answer for a moment, as when it is restarted. A
    # reset would break a flow that its target still holds, and its caller may not send
    # the request again.
    world = World(repeatable=False)
    address, number = world.open(FIRST)
    world.silent.add(address)
    world.send(SECOND, data_segment(make_key(), number))
    world.wait(1.2)
    assert not world.resets
    world.silent.clear()
    world.wait(0.4)
    world.send(SECOND, data_segment(make_key(), number))
    assert len(world.targets[address].taken) >= 1


def test_a_flow_of_a_lost_agent_is_reset():
    # The host of a target is gone without a word: after four missed statuses its
    # flows are taken for lost, and the caller is told with its next packet.
    world = World()
    address, number = world.open(FIRST)
    world.silent.add(address)
    world.wait(2.0)
    world.send(FIRST, data_segment(make_key(), number))
    assert len(world.resets) == 1


def test_a_caller_hears_of_a_lost_agent_without_sending_again():
    # The host of a target is lost, and the caller's packet comes before that is known.
    # Its next repeat may be 1.6 s away; it is told as soon as the agent counts as lost.
    world = World(repeatable=False)
    address, number = world.open(FIRST)
    world.silent.add(address)
    world.wait(0.6)
    world.send(SECOND, data_segment(make_key(), number))
    world.wait(0.5)
    assert not world.resets
    world.wait(LOST_SECONDS)
    assert [reset.reason for reset in world.resets] == ["held_by_nobody"]


def test_a_flow_goes_on_as_soon_as_its_agent_is_back():
    # The agent of a flow is started again beside its target, and the caller's packet
    # comes meanwhile. With the agent's first word the flow goes on: neither the caller
    # nor the balancer waits for the end of a pause.
    world = World(repeatable=False)
    address, number = world.open(FIRST)
    world.wait(0.5)
    world.silent.add(address)
    world.send(SECOND, data_segment(make_key(), number))
    world.wait(0.95)
    agent = world.agents[address] = world.make_agent()
    world.beat(address, number=9, name="i-same")
    world.targets[address].answers = True
    world.silent.clear()
    asked = len(world.sent)
    world.balancers[SECOND].learn(address, agent.report(world.now), world.now)
    world.carry_out(SECOND, world.balancers[SECOND].sweep(world.now))
    assert len(world.sent) > asked
    world.wait(0.1)
    assert world.targets[address].taken
    assert not world.resets


def test_an_agent_that_announced_its_restart_is_waited_for():
    # A planned restart takes longer than an agent may be silent; it was announced,
    # so its flows are not reset meanwhile.
    world = World()
    address, number = world.open(FIRST)
    world.agents[address].pause(world.now)
    world.tell_all()
    world.silent.add(address)
    world.wait(4.0)
    world.send(FIRST, data_segment(make_key(), number))
    assert not world.resets


def stop_beside_silent_target(world, address, seconds):
    """Restart an agent whose target is dark; stop it ``seconds`` later for good."""
    world.agents[address] = world.make_agent()
    world.tell_all()
    world.wait(seconds)
    world.agents[address].pause(world.now)
    world.tell_all()
    world.silent.add(address)
    world.wait(0.1)


def test_an_agent_that_stops_without_its_target_is_not_waited_for():
    # After an outage hosts without a target go one after the other. Each agent has
    # missed the heartbeats of its target by then and says so; a caller whose flow ended
    # with that target is told at once, and not when the agent counts as lost.
    world = World()
    address, number = world.open(FIRST)
    stop_beside_silent_target(world, address, MISSED_HEARTBEATS * HEARTBEAT + 0.1)
    world.send(SECOND, data_segment(make_key(), number))
    assert [reset.reason for reset in world.resets] == ["held_by_nobody"]


def test_a_host_that_never_had_its_target_is_not_waited_for():
    # A host that was taken away with its target is powered on with the fleet, and
    # switched off again seconds later, without a word. No flow can be there; a caller
    # whose flow ended is told at once.
    world = World()
    address, number = world.open(FIRST)
    world.agents[address] = world.make_agent()
    world.tell_all()
    world.wait(MISSED_HEARTBEATS * HEARTBEAT + 0.5)
    world.silent.add(address)
    world.send(SECOND, data_segment(make_key(), number))
    world.wait(0.1)
    assert [reset.reason for reset in world.resets] == ["held_by_nobody"]


def test_an_agent_that_has_seen_flows_of_a_silent_target_is_waited_for():
    # A target that has missed its heartbeats may be slow and live; its agent holds a
    # flow and falls silent for a moment. Until it is lost the flow is not reset.
    world = World()
    address, number = world.open(FIRST)
    world.now += MISSED_HEARTBEATS * HEARTBEAT + 0.1
    world.agents[address].sweep(world.now)
    world.tell_all()
    world.silent.add(address)
    world.send(SECOND, data_segment(make_key(), number))
    world.wait(0.5)
    assert not world.resets


def test_an_agent_that_stops_before_it_could_hear_its_target_is_waited_for():
    # The agent is stopped a moment after its start: its target may live and beat soon,
    # and a reset would break the flow that it holds.
    world = World()
    address, number = world.open(FIRST)
    stop_beside_silent_target(world, address, MISSED_HEARTBEATS * HEARTBEAT - 0.3)
    world.send(SECOND, data_segment(make_key(), number))
    world.wait(0.5)
    assert not world.resets


def test_a_draining_target_gets_no_new_flow_through_a_stale_balancer():
    # The target said that it leaves, its agent knows, a balancer does not yet: the
    # agent sends the opening packet back and another target takes the flow.
    world = World(targets=2)
    leaving = "10.0.2.0"
    world.beat(leaving, number=2, draining=True)
    for port in range(40_001, 40_021):
        address, _ = world.open(FIRST, make_key(port))
        assert address != leaving
    assert not world.targets[leaving].flows


def test_a_draining_target_keeps_its_flows():
    world = World()
    address, number = world.open(FIRST)
    world.beat(address, number=2, draining=True)
    world.tell_all()
    world.send(SECOND, data_segment(make_key(), number))
    assert len(world.targets[address].taken) == 1


def test_a_full_target_passes_the_flow_to_another():
    world = World(targets=3)
    for address in ("10.0.2.0", "10.0.2.1"):
        world.targets[address].full = True
    address, _ = world.open(FIRST)
    assert address == "10.0.2.2"
    assert not world.resets


def test_a_flow_that_nobody_can_take_is_refused_at_once():
    # Every target is full: the caller is told with a reset instead of being left to
    # wait for its time-out, and nothing has run.
    world = World(targets=3)
    for target in world.targets.values():
        target.full = True
    world.send(FIRST, open_segment(make_key()))
    assert [reset.reason for reset in world.resets] == ["no_target"]


def test_an_address_used_again_by_another_service_gets_nothing_of_the_old_one():
    # A target crashes and its address goes to a target of another service. A balancer
    # that has not heard of it sends a packet there: the tag does not fit, nothing is
    # handed over, and the flow is placed elsewhere.
    world = World(targets=2)
    reused = "10.0.2.0"
    world.add_target(reused, first=9_000_000, service="docs")
    for port in range(40_001, 40_011):
        address, _ = world.open(FIRST, make_key(port))
        assert address == "10.0.2.1"
    assert not world.targets[reused].flows


def test_a_successor_at_the_same_address_is_believed_though_its_clock_is_behind():
    # A host is replaced by one whose clock counts from a later start of the machine:
    # its statuses carry a smaller start. They must not be taken for late ones of the
    # predecessor.
    world = World(targets=1)
    world.wait(2.0)
    address = "10.0.2.0"
    now, world.now = world.now, 5.0
    world.agents[address] = world.make_agent()
    world.now = now
    world.beat(address, number=1, name="i-new", slots=7)
    world.wait(0.8)
    for balancer in world.balancers.values():
        assert balancer.targets[address].status.slots == 7


def test_a_port_used_again_opens_a_new_flow_beside_the_old_one():
    # A caller uses its port again while the balancer still knows the old flow: the
    # opening packet differs, so it is placed anew, and its packets follow it.
    world = World(targets=3)
    world.open(FIRST)
    for sequence in range(2000, 2010):
        address, number = world.open(FIRST, sequence=sequence)
        before = len(world.targets[address].taken)
        world.send(FIRST, data_segment(make_key(), number, sequence + 1))
        assert len(world.targets[address].taken) == before + 1


def test_copies_of_an_opening_packet_go_to_one_target():
    # The answer to an opening packet got lost and the caller repeats it through the
    # same balancer: a second target would pay for a handshake that nobody takes.
    world = World(targets=5)
    key = make_key()
    for _ in range(3):
        world.send(FIRST, open_segment(key))
    assert len({address for address, _ in world.to_callers}) == 1


@pytest.mark.parametrize("taken", [0, 1])
def test_the_caller_decides_between_two_targets_that_answered(taken):
    # Copies of one opening packet went through two balancers to two targets. The
    # caller takes one answer; its packets must reach that target through both
    # balancers, and the other target must see none of them.
    world = World(targets=2)
    key = make_key()
    world.targets["10.0.2.1"].full = True
    world.send(FIRST, open_segment(key))
    world.targets["10.0.2.1"].full = False
    world.targets["10.0.2.0"].full = True
    world.send(SECOND, open_segment(key))
    answers = world.to_callers
    assert len({address for address, _ in answers}) == 2
    address, answer = answers[taken]
    for balancer in (FIRST, SECOND):
        world.send(balancer, data_segment(key, answer.sequence + 1))
    other = next(found for found in world.targets if found != address)
    assert len(world.targets[address].taken) == 2
    assert not world.targets[other].taken
    assert not world.targets[other].strays
    assert not world.resets


@pytest.mark.parametrize("is_lost", [False, True])
def test_silence_does_not_prove_that_a_target_holds_a_flow(is_lost):
    # Copies of an opening packet went to two targets through two balancers, and the
    # caller took the first. The second balancer still believes in its own target: the
    # word that this one does not hold the flow was lost on its way. Nine seconds later
    # the caller goes on through that balancer, and its target answers no, or is gone.
    # The flow is open at the first target, and must not be reset.
    world = World(targets=2)
    holder, number = world.open(FIRST)
    other = next(address for address in world.agents if address != holder)
    fresh = world.balancers[SECOND]
    fresh.flows[make_key()] = Flow(other, SERVICE, 1000, False, world.now, world.now)
    world.wait(9.0)
    if is_lost:
        world.silent.add(other)
        world.wait(2.0)
    world.send(SECOND, data_segment(make_key(), number))
    world.wait(0.1)
    assert not world.resets
    assert world.targets[holder].taken


def test_an_open_flow_stays_where_it_is_when_its_route_changes_its_service():
    # A new configuration sends new flows of a route to another service; an open flow
    # stays at its target, also through a balancer that never saw it.
    world = World(targets=2)
    world.add_target("10.0.2.9", first=9_000_000, service="docs")
    world.tell_all()
    address, number = world.open(FIRST)
    for balancer in world.balancers.values():
        balancer.take_routes(make_table(version=2, service="docs"))
    for balancer in (FIRST, SECOND):
        world.send(balancer, data_segment(make_key(), number))
    assert len(world.targets[address].taken) == 2
    assert world.open(FIRST, make_key(41_000))[0] == "10.0.2.9"


def test_an_older_configuration_never_comes_back():
    world = World()
    balancer = world.balancers[FIRST]
    assert balancer.take_routes(make_table(version=5))
    assert not balancer.take_routes(make_table(version=4, service="docs"))
    assert balancer.routes.version == 5


def test_a_place_without_a_route_is_refused_at_once():
    world = World()
    place = bytes((198, 18, 0, 9, 1, 187))
    world.send(FIRST, open_segment(make_key(place=place)))
    assert [reset.reason for reset in world.resets] == ["no_route"]


def test_a_balancer_that_has_just_started_resets_no_flow_that_it_cannot_know():
    # A balancer restarts. Callers' packets reach it before all agents have: the agent
    # of an open flow is listed by control, but has not spoken yet. "Nobody holds it"
    # would be wrong; the packet waits, and reaches the target once its agent speaks.
    world = World(targets=3)
    address, number = world.open(FIRST)
    fresh = Balancer(world.random.random, now=world.now)
    world.balancers[SECOND] = fresh
    fresh.take_routes(make_table())
    for known, agent in world.agents.items():
        fresh.expect(known, world.now)
        if known != address:
            fresh.learn(known, agent.report(world.now), world.now)
    world.send(SECOND, data_segment(make_key(), number))
    assert not world.resets
    world.wait(0.5)
    assert len(world.targets[address].taken) == 1
    world.send(SECOND, data_segment(make_key(), number, 1017))
    assert len(world.targets[address].taken) == 2
    assert not world.resets


def make_fresh_balancer(world, known):
    """Return a balancer that started just now and has heard some agents."""
    fresh = Balancer(world.random.random, now=world.now)
    fresh.take_routes(make_table(repeatable=world.repeatable))
    for address in known:
        fresh.expect(address, world.now)
        fresh.learn(address, world.agents[address].report(world.now), world.now)
    return fresh


def restart_balancer(world):
    """Start the second balancer anew; it has heard all agents that control named."""
    world.balancers[SECOND] = fresh = make_fresh_balancer(world, world.agents)
    fresh.finish_list(frozenset(world.agents))


def test_a_new_flow_waits_while_a_fresh_balancer_knows_only_a_leaving_target():
    # Control and a balancer have just started, and control has named one agent so far.
    # Its target starts to leave. A caller's new flow was reset, though another target
    # was free: the balancer must wait for the whole list, and place the flow then.
    world = World(targets=2)
    leaving, free = world.agents
    world.beat(leaving, number=2, draining=True)
    world.balancers[FIRST] = fresh = make_fresh_balancer(world, [leaving])
    world.silent = {free}
    world.send(FIRST, open_segment(make_key()))
    world.wait(0.3)
    assert not world.resets
    world.silent.clear()
    fresh.expect(free, world.now)
    fresh.finish_list(frozenset(world.agents))
    world.wait(0.5)
    assert [address for address, _ in world.to_callers] == [free]


def test_a_new_flow_is_refused_at_once_when_the_whole_list_leaves():
    # All agents are named and have spoken, and their targets leave: a caller that
    # waited for another one would only lose time.
    world = World(targets=1)
    (leaving,) = world.agents
    world.beat(leaving, number=2, draining=True)
    world.balancers[FIRST] = fresh = make_fresh_balancer(world, [leaving])
    fresh.finish_list(frozenset(world.agents))
    world.send(FIRST, open_segment(make_key()))
    assert [reset.reason for reset in world.resets] == ["no_target"]


def test_an_open_flow_is_not_reset_on_the_word_of_a_list_that_lacks_its_agent():
    # Control and a balancer restart together. The first list names one agent, which
    # does not hold the flow; the one that does is named a moment later. A reset in
    # between would break an open flow.
    world = World(targets=2)
    holder, number = world.open(FIRST)
    other = next(address for address in world.agents if address != holder)
    world.balancers[SECOND] = fresh = make_fresh_balancer(world, [other])
    world.silent = {holder}
    world.send(SECOND, data_segment(make_key(), number))
    world.wait(0.3)
    assert not world.resets
    world.silent.clear()
    fresh.expect(holder, world.now)
    fresh.finish_list(frozenset(world.agents))
    world.wait(0.6)
    assert len(world.targets[holder].taken) == 1
    assert not world.resets


def test_a_flow_is_reset_once_control_names_its_agent_no_more():
    # A host is lost for good with the whole fleet's power. The balancer was told of it
    # from the former run's list, and waits for it; when control has not heard it
    # either, the callers of its flows must learn that they have ended.
    world = World(targets=2)
    lost, alive = world.agents
    world.silent = {lost}
    world.balancers[FIRST] = fresh = make_fresh_balancer(world, [alive])
    fresh.expect(lost, world.now)
    world.send(FIRST, data_segment(make_key(), 77))
    world.wait(0.1)
    fresh.finish_list(frozenset(world.agents))
    world.wait(0.2)
    assert not world.resets
    fresh.finish_list(frozenset((alive,)))
    world.wait(0.2)
    assert [reset.reason for reset in world.resets] == ["held_by_nobody"]


def test_a_fleet_that_restarts_keeps_opening_packets_until_it_can_place_them():
    # All processes were killed. A balancer is back before it has a configuration and
    # before any agent speaks. A reset would use up the caller's tries within some
    # milliseconds; the opening packet waits and is placed once a target is known.
    world = World(targets=2)
    world.balancers[FIRST] = fresh = Balancer(world.random.random, now=world.now)
    world.silent = set(world.agents)
    world.send(FIRST, open_segment(make_key()))
    world.wait(0.2)
    fresh.take_routes(make_table())
    world.wait(0.1)
    assert not world.to_callers
    world.silent.clear()
    world.wait(0.5)
    assert len(world.to_callers) == 1
    assert not world.resets


def test_an_opening_packet_does_not_wait_for_ever():
    # Nobody comes back: the caller is told after a second, in time to try again.
    world = World(targets=2)
    world.balancers[FIRST] = Balancer(world.random.random, now=world.now)
    world.silent = set(world.agents)
    world.send(FIRST, open_segment(make_key()))
    world.wait(1.2)
    assert [reset.reason for reset in world.resets] == ["no_target_in_time"]


def test_an_opening_packet_does_not_wait_for_targets_that_have_gone():
    world = World(targets=2)
    for address in world.agents:
        world.beat(address, number=2, draining=True)
    world.tell_all()
    world.send(FIRST, open_segment(make_key()))
    assert [reset.reason for reset in world.resets] == ["no_target"]


def test_an_opening_packet_waits_when_one_target_leaves_and_the_other_is_back_soon():
    # One target drains, which a balancer does not know yet; the other one's agent has
    # just restarted and has not heard it. The first refuses. The caller must not be
    # reset for that: the second is open a moment later.
    world = World(targets=2)
    leaving, late = world.agents
    world.now += 1.0
    world.agents[late] = world.make_agent()
    world.tell_all()
    world.beat(leaving, number=2, draining=True)
    world.send(FIRST, open_segment(make_key()))
    assert not world.resets
    world.beat(late, number=3, name="i-late")
    world.wait(0.5)
    assert [address for address, _ in world.to_callers] == [late]


def test_copies_of_a_held_opening_packet_open_one_flow():
    world = World(targets=2)
    world.balancers[FIRST] = Balancer(world.random.random, now=world.now)
    world.balancers[FIRST].take_routes(make_table())
    for _ in range(3):
        world.send(FIRST, open_segment(make_key()))
    world.wait(0.6)
    assert len(world.to_callers) == 1


def test_an_agent_that_is_learned_during_a_search_is_asked_too():
    # A balancer that has just started searches for a flow before it knows the agent
    # that holds it. The agent is learned a moment later: the packet that waits must
    # reach the target then, not only the caller's next copy.
    world = World(targets=3)
    address, number = world.open(FIRST)
    fresh = Balancer(world.random.random, now=world.now)
    world.balancers[SECOND] = fresh
    fresh.take_routes(make_table())
    world.send(SECOND, data_segment(make_key(), number))
    assert not world.targets[address].taken
    world.wait(0.5)
    assert len(world.targets[address].taken) == 1
    assert not world.resets


def test_flows_are_found_after_a_restart_of_all_agents_though_one_host_is_gone():
    # All agents were killed; all but one came back. The lost one never answers: after
    # it is taken for lost the others' targets are probed, and the flow goes on.
    world = World(targets=4)
    address, number = world.open(FIRST)
    gone = next(found for found in world.agents if found != address)
    for found in world.agents:
        if found != gone:
            world.agents[found] = world.make_agent()
            world.beat(found, number=9, name="i-again" + found)
    world.silent.add(gone)
    world.wait(2.2)
    world.send(SECOND, data_segment(make_key(), number))
    world.wait(0.2)
    assert len(world.targets[address].taken) == 1
    assert not world.resets


def test_a_dead_flow_is_reset_within_a_probe_after_all_agents_restarted():
    # All agents and all targets restarted. A caller goes on with a flow that is gone:
    # all targets are probed together, all send the packet back, and the caller is
    # told without a wait for one target after the other.
    world = World(targets=8)
    _, number = world.open(FIRST)
    world.restart_agents(lose_flows=True)
    world.tell_all()
    world.send(SECOND, data_segment(make_key(), number))
    assert [reset.reason for reset in world.resets] == ["held_by_nobody"]


def test_a_balancer_asks_its_neighbours_before_all_agents():
    # A flow's packets come to another balancer of the same failure domain. Questions
    # to eighty agents for each flow fill the link of a thin host; one neighbour knows.
    world = World(targets=8)
    address, number = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), number))
    world.balancers[SECOND].peers = (FIRST,)
    world.sent.clear()
    world.send(SECOND, data_segment(make_key(), number, 1017))
    assert len(world.targets[address].taken) == 2
    assert [type(action.message) for action in world.sent] == [Seek, Deliver]


def test_agents_are_asked_when_no_neighbour_knows():
    # The balancer that knew the flow was killed; its neighbours do not know it.
    world = World(targets=3)
    address, number = world.open(FIRST)
    world.balancers[FIRST] = world.make_balancer()
    world.balancers[SECOND].peers = (FIRST,)
    world.tell_all()
    world.send(SECOND, data_segment(make_key(), number))
    world.wait(0.1)
    assert len(world.targets[address].taken) == 1
    assert not world.resets


def test_a_neighbour_that_is_wrong_is_corrected_by_the_agents():
    # A neighbour remembers a flow at a target that does not hold it: it placed a copy
    # of the opening packet there, and the caller took another one's answer.
    world = World(targets=3)
    address, number = world.open(FIRST)
    wrong = next(found for found in world.agents if found != address)
    other = world.balancers[SECOND]
    other.take_known(Known(((make_key(), wrong),)), world.now)
    world.balancers["10.0.1.9"] = third = world.make_balancer()
    third.peers = (SECOND,)
    world.tell_all()
    world.send("10.0.1.9", data_segment(make_key(), number))
    world.wait(0.2)
    assert len(world.targets[address].taken) == 1
    assert not world.resets


def test_a_balancer_that_stops_hands_its_flows_over():
    # A balancer is stopped as planned; all its flows come to its neighbour at once.
    # None may need a question to any agent.
    world = World(targets=4)
    flows = {}
    for port in range(40_001, 40_021):
        flows[port] = world.open(FIRST, make_key(port))
        world.wait(0.12)
    for port, (_, number) in flows.items():
        world.send(FIRST, data_segment(make_key(port), number))
    for message in world.balancers[FIRST].list_known():
        world.balancers[SECOND].take_known(message, world.now)
    world.sent.clear()
    for port, (_, number) in flows.items():
        world.send(SECOND, data_segment(make_key(port), number, 1017))
    assert len(world.sent) == 20
    assert sum(len(target.taken) for target in world.targets.values()) == 40


def test_questions_to_silent_agents_come_less_and_less_often():
    # Thirty flows of a lost balancer are looked for while many agents do not answer:
    # asked every 60 ms, the questions alone would fill a link of 2.2 Mbit/s.
    world = World(targets=20)
    _, number = world.open(FIRST)
    world.silent = set(world.agents)
    fresh = world.balancers[SECOND]
    asked = []
    world.carry_out = lambda balancer, actions: asked.extend(actions)
    world.send(SECOND, data_segment(make_key(), number))
    began = world.now
    while world.now < began + 0.9:
        world.now += 0.02
        asked.extend(fresh.sweep(world.now))
    pings = [sent for sent in asked if isinstance(sent.message, Ping)]
    assert len(asked) - len(pings) <= 5
    # Some 60 bytes each with the heads of the network: below a tenth of the link.
    assert len(pings) * 60 * 8 < 0.1 * 2.2e6 * (world.now - began)


def test_a_search_costs_a_thin_host_few_packets():
    # Everything restarted, and a hundred flows are looked for. Asked and probed one by
    # one, eighty targets would take eighty copies of each packet; agents spread them.
    world = World(targets=40)
    _, number = world.open(FIRST)
    world.restart_agents(lose_flows=True)
    world.tell_all()
    world.sent.clear()
    world.send(SECOND, data_segment(make_key(), number))
    assert [reset.reason for reset in world.resets] == ["held_by_nobody"]
    assert len(world.sent) == 2


def test_a_delayed_heartbeat_of_a_former_target_changes_nothing():
    # A target crashed, another one took its place at once; a heartbeat of the first
    # arrives late. Taken for a new target, it would drop the flows of the second.
    world = World(targets=1)
    (address,) = world.agents
    world.beat(address, number=1, name="i-second")
    world.open(FIRST)
    world.beat(address, number=7, name="i-100000000", draining=True)
    agent = world.agents[address]
    assert agent.flows
    assert agent.state == TargetState.OPEN


def test_a_late_status_of_a_predecessor_is_ignored():
    # An agent restarted; a status of its former life was under way. Believed, it would
    # bring back a state and a load that are over.
    world = World(targets=1)
    (address,) = world.agents
    late = world.agents[address].report(world.now)
    world.now += 0.1
    world.agents[address] = world.make_agent()
    world.beat(address, number=9, name="i-again", slots=5)
    world.tell_all()
    balancer = world.balancers[FIRST]
    assert not balancer.learn(address, late, world.now + 0.01)
    assert balancer.targets[address].status.slots == 5


def test_a_target_is_not_believed_to_hold_a_flow_while_others_are_silent_too():
    # Two targets may hold a flow and both were probed; neither probe came back, since
    # the copies were lost. Believing the first would send the flow astray.
    world = World(targets=2)
    targets = list(world.balancers[FIRST].targets.values())
    search = start_search(data_segment(make_key(), 5), targets, frozenset(), 1.0)
    search.answers.update({target.address: Answer.MAYBE for target in targets})
    assert search.start_probe(1.0, 0.03)
    assert search.find_holder(1.1, 0.03) is None
    search.answers[targets[0].address] = Answer.NOT_HELD
    assert search.find_holder(1.1, 0.03) == targets[1].address


def test_a_host_without_its_target_is_not_taken_for_the_holder_of_a_dead_flow():
    # A host was taken away with its target and is powered on again with the fleet. Its
    # agent knows nothing, and nothing answers a probe there. Silence must not make it
    # the holder: the caller of a flow that ended with another target is reset as soon
    # as the agent can tell that its target is not there.
    world = World(targets=2)
    empty, other = world.agents
    world.now += 1.0
    for address in world.agents:
        world.agents[address] = world.make_agent()
    world.beat(other, number=9, name="i-again")
    world.targets[empty].is_there = False
    world.tell_all()
    world.send(SECOND, data_segment(make_key(), 77))
    world.wait(0.5)
    assert not world.resets
    assert not world.balancers[SECOND].flows
    # The caller need not repeat its packet for it.
    world.wait(MISSED_HEARTBEATS * HEARTBEAT + 0.1)
    assert [reset.reason for reset in world.resets] == ["held_by_nobody"]


def test_an_agent_that_has_not_heard_its_target_yet_says_what_it_sees():
    # All agents are killed and back before the targets' next heartbeats. A target
    # answers the packet that it was probed with: that is proof, and the flow goes on
    # without waiting for the heartbeat.
    world = World(targets=3)
    address, number = world.open(FIRST)
    world.now += 1.0
    for found in world.agents:
        world.agents[found] = world.make_agent()
    world.tell_all()
    world.targets[address].answers = True
    world.send(SECOND, data_segment(make_key(), number))
    assert len(world.targets[address].taken) == 1
    assert world.balancers[SECOND].flows[make_key()].address == address


def test_a_fleet_that_restarts_asks_and_probes_for_a_dead_flow_at_once():
    # All power was lost; a balancer that has just started knows that every agent is
    # there. A caller goes on with a flow that ended: one message leaves the balancer,
    # every target sends the packet back, and the caller is told.
    world = World(targets=20)
    _, number = world.open(FIRST)
    world.restart_agents(lose_flows=True)
    restart_balancer(world)
    world.sent.clear()
    world.send(SECOND, data_segment(make_key(), number))
    assert [reset.reason for reset in world.resets] == ["held_by_nobody"]
    assert len(world.sent) == 1


def test_no_flow_is_probed_while_an_agent_is_silent():
    # The agent of an open flow restarts late. Strays at all other targets and none at
    # its own would look like a flow that is sent astray.
    world = World(targets=3, repeatable=False)
    address, number = world.open(FIRST)
    world.restart_agents()
    restart_balancer(world)
    world.silent = {address}
    world.wait(1.35)
    world.send(SECOND, data_segment(make_key(), number))
    assert not any(target.strays for target in world.targets.values())
    world.silent.clear()
    world.wait(0.6)
    assert world.targets[address].taken
    assert not world.resets


def test_an_agent_that_knows_a_flow_answers_a_probe_without_its_target():
    # The flow began after the agents' restart: its own says yes, and no copy is sent
    # through the target to learn it.
    world = World(targets=3)
    world.restart_agents()
    address, number = world.open(FIRST)
    restart_balancer(world)
    world.send(SECOND, data_segment(make_key(), number))
    assert len(world.targets[address].taken) == 1
    assert not world.resets


def test_a_target_that_keeps_the_first_probe_gets_its_packet_once():
    # All agents restarted beside living targets, and the balancer too. The target
    # answers the packet that it was probed with; it must not get a copy of it.
    world = World(targets=4)
    address, number = world.open(FIRST)
    world.restart_agents()
    restart_balancer(world)
    world.targets[address].answers = True
    world.send(SECOND, data_segment(make_key(), number))
    world.send(SECOND, data_segment(make_key(), number, 1017))
    assert [found.sequence for found in world.targets[address].taken] == [1001, 1017]
    assert not world.resets
