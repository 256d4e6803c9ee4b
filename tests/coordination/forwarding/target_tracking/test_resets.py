"""Resets of targets that may not hold the flow which the caller has open."""

import pytest

from ibisshunt.coordination.forwarding.messages import (
    NO_LIMIT,
    Answer,
    Deliver,
    FlowAnswer,
    Probe,
    RejectReason,
    SendMessage,
    SendToCaller,
)
from ibisshunt.coordination.forwarding.routes import compute_service_tag
from ibisshunt.coordination.forwarding.segment import Segment
from tests.forwarding_world import (
    SERVICE,
    World,
    data_segment,
    make_key,
    rst_segment,
    syn_segment,
)

FIRST, SECOND = "10.0.1.0", "10.0.1.1"
TAG = compute_service_tag(SERVICE)


def make_restarted_agent(world):
    """Return an agent that started after its target and has received no heartbeat."""
    agent = world.make_agent()
    assert not agent.flow_table.is_complete(world.now)
    return agent


def restart_agent(world, address):
    """Restart an agent; its target resets packets of unknown flows from now on."""
    world.agents[address] = world.make_agent()
    world.send_heartbeat(address, number=9, name="i-again")
    world.targets[address].resets_unknown_flows = True
    world.send_statuses()


def acknowledge(key, sequence):
    """Return a packet of the target that acknowledges and carries no data."""
    return Segment(key, b"ack", b"", sequence, 2000, is_ack=True)


def list_to_callers(actions):
    return [action for action in actions if isinstance(action, SendToCaller)]


def test_a_reset_of_a_probed_target_breaks_no_flow_of_another():
    # A balancer restarts and has all agents probe for a flow. The agent of a host that
    # was just added knows no flows, and its target answers the probe with a reset.
    # Passed on, that reset would end the caller's flow, which is open at another
    # target.
    world = World(targets=4)
    address, ack = world.open(FIRST)
    world.restart_agents()
    for other in world.targets:
        world.targets[other].resets_unknown_flows = other != address
    world.targets[address].answers = True
    world.balancers[SECOND] = world.make_balancer()
    world.send_statuses()
    world.send(SECOND, data_segment(make_key(), ack))
    world.wait(0.3)
    assert world.targets[address].received
    assert not any(packet.is_rst for _, packet in world.sent_to_callers)
    assert not world.resets


def test_a_reset_after_outdated_information_is_not_passed_on():
    # A balancer has outdated information about where a flow is. The target there held
    # an older flow of the same caller and port and resets the packet; its agent has
    # restarted since. The flow continues at the target that holds it.
    world = World(targets=3)
    address, ack = world.open(FIRST)
    other = next(found for found in world.targets if found != address)
    restart_agent(world, other)
    second = world.balancers[SECOND]
    second.state.record_reported_flow(make_key(), second.targets[other], world.now)
    world.send(SECOND, data_segment(make_key(), ack))
    world.wait(0.3)
    assert world.targets[other].unknown_flow_packets
    assert world.targets[address].received
    assert not any(packet.is_rst for _, packet in world.sent_to_callers)
    assert not world.resets


def test_a_flow_that_its_target_has_ended_is_reset_after_a_search():
    # The flow has ended at its target, which answers with a reset; its agent has
    # restarted and cannot tell that the flow was there. The caller gets a reset once no
    # other target turns out to hold the flow.
    world = World(targets=3)
    address, ack = world.open(FIRST)
    world.targets[address].flows.clear()
    restart_agent(world, address)
    world.send(FIRST, data_segment(make_key(), ack))
    world.wait(0.3)
    assert [reset.reason for reset in world.resets] == ["held_by_nobody"]


def test_a_reset_of_the_current_flow_is_passed_on_at_once():
    # A target fails and resets the flows that it holds. Their callers must get the
    # resets at once, without a search.
    world = World(targets=1)
    address, ack = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), ack))
    agent = world.agents[address]
    actions = agent.handle_target_packet(rst_segment(make_key(), ack), world.now)
    assert list_to_callers(actions)


def test_a_reset_is_passed_on_once_a_restarted_agent_has_seen_both_ends():
    # The agent restarted; since then it has seen the target send and the caller
    # acknowledge it. That proves that both ends have the same flow.
    world = World(targets=1)
    agent = make_restarted_agent(world)
    key, now = make_key(), world.now
    agent.handle_packet(FIRST, Deliver(TAG, b""), data_segment(key, 5000), now)
    assert list_to_callers(agent.handle_target_packet(acknowledge(key, 5000), now))
    assert list_to_callers(agent.handle_target_packet(rst_segment(key, 5000), now))


@pytest.mark.parametrize("sequence", [5000 - (1 << 21), 5000 + (1 << 21), 1 << 31])
def test_packets_of_an_older_flow_do_not_confirm_the_current_one(sequence):
    # A caller reuses its port. The target of its previous flow acknowledges the probe:
    # if that confirmed the current flow, its packets would go to the wrong target.
    world = World(targets=1)
    agent = make_restarted_agent(world)
    key, now = make_key(), world.now
    agent.handle_probe(FIRST, Probe(TAG, b""), data_segment(key, 5000), now)
    (action,) = agent.handle_target_packet(acknowledge(key, sequence % (1 << 32)), now)
    assert action == SendMessage(FIRST, FlowAnswer(key, Answer.NOT_HELD))
    rejection = agent.handle_packet(
        FIRST, Deliver(TAG, b""), data_segment(key, 5000), now
    )
    assert rejection.message.reason == RejectReason.NOT_HELD


def test_a_syn_that_is_answered_with_a_reset_goes_to_another_target():
    # The caller reuses its port, and the target still remembers the closed flow. The
    # new flow is placed at another target; the caller gets no reset.
    world = World(targets=1)
    (agent,) = world.agents.values()
    key, now = make_key(), world.now
    agent.handle_packet(FIRST, Deliver(TAG, b"", NO_LIMIT), syn_segment(key), now)
    (action,) = agent.handle_target_packet(rst_segment(key), now)
    assert action.peer == FIRST
    assert action.message.reason == RejectReason.BOUNCED
    assert agent.count_load(now) == 0
