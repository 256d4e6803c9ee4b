"""Late copies, of the caller or the target, do nothing to a flow that has opened."""

import pytest
from msgspec.structs import replace

from ibisshunt.coordination.forwarding.holding.held import MAX_OFFERED
from ibisshunt.coordination.forwarding.messages import (
    Answer,
    Ask,
    Deliver,
    Reason,
    Returned,
    ToTarget,
)
from ibisshunt.coordination.forwarding.routes import make_tag
from ibisshunt.coordination.forwarding.segment import Segment
from tests.forwarding_world import (
    SERVICE,
    World,
    data_segment,
    make_key,
    open_segment,
)

FIRST, SECOND = "10.0.1.0", "10.0.1.1"


def hand(world, address, segment):
    """Let a balancer send a packet straight to one agent."""
    message = Deliver(make_tag(SERVICE), segment.raw)
    return world.agents[address].take(FIRST, message, segment, world.now)


def answer(world, address, first):
    """Let a target answer an opening packet with numbers from ``first`` on."""
    answered = Segment(
        make_key(), b"synack", b"", first, 1, opens=True, acknowledges=True
    )
    world.agents[address].take_outward(answered, world.now)


def test_an_agent_keeps_a_flow_whose_opening_packet_comes_once_more():
    # Guards against the reset of an open flow: the target answered a late copy with
    # other numbers, and its agent sent the packets of the open flow back.
    world = World(targets=1)
    address = "10.0.2.0"
    assert isinstance(hand(world, address, open_segment(make_key())), ToTarget)
    answer(world, address, 5000)
    assert isinstance(hand(world, address, data_segment(make_key(), 5001)), ToTarget)
    assert hand(world, address, open_segment(make_key())) is None
    later = data_segment(make_key(), 5001, sequence=1100)
    assert isinstance(hand(world, address, later), ToTarget)


def test_an_agent_that_restarted_keeps_a_flow_whose_target_repeats_old_packets():
    # Guards against the reset of an open flow at a planned restart of its agent: the
    # caller has acknowledged more than the packet that the target sends once more.
    world = World(targets=1)
    address, key = "10.0.2.0", make_key()
    agent = world.agents[address] = world.make_agent()
    repeated = Segment(key, b"data", b"x" * 1200, 9000, 1100, acknowledges=True)
    agent.take_outward(repeated, world.now)
    acknowledged = data_segment(key, 9000 + 4000, sequence=1100)
    assert isinstance(hand(world, address, acknowledged), ToTarget)
    assert agent.tell(Ask(key, 9000 + 4000), world.now).answer == Answer.HELD
    foreign = data_segment(key, 9000 + 3_000_000_000, sequence=1100)
    assert not isinstance(hand(world, address, foreign), ToTarget)


@pytest.mark.parametrize("is_seen_late", [False, True])
def test_a_flow_outlives_the_answer_to_a_copy_that_crossed_its_handshake(is_seen_late):
    # Guards against the reset of an open flow: a copy of its opening reached the target
    # just before the caller's packet, and was answered with other numbers.
    world = World(targets=1)
    address, key = "10.0.2.0", make_key()
    hand(world, address, open_segment(key))
    answer(world, address, 5000)
    assert isinstance(hand(world, address, open_segment(key)), ToTarget)
    if not is_seen_late:
        answer(world, address, 77_000_000)
    assert isinstance(hand(world, address, data_segment(key, 5001)), ToTarget)
    if is_seen_late:
        answer(world, address, 77_000_000)
    later = data_segment(key, 5001, sequence=1100)
    assert isinstance(hand(world, address, later), ToTarget)
    assert world.agents[address].tell(Ask(key, 5001), world.now).answer == Answer.HELD
    other = Ask(key, 77_000_001)
    assert world.agents[address].tell(other, world.now).answer == Answer.NOT_HELD


def test_a_caller_may_take_the_answer_to_any_copy():
    # Guards against a flow whose caller never got the first answer.
    for taken in (5001, 77_000_001):
        world = World(targets=1)
        address, key = "10.0.2.0", make_key()
        for first in (5000, 77_000_000):
            hand(world, address, open_segment(key))
            answer(world, address, first)
        assert isinstance(hand(world, address, data_segment(key, taken)), ToTarget)


def test_answers_that_no_caller_takes_do_not_pile_up():
    world = World(targets=1)
    for copy in range(3 * MAX_OFFERED):
        hand(world, "10.0.2.0", open_segment(make_key()))
        answer(world, "10.0.2.0", 5000 * (copy + 1))
    flow = world.agents["10.0.2.0"].flows[make_key()]
    assert len(flow.offered) == MAX_OFFERED
    last = data_segment(make_key(), 5000 * 3 * MAX_OFFERED + 1)
    assert isinstance(hand(world, "10.0.2.0", last), ToTarget)


def test_a_copy_is_handed_over_while_the_caller_has_not_answered():
    # Guards against a caller whose target's answer was lost.
    world = World(targets=1)
    hand(world, "10.0.2.0", open_segment(make_key()))
    answer(world, "10.0.2.0", 5000)
    assert isinstance(hand(world, "10.0.2.0", open_segment(make_key())), ToTarget)


def test_a_new_flow_of_the_same_port_opens():
    world = World(targets=1)
    hand(world, "10.0.2.0", open_segment(make_key()))
    answer(world, "10.0.2.0", 5000)
    hand(world, "10.0.2.0", data_segment(make_key(), 5001))
    other = open_segment(make_key(), 77_000_000)
    assert isinstance(hand(world, "10.0.2.0", other), ToTarget)
    world = World(targets=1)
    address, number = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), number))
    assert world.open(FIRST, sequence=77_000_000)[0] == address


def test_an_opening_packet_that_waits_is_forgotten_once_its_flow_is_open():
    # Guards against a second target for an open flow: one balancer kept the opening
    # packet, a copy opened the flow through another one, and then a slot came free.
    world = World(targets=2)
    for address in world.agents:
        world.load(address, 9)
    world.tell_all()
    world.send(FIRST, open_segment(make_key()))
    assert len(world.balancers[FIRST].state.openings) == 1
    for address, agent in world.agents.items():
        agent.requests.clear()
        world.balancers[SECOND].learn(address, agent.report(world.now), world.now)
    world.send(SECOND, open_segment(make_key()))
    ((holder, answered),) = world.to_callers
    world.send(FIRST, data_segment(make_key(), answered.sequence + 1))
    assert not world.balancers[FIRST].state.openings
    world.wait(1.0)
    assert world.balancers[FIRST].flows[make_key()].address == holder
    other = next(found for found in world.targets if found != holder)
    assert make_key() not in world.targets[other].flows


def test_a_balancer_places_no_late_copy_of_an_open_flow():
    world = World(targets=2)
    holder, number = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), number))
    before = len(world.to_callers)
    world.send(FIRST, open_segment(make_key()))
    world.send(SECOND, data_segment(make_key(), number, sequence=1100))
    world.send(SECOND, open_segment(make_key()))
    assert len(world.to_callers) == before
    other = next(found for found in world.targets if found != holder)
    assert make_key() not in world.targets[other].flows
    assert not world.resets


def test_a_flow_stays_where_its_newer_copy_went_when_an_older_one_comes_back():
    # Guards against a second target for an opening flow: the first copy found its
    # target full, the second one was taken, and the first came back after that.
    world = World(targets=2)
    balancer = world.balancers[FIRST]
    first, second = (
        open_segment(make_key()),
        replace(open_segment(make_key()), waited=0.2),
    )
    (sent,) = balancer.take(first, world.now)
    (again,) = balancer.take(second, world.now)
    assert again.peer == sent.peer
    back = Returned(Reason.FULL, b"", 3)
    assert balancer.take_returned(sent.peer, back, first, world.now) == []
    assert balancer.flows[make_key()].address == sent.peer
    # The newest copy's return says that its target does not take the flow.
    (other,) = balancer.take_returned(sent.peer, back, second, world.now)
    assert other.peer != sent.peer


def test_an_opening_packet_that_comes_back_after_its_flow_is_open_is_left_out():
    # Guards against a second target for an open flow.
    world = World(targets=2)
    address, number = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), number))
    balancer = world.balancers[FIRST]
    back = Returned(Reason.FULL, b"", 3)
    assert (
        balancer.take_returned(address, back, open_segment(make_key()), world.now) == []
    )
    assert balancer.flows[make_key()].address == address
    assert not balancer.state.openings


def answer_late_copy(world, address):
    """Let a copy of the opening come after the caller's packet."""
    again = hand(world, address, open_segment(make_key()))
    if isinstance(again, ToTarget):
        answer(world, address, 77_000_000)


def answer_crossing_copy(world, address):
    """Let the target answer a copy that it got before the caller's packet."""
    answer(world, address, 77_000_000)


def restart_beside_repeating_target(world, address):
    """Restart the agent; its target sends the oldest packet of its answer again."""
    flow = world.agents[address].flows[make_key()]
    world.agents[address] = world.make_agent()
    world.beat(address, number=9, name="i-100000000")
    oldest = Segment(make_key(), b"data", b"x", flow.first, 1100, acknowledges=True)
    world.agents[address].take_outward(oldest, world.now)


@pytest.mark.parametrize(
    "disturb",
    [answer_late_copy, answer_crossing_copy, restart_beside_repeating_target],
)
def test_an_open_flow_is_there_when_its_caller_comes_back_after_nine_seconds(disturb):
    # Guards against the reset of an open flow at its first use after a long pause: what
    # its agent took for its numbers was wrong since before the pause.
    world = World(targets=2)
    address, number = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), number))
    answered = Segment(
        make_key(), b"data", bytes(4000), number, 1017, acknowledges=True
    )
    world.agents[address].take_outward(answered, world.now)
    disturb(world, address)
    world.wait(9.0)
    world.send(FIRST, data_segment(make_key(), number + 4000, 1017))
    world.wait(0.5)
    assert not world.resets
    assert len(world.targets[address].taken) == 2
