"""Late copies of SYNs, SYN-ACKs and data do not disturb a flow that is open."""

import pytest
from msgspec.structs import replace

from ibisshunt.coordination.forwarding.messages import (
    Answer,
    Deliver,
    FlowQuery,
    RejectedPacket,
    RejectReason,
    SendToTarget,
)
from ibisshunt.coordination.forwarding.routes import compute_service_tag
from ibisshunt.coordination.forwarding.segment import Segment
from ibisshunt.coordination.forwarding.target_tracking.tracked_flow import MAX_SYN_ACKS
from tests.forwarding_world import (
    SERVICE,
    World,
    data_segment,
    make_key,
    syn_segment,
)

FIRST, SECOND = "10.0.1.0", "10.0.1.1"


def deliver(world, address, segment):
    """Let a balancer send a packet to one agent, which delivers or rejects it."""
    message = Deliver(compute_service_tag(SERVICE), segment.packet)
    return world.agents[address].handle_packet(FIRST, message, segment, world.now)


def send_syn_ack(world, address, sequence):
    """Let a target send a SYN-ACK with a sequence number."""
    syn_ack = Segment(make_key(), b"synack", b"", sequence, 1, is_syn=True, is_ack=True)
    world.agents[address].handle_target_packet(syn_ack, world.now)


def test_an_agent_keeps_a_flow_when_a_copy_of_its_syn_arrives():
    # Guards against the reset of an open flow: the target answers a late SYN copy with
    # another sequence number, and its agent rejects the packets of the open flow.
    world = World(targets=1)
    address = "10.0.2.0"
    assert isinstance(deliver(world, address, syn_segment(make_key())), SendToTarget)
    send_syn_ack(world, address, 5000)
    assert isinstance(
        deliver(world, address, data_segment(make_key(), 5001)), SendToTarget
    )
    assert deliver(world, address, syn_segment(make_key())) is None
    later = data_segment(make_key(), 5001, sequence=1100)
    assert isinstance(deliver(world, address, later), SendToTarget)


def test_a_restarted_agent_keeps_a_flow_whose_target_retransmits_old_packets():
    # Guards against the reset of an open flow at a planned restart of its agent: the
    # caller has acknowledged more than the packet that the target retransmits.
    world = World(targets=1)
    address, key = "10.0.2.0", make_key()
    agent = world.agents[address] = world.make_agent()
    repeated = Segment(key, b"data", b"x" * 1200, 9000, 1100, is_ack=True)
    agent.handle_target_packet(repeated, world.now)
    acknowledged = data_segment(key, 9000 + 4000, sequence=1100)
    assert isinstance(deliver(world, address, acknowledged), SendToTarget)
    assert (
        agent.answer_query(FlowQuery(key, 9000 + 4000), world.now).answer == Answer.HELD
    )
    foreign = data_segment(key, 9000 + 3_000_000_000, sequence=1100)
    assert not isinstance(deliver(world, address, foreign), SendToTarget)


@pytest.mark.parametrize("is_seen_late", [False, True])
def test_a_flow_survives_the_syn_ack_of_a_copy_that_crossed_its_handshake(is_seen_late):
    # Guards against the reset of an open flow: a copy of its SYN reached the target
    # just before the caller's packet, and was answered with another sequence number.
    world = World(targets=1)
    address, key = "10.0.2.0", make_key()
    deliver(world, address, syn_segment(key))
    send_syn_ack(world, address, 5000)
    assert isinstance(deliver(world, address, syn_segment(key)), SendToTarget)
    if not is_seen_late:
        send_syn_ack(world, address, 77_000_000)
    assert isinstance(deliver(world, address, data_segment(key, 5001)), SendToTarget)
    if is_seen_late:
        send_syn_ack(world, address, 77_000_000)
    later = data_segment(key, 5001, sequence=1100)
    assert isinstance(deliver(world, address, later), SendToTarget)
    assert (
        world.agents[address].answer_query(FlowQuery(key, 5001), world.now).answer
        == Answer.HELD
    )
    other = FlowQuery(key, 77_000_001)
    assert (
        world.agents[address].answer_query(other, world.now).answer == Answer.NOT_HELD
    )


def test_a_caller_may_accept_the_syn_ack_of_any_copy():
    # Guards against a rejected flow: its caller never got the first SYN-ACK.
    for accepted in (5001, 77_000_001):
        world = World(targets=1)
        address, key = "10.0.2.0", make_key()
        for sequence in (5000, 77_000_000):
            deliver(world, address, syn_segment(key))
            send_syn_ack(world, address, sequence)
        assert isinstance(
            deliver(world, address, data_segment(key, accepted)), SendToTarget
        )


def test_syn_acks_that_no_caller_accepts_do_not_accumulate():
    world = World(targets=1)
    for copy in range(3 * MAX_SYN_ACKS):
        deliver(world, "10.0.2.0", syn_segment(make_key()))
        send_syn_ack(world, "10.0.2.0", 5000 * (copy + 1))
    flow = world.agents["10.0.2.0"].flows[make_key()]
    assert len(flow.syn_ack_sequences) == MAX_SYN_ACKS
    last = data_segment(make_key(), 5000 * 3 * MAX_SYN_ACKS + 1)
    assert isinstance(deliver(world, "10.0.2.0", last), SendToTarget)


def test_a_syn_copy_is_delivered_while_the_handshake_is_not_complete():
    # Guards against a caller that never gets an answer: the first SYN-ACK was lost.
    world = World(targets=1)
    deliver(world, "10.0.2.0", syn_segment(make_key()))
    send_syn_ack(world, "10.0.2.0", 5000)
    assert isinstance(deliver(world, "10.0.2.0", syn_segment(make_key())), SendToTarget)


def test_a_new_flow_of_a_reused_port_opens():
    world = World(targets=1)
    deliver(world, "10.0.2.0", syn_segment(make_key()))
    send_syn_ack(world, "10.0.2.0", 5000)
    deliver(world, "10.0.2.0", data_segment(make_key(), 5001))
    other = syn_segment(make_key(), 77_000_000)
    assert isinstance(deliver(world, "10.0.2.0", other), SendToTarget)
    world = World(targets=1)
    address, ack = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), ack))
    assert world.open(FIRST, sequence=77_000_000)[0] == address


def test_a_pending_syn_is_dropped_once_its_flow_is_open():
    # Guards against a second target for an open flow: a SYN was pending at one balancer
    # while a copy opened the flow through another one, and then a slot became free.
    world = World(targets=2)
    for address in world.agents:
        world.add_load(address, 9)
    world.send_statuses()
    world.send(FIRST, syn_segment(make_key()))
    assert len(world.balancers[FIRST].state.pending_syns) == 1
    for address, agent in world.agents.items():
        agent.request_tracker.clear()
        world.balancers[SECOND].handle_status(
            address, agent.make_status(world.now), world.now
        )
    world.send(SECOND, syn_segment(make_key()))
    ((holder, answered),) = world.sent_to_callers
    world.send(FIRST, data_segment(make_key(), answered.sequence + 1))
    assert not world.balancers[FIRST].state.pending_syns
    world.wait(1.0)
    assert world.balancers[FIRST].flows[make_key()].address == holder
    other = next(found for found in world.targets if found != holder)
    assert make_key() not in world.targets[other].flows


def test_a_balancer_does_not_place_a_syn_copy_of_an_open_flow():
    world = World(targets=2)
    holder, ack = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), ack))
    before = len(world.sent_to_callers)
    world.send(FIRST, syn_segment(make_key()))
    world.send(SECOND, data_segment(make_key(), ack, sequence=1100))
    world.send(SECOND, syn_segment(make_key()))
    assert len(world.sent_to_callers) == before
    other = next(found for found in world.targets if found != holder)
    assert make_key() not in world.targets[other].flows
    assert not world.resets


def test_a_flow_stays_where_its_newer_syn_copy_went_when_an_older_one_is_rejected():
    # Guards against a second target for an opening flow: the target was full when the
    # first copy came and accepted the second one; the first is rejected after that.
    world = World(targets=2)
    balancer = world.balancers[FIRST]
    first, second = (
        syn_segment(make_key()),
        replace(syn_segment(make_key()), syn_age=0.2),
    )
    (sent,) = balancer.handle_packet(first, world.now)
    (again,) = balancer.handle_packet(second, world.now)
    assert again.peer == sent.peer
    rejected = RejectedPacket(RejectReason.FULL, b"", 3)
    assert balancer.handle_rejected_packet(sent.peer, rejected, first, world.now) == []
    assert balancer.flows[make_key()].address == sent.peer
    # The rejection of the newest copy means that the target does not accept the flow.
    (other,) = balancer.handle_rejected_packet(sent.peer, rejected, second, world.now)
    assert other.peer != sent.peer


def test_a_syn_that_is_rejected_after_its_flow_is_open_is_ignored():
    # Guards against a second target for an open flow.
    world = World(targets=2)
    address, ack = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), ack))
    balancer = world.balancers[FIRST]
    rejected = RejectedPacket(RejectReason.FULL, b"", 3)
    assert (
        balancer.handle_rejected_packet(
            address, rejected, syn_segment(make_key()), world.now
        )
        == []
    )
    assert balancer.flows[make_key()].address == address
    assert not balancer.state.pending_syns


def answer_late_copy(world, address):
    """Let a copy of the SYN come after the caller's packet."""
    again = deliver(world, address, syn_segment(make_key()))
    if isinstance(again, SendToTarget):
        send_syn_ack(world, address, 77_000_000)


def answer_crossing_copy(world, address):
    """Let the target answer a SYN copy that it got before the caller's packet."""
    send_syn_ack(world, address, 77_000_000)


def restart_beside_retransmitting_target(world, address):
    """Restart the agent; its target retransmits the oldest packet of its answer."""
    flow = world.agents[address].flows[make_key()]
    world.agents[address] = world.make_agent()
    world.send_heartbeat(address, number=9, name="i-100000000")
    oldest = Segment(make_key(), b"data", b"x", flow.sent_from, 1100, is_ack=True)
    world.agents[address].handle_target_packet(oldest, world.now)


@pytest.mark.parametrize(
    "disturb",
    [answer_late_copy, answer_crossing_copy, restart_beside_retransmitting_target],
)
def test_an_open_flow_survives_a_pause_of_nine_seconds_of_its_caller(disturb):
    # Guards against the reset of an open flow at its first use after a long pause: the
    # agent had recorded wrong sequence numbers for it before the pause.
    world = World(targets=2)
    address, ack = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), ack))
    answered = Segment(make_key(), b"data", bytes(4000), ack, 1017, is_ack=True)
    world.agents[address].handle_target_packet(answered, world.now)
    disturb(world, address)
    world.wait(9.0)
    world.send(FIRST, data_segment(make_key(), ack + 4000, 1017))
    world.wait(0.5)
    assert not world.resets
    assert len(world.targets[address].received) == 2
