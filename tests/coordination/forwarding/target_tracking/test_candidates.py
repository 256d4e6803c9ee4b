"""Two incarnations are heard at one address, of which only one is alive."""

import pytest
from hypothesis import given, strategies as st
from msgspec.structs import replace

from ibisshunt.coordination.forwarding.agent import Agent
from ibisshunt.coordination.forwarding.messages import Answer, FlowQuery, TargetState
from ibisshunt.coordination.forwarding.segment import Segment
from ibisshunt.coordination.forwarding.target_tracking.candidates import (
    MAX_CANDIDATES,
    Candidates,
)
from ibisshunt.coordination.forwarding.target_tracking.incarnations import (
    MAX_REPLACED,
    Heartbeat,
    HeartbeatKind,
    Incarnations,
)
from ibisshunt.coordination.forwarding.target_tracking.local_target import (
    MISSED_HEARTBEAT_INTERVALS,
)
from tests.forwarding_world import (
    HEARTBEAT,
    SERVICE,
    World,
    data_segment,
    make_key,
    syn_segment,
)

FIRST, SECOND = "10.0.1.0", "10.0.1.1"
LATE, SUCCESSOR = "i-late", "i-successor"
# Longest time in which a silent target is replaced: until it counts as silent, and one
# more heartbeat of its successor.
MAX_TAKEOVER_SECONDS = (MISSED_HEARTBEAT_INTERVALS + 1) * HEARTBEAT


def make_heartbeat(name, sequence=1, is_draining=False, warmup_left_ms=0):
    return Heartbeat(name, SERVICE, 1, is_draining, warmup_left_ms, sequence)


def make_world(seconds=2.0):
    """Return a world with one target that has an open flow, and its address."""
    world = World(targets=1)
    (address,) = world.agents
    _, ack = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), ack))
    send_own(world, address)
    world.wait(seconds)
    return world, address, ack


def send_own(world, address, **changes):
    """Let the current incarnation send its next heartbeat."""
    agent = world.agents[address]
    known = agent.current_heartbeat
    heartbeat = replace(known, sequence=known.sequence + 1, **changes)
    return agent.handle_heartbeat(heartbeat, world.now)


def send_other(world, address, name, sequence=1, **changes):
    heartbeat = make_heartbeat(name, sequence, **changes)
    return world.agents[address].handle_heartbeat(heartbeat, world.now)


def pass_time(world, seconds):
    """Advance the clock without heartbeats of the current incarnation."""
    until = world.now + seconds
    while world.now < until:
        world.now += 0.05
        for agent in world.agents.values():
            agent.tick(world.now)
        world.send_statuses()
        for address, balancer in world.balancers.items():
            world.carry_out(address, balancer.tick(world.now))
        for aggregator in world.aggregators.values():
            world._send_answers(aggregator.flush_due(world.now))


def collect_events(agent):
    events = []
    agent._log_event = lambda event, **fields: events.append((event, fields))
    return events


@pytest.mark.parametrize("sequence", [1, 2, 40])
@pytest.mark.parametrize("count", [1, 4])
def test_late_heartbeats_of_an_unheard_incarnation_end_no_open_flow(sequence, count):
    # Guards against the reset of open flows: heartbeats of an incarnation that crashed
    # before its agent heard it arrive while its successor is alive.
    world, address, ack = make_world()
    agent = world.agents[address]
    before = agent.make_status(world.now).incarnation
    for number in range(count):
        send_other(world, address, LATE, sequence + number)
        world.send_statuses()
        world.wait(0.2)
    assert not world.resets
    assert agent.answer_query(FlowQuery(make_key(), ack), world.now).answer in (
        Answer.HELD,
        Answer.MAYBE,
    )
    assert agent.make_status(world.now).incarnation == before
    world.send(SECOND, data_segment(make_key(), ack, 1017))
    assert len(world.targets[address].received) == 2
    assert not world.resets


def test_a_target_gets_new_flows_after_a_late_heartbeat_of_another():
    # Guards against a target that is heard and ignored for as long as it lives.
    world, address, _ = make_world()
    agent = world.agents[address]
    own = agent.current_heartbeat
    send_other(world, address, LATE)
    for number in range(1, 7):
        pass_time(world, 0.5)
        heartbeat = replace(own, sequence=own.sequence + number)
        kind = agent.handle_heartbeat(heartbeat, world.now)
        assert kind == HeartbeatKind.CURRENT
    world.send_statuses()
    world.send(FIRST, syn_segment(make_key(40_777)))
    assert make_key(40_777) in world.targets[address].flows


def test_requests_in_progress_stay_counted_after_a_late_heartbeat():
    # Guards against a planned stop of the agent that cuts requests off: it waits only
    # for the requests that it counts.
    world, address, _ = make_world(0.5)
    agent = world.agents[address]
    world.add_load(address, 1)
    assert agent.request_tracker.active_count
    before = agent.request_tracker.active_count
    send_other(world, address, LATE)
    assert agent.request_tracker.active_count == before


def test_a_late_ready_heartbeat_does_not_reopen_a_draining_target():
    # Guards against new flows at a target that is leaving.
    world, address, _ = make_world()
    send_own(world, address, is_draining=True)
    send_other(world, address, LATE)
    assert world.agents[address].state == TargetState.DRAINING


def test_a_late_draining_heartbeat_keeps_new_flows_away_until_the_next_own_one():
    # While both incarnations may be alive, the one that drains must get no new flow.
    world, address, _ = make_world()
    send_other(world, address, LATE, is_draining=True)
    assert world.agents[address].state == TargetState.DRAINING
    send_own(world, address)
    assert world.agents[address].state == TargetState.OPEN


def test_a_candidate_that_warms_up_limits_new_flows_until_the_next_own_heartbeat():
    # Guards against too many new flows at a successor that has just started.
    world, address, _ = make_world()
    agent = world.agents[address]
    send_other(world, address, SUCCESSOR, warmup_left_ms=3000)
    assert agent.make_status(world.now).warmup_left_ms == 3000
    send_own(world, address)
    assert agent.make_status(world.now).warmup_left_ms == 0


@pytest.mark.parametrize("silent_seconds", [0.1, 1.0, 2.0])
def test_a_successor_gets_new_flows_at_once_and_old_flows_are_reset(silent_seconds):
    # Guards against a successor that is not used, or callers of the crashed target that
    # wait for an answer that never comes.
    world, address, _ = make_world()
    agent = world.agents[address]
    send_own(world, address)
    world.targets[address].flows.clear()
    pass_time(world, silent_seconds)
    send_other(world, address, SUCCESSOR)
    world.send_statuses()
    world.send(FIRST, syn_segment(make_key(40_777)))
    assert make_key(40_777) in world.targets[address].flows
    began = world.now
    for sequence in range(2, 6):
        pass_time(world, HEARTBEAT)
        send_other(world, address, SUCCESSOR, sequence)
        if agent.current_heartbeat.name == SUCCESSOR:
            break
    assert world.now - began <= MAX_TAKEOVER_SECONDS
    world.send_statuses()
    world.wait(0.3)
    keys = {reset.segment.key for reset in world.resets}
    assert keys == {make_key()}


def test_a_successor_of_a_silent_target_is_open_at_its_first_heartbeat():
    world, address, _ = make_world()
    pass_time(world, 4 * HEARTBEAT)
    assert world.agents[address].state == TargetState.ABSENT
    send_other(world, address, SUCCESSOR)
    assert world.agents[address].state == TargetState.OPEN


def test_a_silent_target_that_is_heard_again_keeps_its_flows():
    # Guards against the reset of open flows: a link was cut, and as it returns a late
    # heartbeat of an unheard incarnation arrives before the living one's next.
    world, address, ack = make_world()
    agent = world.agents[address]
    pass_time(world, 4 * HEARTBEAT)
    for sequence in (1, 2, 3):
        send_other(world, address, LATE, sequence)
        pass_time(world, 0.1)
    assert send_own(world, address) == HeartbeatKind.CURRENT
    world.send_statuses()
    world.wait(0.3)
    assert not world.resets
    assert agent.answer_query(FlowQuery(make_key(), ack), world.now).answer == (
        Answer.HELD
    )


@pytest.mark.parametrize("late_count", [0, 4])
def test_an_incarnation_that_was_replaced_without_proof_may_come_back(late_count):
    # Guards against a living target that is ignored for good, and against the denial of
    # its flows: it was silent, and late heartbeats replaced it.
    world, address, _ = make_world()
    agent = world.agents[address]
    own = agent.current_heartbeat
    world.replace_target(address, LATE)
    for sequence in range(3, 3 + late_count):
        pass_time(world, HEARTBEAT)
        send_other(world, address, LATE, sequence)
    assert agent.flow_table.is_complete(world.now)
    kinds = []
    for number in range(1, 9):
        heartbeat = replace(own, sequence=own.sequence + number)
        kinds.append(agent.handle_heartbeat(heartbeat, world.now))
        assert not agent.flow_table.is_complete(world.now)
        if number == 1:
            send_other(world, address, LATE, 9)
            assert not agent.flow_table.is_complete(world.now)
        pass_time(world, HEARTBEAT)
    assert agent.target.is_established
    assert HeartbeatKind.STALE not in kinds
    assert agent.current_heartbeat.name == own.name
    assert agent.state == TargetState.OPEN


def test_a_late_heartbeat_of_a_replaced_incarnation_is_ignored_if_it_was_overtaken():
    world, address, _ = make_world()
    agent = world.agents[address]
    own = agent.current_heartbeat
    world.replace_target(address, SUCCESSOR)
    assert agent.handle_heartbeat(own, world.now) == HeartbeatKind.STALE
    assert not agent.target.candidates


def test_a_copy_of_a_late_heartbeat_is_no_new_evidence():
    world, address, _ = make_world()
    pass_time(world, 4 * HEARTBEAT)
    send_other(world, address, LATE, 3)
    pass_time(world, 0.9)
    for sequence in (3, 2):
        assert send_other(world, address, LATE, sequence) == HeartbeatKind.STALE
    assert world.agents[address].current_heartbeat.name != LATE


@pytest.mark.parametrize("is_heard_before", [False, True])
def test_a_late_leave_message_of_another_incarnation_ends_no_open_flow(is_heard_before):
    # Guards against the reset of open flows by the leave message of an incarnation that
    # the agent never heard, or heard too late.
    world, address, ack = make_world()
    agent = world.agents[address]
    if is_heard_before:
        send_other(world, address, LATE)
    assert not agent.handle_leave(LATE)
    assert not agent.target.candidates
    assert agent.state == TargetState.OPEN
    assert agent.answer_query(FlowQuery(make_key(), ack), world.now).answer == (
        Answer.HELD
    )
    assert send_other(world, address, LATE, 9) == HeartbeatKind.STALE


def test_the_leave_message_of_the_current_incarnation_makes_way_for_the_candidate():
    # Guards against a successor without new flows, and against the reset of a flow that
    # it has accepted: its first heartbeat arrives before its predecessor's leave.
    world, address, _ = make_world()
    agent = world.agents[address]
    name = agent.current_heartbeat.name
    send_own(world, address)
    world.now += 0.3
    send_other(world, address, SUCCESSOR)
    world.targets[address].flows.clear()
    world.now += 0.1
    _, ack = world.open(FIRST, make_key(40_777))
    world.send(FIRST, data_segment(make_key(40_777), ack))
    assert agent.handle_leave(name)
    assert agent.current_heartbeat.name == SUCCESSOR
    assert agent.state == TargetState.OPEN
    world.send_statuses()
    world.wait(0.7)
    assert {reset.segment.key for reset in world.resets} == {make_key()}


def test_the_log_tells_which_incarnation_was_believed_and_how_it_was_settled():
    world, address, _ = make_world()
    agent = world.agents[address]
    events = collect_events(agent)
    own = agent.current_heartbeat.name
    for sequence in (1, 2):
        send_other(world, address, LATE, sequence)
    ((name, fields),) = events
    assert name == "target_contested"
    assert (fields["target"], fields["candidate"]) == (own, LATE)
    assert (fields["believed"], fields["reason"]) == (own, "current_heard")
    assert agent.contested_heartbeats == 2
    for _ in range(4):
        pass_time(world, HEARTBEAT)
        send_own(world, address)
    name, fields = events[1]
    assert name == "target_kept"
    assert (fields["candidate"], fields["reason"]) == (LATE, "candidate_silent")
    pass_time(world, 4 * HEARTBEAT)
    send_other(world, address, SUCCESSOR)
    contested = [fields for name, fields in events if name == "target_contested"]
    assert contested[-1]["believed"] == SUCCESSOR
    assert contested[-1]["reason"] == "current_silent"
    pass_time(world, HEARTBEAT)
    send_other(world, address, SUCCESSOR, 2)
    replaced = [fields for name, fields in events if name == "target_replaced"]
    assert [fields["successor"] for fields in replaced] == [SUCCESSOR]


def test_the_candidates_and_the_replaced_incarnations_are_limited():
    # Guards against memory that grows with each restart of a target.
    candidates, incarnations = Candidates(), Incarnations()
    for number in range(3 * MAX_REPLACED):
        heartbeat = make_heartbeat(f"i-{number}")
        candidates.record(heartbeat, float(number))
        incarnations.accept(heartbeat)
    assert len(candidates._by_name) == MAX_CANDIDATES
    assert len(incarnations._replaced) == MAX_REPLACED
    assert candidates.find_newest().heartbeat.name == f"i-{3 * MAX_REPLACED - 1}"


def start_agent_beside(world, address, seconds=0.3):
    """Restart the agent alone: it knows neither its target nor the target's flows."""
    own = world.agents[address].current_heartbeat
    world.now += seconds
    world.agents[address] = world.make_agent()
    return own


@pytest.mark.parametrize("sequence", [1, 7])
def test_a_late_heartbeat_at_an_agent_that_has_just_started_ends_no_open_flow(sequence):
    # Guards against the reset of open flows: an agent that has just started hears a
    # late heartbeat first, and takes its sender for a target that started after it.
    world, address, ack = make_world()
    own = start_agent_beside(world, address)
    agent = world.agents[address]
    send_other(world, address, LATE, sequence)
    world.send_statuses()
    world.wait(0.3)
    query = FlowQuery(make_key(), ack)
    for number in range(1, 9):
        heartbeat = replace(own, sequence=own.sequence + number)
        agent.handle_heartbeat(heartbeat, world.now)
        assert agent.answer_query(query, world.now).answer == Answer.MAYBE
        pass_time(world, HEARTBEAT)
    assert agent.current_heartbeat.name == own.name
    world.send(SECOND, data_segment(make_key(), ack, 1017))
    assert len(world.targets[address].received) == 2
    assert not world.resets


def test_flows_seen_since_the_agents_start_stay_when_the_first_heartbeat_was_late():
    # Guards against the reset of an open flow that the living target accepted before
    # the agent knew which incarnation is alive.
    world, address, _ = make_world()
    own = start_agent_beside(world, address)
    agent = world.agents[address]
    send_other(world, address, LATE, 1)
    world.send_statuses()
    _, ack = world.open(FIRST, make_key(40_777))
    world.send(FIRST, data_segment(make_key(40_777), ack))
    for number in range(1, 6):
        heartbeat = replace(own, sequence=own.sequence + number)
        agent.handle_heartbeat(heartbeat, world.now)
        pass_time(world, HEARTBEAT)
    assert agent.current_heartbeat.name == own.name
    world.send_statuses()
    world.wait(0.5)
    assert not world.resets
    assert make_key(40_777) in agent.flows


def test_an_agent_denies_unknown_flows_once_its_target_was_heard_alone():
    # A target that started after its agent holds no flow that the agent has not seen.
    # Before, its first heartbeat may have been a late one of another incarnation.
    agent = Agent(SERVICE, 0, HEARTBEAT, 0.0)
    query = FlowQuery(make_key(), 8)
    answers = []
    for number in range(5):
        now = 0.1 + number * HEARTBEAT
        agent.handle_heartbeat(make_heartbeat("i-0", 1 + number), now)
        answers.append(agent.answer_query(query, now).answer)
    assert answers == [Answer.MAYBE] * 3 + [Answer.NOT_HELD] * 2


def test_flows_of_a_target_that_was_heard_for_a_short_time_are_not_denied():
    # Guards against the reset of open flows: late heartbeats of two incarnations arrive
    # at an agent that has just started, and the flows belong to a third one.
    agent = Agent(SERVICE, 0, HEARTBEAT, 0.0)
    answer = Segment(make_key(), b"", b"", 7, 1, is_ack=True)
    agent.handle_heartbeat(make_heartbeat("i-1"), 0.1)
    agent.handle_target_packet(answer, 0.2)
    query = FlowQuery(make_key(), 7)
    for number in range(1, 6):
        agent.handle_heartbeat(make_heartbeat("i-2", number), number * HEARTBEAT)
        agent.tick(number * HEARTBEAT)
        assert agent.answer_query(query, number * HEARTBEAT).answer != Answer.NOT_HELD
    assert agent.current_heartbeat.name == "i-2"


def test_a_late_leave_message_at_an_agent_that_has_just_started_ends_no_open_flow():
    # Guards against the reset of open flows: an agent that has just started hears late
    # messages of another incarnation, its leave message too, before the living one.
    world, address, ack = make_world()
    own = start_agent_beside(world, address)
    agent = world.agents[address]
    send_other(world, address, LATE)
    assert agent.handle_leave(LATE)
    assert agent.state == TargetState.ABSENT
    world.send_statuses()
    pass_time(world, 0.9 * HEARTBEAT)
    agent.handle_heartbeat(replace(own, sequence=own.sequence + 1), world.now)
    assert agent.state == TargetState.OPEN
    world.send_statuses()
    pass_time(world, HEARTBEAT)
    query = FlowQuery(make_key(), ack)
    assert agent.answer_query(query, world.now).answer == Answer.MAYBE
    assert not world.resets


def test_a_target_that_leaves_soon_after_its_agents_start_is_gone_once_it_is_silent():
    # Guards against idle flows at a target that has left: their callers would send
    # requests that nobody answers.
    world, address, _ = make_world()
    own = start_agent_beside(world, address)
    agent = world.agents[address]
    agent.handle_heartbeat(replace(own, sequence=own.sequence + 1), world.now)
    assert agent.handle_leave(own.name)
    world.send(FIRST, syn_segment(make_key(40_777)))
    assert make_key(40_777) not in world.targets[address].flows
    pass_time(world, MISSED_HEARTBEAT_INTERVALS * HEARTBEAT + 0.1)
    assert agent.state == TargetState.GONE
    pass_time(world, 1.0)
    assert make_key() in {reset.segment.key for reset in world.resets}


def test_an_agent_that_stops_after_its_target_has_left_reports_it_as_gone():
    # Guards against a host that stays in the directory after it was taken away: agent
    # and target had run for a short time only.
    agent = Agent(SERVICE, 0, HEARTBEAT, 0.0)
    agent.handle_heartbeat(make_heartbeat("i-0"), 0.1)
    agent.handle_leave("i-0")
    agent.pause(0.2)
    assert agent.state == TargetState.GONE


def test_a_started_agent_confirms_its_target_when_no_other_one_can_be_alive():
    # Guards against resets of open flows on the word of an agent that has just started,
    # and against resets that come late after a loss of power.
    agent = Agent(SERVICE, 0, HEARTBEAT, 0.0)
    agent.handle_heartbeat(make_heartbeat("i-0"), 0.3)
    assert not agent.make_status(0.3).is_confirmed
    assert not agent.tick(1.0)
    assert agent.tick(1.4)
    assert agent.make_status(1.4).is_confirmed
    assert not agent.tick(1.5)


def test_an_incarnation_is_not_confirmed_while_another_one_is_heard():
    agent = Agent(SERVICE, 0, HEARTBEAT, 0.0)
    agent.handle_heartbeat(make_heartbeat(LATE), 0.3)
    for number in range(1, 3):
        agent.handle_heartbeat(make_heartbeat("i-0", number), number * HEARTBEAT)
        assert not agent.tick(number * HEARTBEAT + 0.5)
        assert not agent.make_status(number * HEARTBEAT + 0.5).is_confirmed


def test_a_target_that_starts_long_after_its_agent_is_established_at_once():
    # The agent has heard nobody for long, so no other incarnation is alive.
    agent = Agent(SERVICE, 0, HEARTBEAT, 0.0)
    agent.handle_heartbeat(make_heartbeat("i-0"), 5.0)
    assert agent.make_status(5.0).is_confirmed
    assert agent.answer_query(FlowQuery(make_key(), 8), 5.0).answer == Answer.NOT_HELD


def test_late_heartbeats_of_a_crashed_target_end_no_flow_of_its_successor():
    # Guards against the reset of open flows: heartbeats of the crashed target, which
    # was heard before, arrive after its successor has accepted them.
    world, address, _ = make_world()
    agent = world.agents[address]
    own = agent.current_heartbeat
    world.now += 0.3
    world.targets[address].flows.clear()
    send_other(world, address, SUCCESSOR)
    _, ack = world.open(FIRST, make_key(40_777))
    world.send(FIRST, data_segment(make_key(40_777), ack))
    for number in range(1, 4):
        pass_time(world, HEARTBEAT / 2)
        agent.handle_heartbeat(replace(own, sequence=own.sequence + number), world.now)
        pass_time(world, HEARTBEAT / 2)
        send_other(world, address, SUCCESSOR, 1 + number)
    for number in range(5, 9):
        pass_time(world, HEARTBEAT)
        send_other(world, address, SUCCESSOR, number)
    assert agent.current_heartbeat.name == SUCCESSOR
    world.send_statuses()
    world.wait(0.5)
    assert make_key(40_777) not in {reset.segment.key for reset in world.resets}
    assert make_key(40_777) in agent.flows


LATE_MESSAGES = st.lists(
    st.tuples(
        st.floats(0, 8),
        st.sampled_from(("i-1", "i-2", "i-3")),
        st.integers(1, 50),
        st.booleans(),
        st.booleans(),
    ),
    max_size=25,
)


@given(LATE_MESSAGES, st.floats(0, 0.7))
def test_no_late_message_ends_the_flows_of_a_target_that_is_heard(messages, offset):
    # Whatever late heartbeats and leave messages of unheard incarnations arrive, in any
    # order and with any number: a target that is heard in time keeps its flows, and is
    # open after its own next heartbeat.
    events = [(offset + 0.9 * HEARTBEAT * n, "", n, False, False) for n in range(10)]
    agent = Agent(SERVICE, 0, HEARTBEAT, -3 * HEARTBEAT)
    for number in range(4):
        agent.handle_heartbeat(make_heartbeat("i-0"), (number - 3) * HEARTBEAT)
    syn_ack = replace(syn_segment(make_key()), is_ack=True, sequence=7)
    agent.handle_target_packet(syn_ack, 0.0)
    query = FlowQuery(make_key(), 8)
    for at, name, number, is_draining, is_leave in sorted(events + messages):
        agent.tick(at)
        if name and is_leave:
            agent.handle_leave(name)
        elif name:
            agent.handle_heartbeat(make_heartbeat(name, number, is_draining), at)
        else:
            heartbeat = make_heartbeat("i-0", 2 + number)
            assert agent.handle_heartbeat(heartbeat, at) == HeartbeatKind.CURRENT
            assert agent.state == TargetState.OPEN
        assert agent.current_heartbeat.name == "i-0"
        assert agent.answer_query(query, at).answer == Answer.HELD
