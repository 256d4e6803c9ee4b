"""Resets of targets that may not hold the flow that their caller has open."""

import pytest

from ibisshunt.coordination.forwarding.messages import (
    NO_LIMIT,
    Answer,
    Deliver,
    Probe,
    Reason,
    Send,
    ToCaller,
    Told,
)
from ibisshunt.coordination.forwarding.routes import make_tag
from ibisshunt.coordination.forwarding.segment import Segment
from tests.forwarding_world import (
    SERVICE,
    World,
    data_segment,
    make_key,
    open_segment,
    reset_segment,
)

FIRST, SECOND = "10.0.1.0", "10.0.1.1"
TAG = make_tag(SERVICE)


def make_young_agent(world):
    """Return an agent that started after its target and has not heard it yet."""
    agent = world.make_agent()
    assert not agent.held.knows_all(world.now)
    return agent


def restart_agent(world, address):
    """Let an agent start again beside its target, which resets strays from now on."""
    world.agents[address] = world.make_agent()
    world.beat(address, number=9, name="i-again")
    world.targets[address].resets_strays = True
    world.tell_all()


def acknowledge(key, sequence):
    """Return a packet of the target that acknowledges and carries nothing."""
    return Segment(key, b"ack", b"", sequence, 2000, acknowledges=True)


def list_to_callers(actions):
    return [action for action in actions if isinstance(action, ToCaller)]


def test_a_probed_target_that_resets_breaks_no_flow_of_another():
    # A balancer restarts and lets all agents probe for a flow. A host that was added
    # just now has an agent that knows nothing yet, and its target answers strays with
    # a reset. Handed on, that reset ended the caller's flow, which is open elsewhere.
    world = World(targets=4)
    address, number = world.open(FIRST)
    world.restart_agents()
    for other in world.targets:
        world.targets[other].resets_strays = other != address
    world.targets[address].answers = True
    world.balancers[SECOND] = world.make_balancer()
    world.tell_all()
    world.send(SECOND, data_segment(make_key(), number))
    world.wait(0.3)
    assert world.targets[address].taken
    assert not any(packet.resets for _, packet in world.to_callers)
    assert not world.resets


def test_a_reset_behind_a_stale_word_reaches_the_caller_from_the_balancer_alone():
    # A balancer believes another one's stale word of where a flow is. The target there
    # held an older flow of the same caller and port and resets the packet; its agent
    # restarted since. The flow goes on at the target that holds it.
    world = World(targets=3)
    address, number = world.open(FIRST)
    other = next(found for found in world.targets if found != address)
    restart_agent(world, other)
    second = world.balancers[SECOND]
    second.state.note_flow(make_key(), second.targets[other], world.now)
    world.send(SECOND, data_segment(make_key(), number))
    world.wait(0.3)
    assert world.targets[other].strays
    assert world.targets[address].taken
    assert not any(packet.resets for _, packet in world.to_callers)
    assert not world.resets


def test_a_flow_that_its_own_target_has_ended_is_reset_after_all_were_asked():
    # The flow has ended at its target, which says so by a reset; its agent restarted
    # and cannot tell that the flow was there. The caller is told, once nobody else
    # turns out to hold it.
    world = World(targets=3)
    address, number = world.open(FIRST)
    world.targets[address].flows.clear()
    restart_agent(world, address)
    world.send(FIRST, data_segment(make_key(), number))
    world.wait(0.3)
    assert [reset.reason for reset in world.resets] == ["held_by_nobody"]


def test_a_reset_of_the_present_flow_is_handed_on_at_once():
    # A target fails and resets the flows that it holds. Their callers must hear at
    # once, without a question to all others.
    world = World(targets=1)
    address, number = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), number))
    agent = world.agents[address]
    actions = agent.take_outward(reset_segment(make_key(), number), world.now)
    assert list_to_callers(actions)


def test_a_reset_is_handed_on_once_a_young_agent_has_seen_both_ends():
    # The agent restarted; since then it has seen the target send, and the caller
    # acknowledge it. That is proof that both mean the same flow.
    world = World(targets=1)
    agent = make_young_agent(world)
    key, now = make_key(), world.now
    agent.take(FIRST, Deliver(TAG, b""), data_segment(key, 5000), now)
    assert list_to_callers(agent.take_outward(acknowledge(key, 5000), now))
    assert list_to_callers(agent.take_outward(reset_segment(key, 5000), now))


@pytest.mark.parametrize("number", [5000 - (1 << 21), 5000 + (1 << 21), 1 << 31])
def test_what_a_target_sends_in_an_older_flow_is_no_proof(number):
    # A caller uses its port again. The target of its former flow acknowledges the end
    # that it was probed with: believed, the present flow's packets would go there.
    world = World(targets=1)
    agent = make_young_agent(world)
    key, now = make_key(), world.now
    agent.take_probe(FIRST, Probe(TAG, b""), data_segment(key, 5000), now)
    (action,) = agent.take_outward(acknowledge(key, number % (1 << 32)), now)
    assert action == Send(FIRST, Told(key, Answer.NOT_HELD))
    sent_back = agent.take(FIRST, Deliver(TAG, b""), data_segment(key, 5000), now)
    assert sent_back.message.reason == Reason.NOT_HELD


def test_a_reset_that_answers_an_opening_packet_lets_another_target_have_it():
    # The caller uses its port again, and the target still knows the end of its former
    # flow. The new flow is offered elsewhere; the caller sees no reset.
    world = World(targets=1)
    (agent,) = world.agents.values()
    key, now = make_key(), world.now
    agent.take(FIRST, Deliver(TAG, b"", NO_LIMIT), open_segment(key), now)
    (action,) = agent.take_outward(reset_segment(key), now)
    assert action.peer == FIRST
    assert action.message.reason == Reason.BOUNCED
    assert agent.count_load(now) == 0
