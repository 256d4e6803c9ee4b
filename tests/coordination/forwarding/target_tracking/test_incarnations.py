"""Targets that restart under the same name."""

from hypothesis import given, strategies as st
from msgspec.structs import replace

from ibisshunt.coordination.forwarding.messages import Answer, FlowQuery, TargetState
from ibisshunt.coordination.forwarding.target_tracking.incarnations import (
    Heartbeat,
    HeartbeatKind,
    Incarnations,
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
NAME = "i-7"
START_MS = 1_700_000_000_000


def send_heartbeat(world, address, sequence, start_time_ms=START_MS, **changes):
    """Let a target send a heartbeat; return how its agent classifies it."""
    heartbeat = Heartbeat(NAME, SERVICE, 1, False, 0, sequence, start_time_ms)
    return world.agents[address].handle_heartbeat(
        replace(heartbeat, **changes), world.now
    )


def make_world():
    """Return a world with one target whose heartbeats carry its start time."""
    world = World(targets=1)
    (address,) = world.agents
    world.replace_target(address, NAME, start_time_ms=START_MS)
    world.wait(3 * HEARTBEAT)
    send_heartbeat(world, address, sequence=40)
    world.send_statuses()
    return world, address


def restart_target(world, address):
    """Restart the target: it does not know its previous flows."""
    world.wait(0.5)
    world.targets[address].flows.clear()


def test_heartbeats_of_a_restarted_target_count_though_their_sequence_restarts():
    # A target crashes and restarts under its name; its heartbeats are numbered from 1
    # again. Treated as late ones, they would be ignored until the numbers exceed those
    # of the previous incarnation, and the target would get no flow for minutes.
    world, address = make_world()
    restart_target(world, address)
    assert (
        send_heartbeat(world, address, sequence=1, start_time_ms=START_MS + 5000)
        == HeartbeatKind.NEW_INCARNATION
    )
    agent = world.agents[address]
    assert agent.state == TargetState.OPEN
    assert agent.current_heartbeat.sequence == 1


def test_a_restart_of_a_target_ends_its_flows():
    # A caller has a flow at a target that restarts under its name. The flow has ended:
    # the agent must not answer that the target holds it, and the caller's next packet
    # gets a reset at once instead of no answer until its deadline.
    world, address = make_world()
    _, ack = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), ack))
    world.wait(2 * HEARTBEAT)
    send_heartbeat(world, address, sequence=41)
    restart_target(world, address)
    send_heartbeat(world, address, sequence=1, start_time_ms=START_MS + 5000)
    world.send_statuses()
    query = FlowQuery(make_key(), ack)
    assert (
        world.agents[address].answer_query(query, world.now).answer == Answer.NOT_HELD
    )
    world.send(FIRST, data_segment(make_key(), ack, 1017))
    assert [reset.reason for reset in world.resets] == ["held_by_nobody"]


def test_a_restarted_target_keeps_a_flow_opened_before_its_first_heartbeat():
    # A target restarts and accepts a flow before its first heartbeat reaches the agent.
    # The flow must not end with those of the previous incarnation: a reset would break
    # it, so the target itself is asked by a probe.
    world, address = make_world()
    restart_target(world, address)
    _, ack = world.open(FIRST)
    send_heartbeat(world, address, sequence=1, start_time_ms=START_MS + 5000)
    world.send_statuses()
    for balancer in (FIRST, SECOND):
        world.send(balancer, data_segment(make_key(), ack))
    assert len(world.targets[address].received) == 2
    assert not world.resets


def test_a_late_heartbeat_ends_no_flow_of_the_next_incarnation():
    # Guards against the reset of an open flow: its target accepted it before its first
    # heartbeat, and a heartbeat of the previous incarnation arrived in between.
    world, address = make_world()
    restart_target(world, address)
    _, ack = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), ack))
    world.now += 0.01
    assert send_heartbeat(world, address, sequence=41) == HeartbeatKind.CURRENT
    world.now += 0.01
    assert (
        send_heartbeat(world, address, sequence=1, start_time_ms=START_MS + 5000)
        == HeartbeatKind.NEW_INCARNATION
    )
    world.send_statuses()
    world.wait(0.5)
    assert not world.resets
    world.send(FIRST, data_segment(make_key(), ack, 1017))
    assert len(world.targets[address].received) == 2
    assert not world.resets


def test_failures_of_the_previous_incarnation_do_not_count():
    # The previous incarnation failed every request and was excluded. The new one starts
    # without these failures: otherwise it would get no flow, and could never improve.
    world, address = make_world()
    agent = world.agents[address]
    for port in range(1, 12):
        agent.request_tracker.record_caller_segment(
            data_segment(make_key(port), 1), world.now
        )
        failed = data_segment(make_key(port), 1, 5, b"HTTP/1.1 500 No\r\n\r\n")
        agent.handle_target_packet(failed, world.now + 0.2)
    assert agent.make_status(world.now).failure_percent > 30
    assert agent.make_status(world.now).mean_service_us > 0
    send_heartbeat(world, address, sequence=1, start_time_ms=START_MS + 5000)
    assert agent.make_status(world.now).failure_percent == 0
    assert agent.make_status(world.now).mean_service_us == 0


def test_messages_of_an_earlier_incarnation_change_nothing():
    # A heartbeat and the leave message of the previous incarnation arrive after the
    # first heartbeat of the new one. They must neither end the new one nor change its
    # state.
    world, address = make_world()
    restart_target(world, address)
    send_heartbeat(world, address, sequence=1, start_time_ms=START_MS + 5000)
    world.open(FIRST)
    agent = world.agents[address]
    assert (
        send_heartbeat(world, address, sequence=90, is_draining=True)
        == HeartbeatKind.STALE
    )
    assert not agent.handle_leave(NAME, START_MS)
    assert agent.state == TargetState.OPEN
    assert agent.flows


def test_a_target_that_has_left_may_come_back_with_a_later_start():
    # A target has sent its leave message and restarts under its name. A late heartbeat
    # of the incarnation that left must not reactivate it; the new one must be used.
    world, address = make_world()
    agent = world.agents[address]
    assert agent.handle_leave(NAME, START_MS)
    assert send_heartbeat(world, address, sequence=41) == HeartbeatKind.STALE
    assert agent.state == TargetState.GONE
    assert (
        send_heartbeat(world, address, sequence=1, start_time_ms=START_MS + 1)
        == HeartbeatKind.NEW_INCARNATION
    )
    assert agent.state == TargetState.OPEN


def test_a_leave_message_without_a_start_ends_only_the_current_incarnation():
    world, address = make_world()
    agent = world.agents[address]
    assert agent.handle_leave(NAME)
    assert send_heartbeat(world, address, sequence=41) == HeartbeatKind.STALE
    assert (
        send_heartbeat(world, address, sequence=1, start_time_ms=START_MS + 1)
        == HeartbeatKind.NEW_INCARNATION
    )


def test_a_heartbeat_without_the_usual_start_time_is_ignored():
    # Another program's heartbeat lacks the start time that the target has always sent:
    # if it counted, it would drain a target that is open.
    world, address = make_world()
    assert (
        send_heartbeat(
            world, address, sequence=41, start_time_ms=None, is_draining=True
        )
        == HeartbeatKind.MISSING_START
    )
    assert world.agents[address].state == TargetState.OPEN


def test_a_target_that_starts_to_send_its_start_time_keeps_its_flows():
    # The first heartbeat that an agent receives lacks the start time, the next one has
    # it. No flow may end because of that.
    world = World(targets=1)
    (address,) = world.agents
    world.open(FIRST)
    agent = world.agents[address]
    known = agent.current_heartbeat
    again = replace(known, sequence=known.sequence + 1, start_time_ms=START_MS)
    assert agent.handle_heartbeat(again, world.now) == HeartbeatKind.CURRENT
    assert agent.flows


def test_balancers_learn_that_a_target_has_restarted():
    # The next status shows the new incarnation, though state and service are the same
    # as before.
    world, address = make_world()
    balancer = world.balancers[FIRST]
    before = balancer.targets[address].status.incarnation
    restart_target(world, address)
    world.send_statuses()
    send_heartbeat(world, address, sequence=1, start_time_ms=START_MS + 5000)
    status = world.agents[address].make_status(world.now)
    assert balancer.handle_status(address, status, world.now)
    assert balancer.targets[address].status.incarnation != before


def test_an_agent_that_restarts_reports_the_same_incarnation():
    # Only the agent restarts: balancers must not see a new incarnation of the target.
    world, address = make_world()
    before = world.agents[address].make_status(world.now).incarnation
    world.agents[address] = world.make_agent()
    send_heartbeat(world, address, sequence=41)
    assert world.agents[address].make_status(world.now).incarnation == before


def test_a_target_that_falls_silent_and_restarts_is_open_again():
    world, address = make_world()
    world.agents[address].tick(world.now + 3 * HEARTBEAT)
    assert world.agents[address].state == TargetState.ABSENT
    world.now += 3 * HEARTBEAT
    send_heartbeat(world, address, sequence=1, start_time_ms=START_MS + 5000)
    world.send_statuses()
    world.send(FIRST, syn_segment(make_key()))
    assert len(world.sent_to_callers) == 1


@given(
    st.lists(
        st.tuples(st.sampled_from((1, 2, 3)), st.integers(0, 5), st.booleans()),
        max_size=30,
    )
)
def test_start_times_never_go_back(messages):
    # Heartbeats and leave messages of three incarnations of one name arrive in any
    # order: the accepted start time never goes back, and no ended incarnation comes
    # back.
    incarnations = Incarnations()
    ended = 0
    for start_time_ms, sequence, is_leave in messages:
        known = incarnations.current
        if is_leave:
            incarnations.record_leave(NAME, start_time_ms)
            ended = max(ended, start_time_ms)
            continue
        heartbeat = Heartbeat(NAME, SERVICE, 1, False, 0, sequence, start_time_ms)
        kind = incarnations.classify(heartbeat)
        assert (kind == HeartbeatKind.STALE) == (
            start_time_ms <= ended
            or (
                known is not None
                and (start_time_ms, sequence) < (known.start_time_ms, known.sequence)
            )
        )
        if kind != HeartbeatKind.STALE:
            incarnations.accept(heartbeat)


def test_an_agent_answers_maybe_for_flows_that_may_be_the_previous_incarnations():
    # A flow opened after the last heartbeat of a target that then restarted: it may be
    # of either incarnation. If the agent answered that it is held, the caller would
    # wait for an answer that never comes.
    world, address = make_world()
    world.now += 0.1
    _, ack = world.open(FIRST)
    world.targets[address].flows.clear()
    world.now += 0.1
    send_heartbeat(world, address, sequence=1, start_time_ms=START_MS + 5000)
    query = FlowQuery(make_key(), ack)
    assert world.agents[address].answer_query(query, world.now).answer == Answer.MAYBE
    world.send(SECOND, data_segment(make_key(), ack))
    world.wait(0.3)
    assert [reset.reason for reset in world.resets] == ["held_by_nobody"]


def test_a_target_that_starts_to_send_its_start_time_is_the_same_for_balancers():
    # The first heartbeat lacks the start time, the next one has it. A balancer that saw
    # a new incarnation in that would reset the flows of its checkpoint.
    world = World(targets=1)
    (address,) = world.agents
    agent = world.agents[address]
    before = agent.make_status(world.now).incarnation
    agent.handle_heartbeat(
        replace(agent.current_heartbeat, sequence=2, start_time_ms=START_MS), world.now
    )
    assert agent.make_status(world.now).incarnation == before
