"""A target that starts again under the name that it had."""

from hypothesis import given, strategies as st
from msgspec.structs import replace

from ibisshunt.coordination.forwarding.holding.incarnations import (
    Announcement,
    Incarnations,
    Word,
)
from ibisshunt.coordination.forwarding.messages import Answer, Ask, TargetState
from tests.forwarding_world import (
    HEARTBEAT,
    SERVICE,
    World,
    data_segment,
    make_key,
    open_segment,
)

FIRST, SECOND = "10.0.1.0", "10.0.1.1"
NAME = "i-7"
BORN = 1_700_000_000_000


def say(world, address, number, born=BORN, **changes):
    """Let a target send a heartbeat; return what its agent took it for."""
    found = Announcement(NAME, SERVICE, 1, False, 0, number, born)
    return world.agents[address].announce(replace(found, **changes), world.now)


def make_world():
    """Return a world with one target that has told when it started."""
    world = World(targets=1)
    (address,) = world.agents
    world.wait(0.5)
    say(world, address, number=40)
    world.tell_all()
    return world, address


def start_again(world, address):
    """Let the target start anew: it knows nothing of its former flows."""
    world.wait(0.5)
    world.targets[address].flows.clear()


def test_a_reborn_target_is_heard_though_its_count_starts_anew():
    # A target crashes and starts again under its name; its count begins at 1. Taken
    # for late words, its heartbeats would be ignored until the count has passed the
    # former one, and the target would get no flow for minutes.
    world, address = make_world()
    start_again(world, address)
    assert say(world, address, number=1, born=BORN + 5000) == Word.SUCCESSOR
    agent = world.agents[address]
    assert agent.state == TargetState.OPEN
    assert agent.present.number == 1


def test_a_reborn_target_ends_the_flows_that_it_had():
    # A caller holds a flow at a target that starts again under its name. The flow is
    # over: its agent must not say that the target holds it, and the caller's next
    # packet is answered by a reset at once instead of silence until its deadline.
    world, address = make_world()
    _, number = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), number))
    world.wait(2 * HEARTBEAT)
    say(world, address, number=41)
    start_again(world, address)
    say(world, address, number=1, born=BORN + 5000)
    world.tell_all()
    question = Ask(make_key(), number)
    assert world.agents[address].tell(question, world.now).answer == Answer.NOT_HELD
    world.send(FIRST, data_segment(make_key(), number, 1017))
    assert [reset.reason for reset in world.resets] == ["held_by_nobody"]


def test_a_reborn_target_keeps_the_flow_it_took_before_its_first_heartbeat():
    # A target starts again and takes a flow before its agent has its first heartbeat.
    # The flow must not end with those of the former incarnation: a reset would break
    # it, so the target itself is asked.
    world, address = make_world()
    start_again(world, address)
    _, number = world.open(FIRST)
    say(world, address, number=1, born=BORN + 5000)
    world.tell_all()
    for balancer in (FIRST, SECOND):
        world.send(balancer, data_segment(make_key(), number))
    assert len(world.targets[address].taken) == 2
    assert not world.resets


def test_a_heartbeat_that_comes_late_takes_no_flow_from_the_target_that_follows():
    # Guards against the reset of an open flow: its target took it before its first
    # heartbeat, and one that its predecessor had sent came in between.
    world, address = make_world()
    start_again(world, address)
    _, number = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), number))
    world.now += 0.01
    assert say(world, address, number=41) == Word.NEXT
    world.now += 0.01
    assert say(world, address, number=1, born=BORN + 5000) == Word.SUCCESSOR
    world.tell_all()
    world.wait(0.5)
    assert not world.resets
    world.send(FIRST, data_segment(make_key(), number, 1017))
    assert len(world.targets[address].taken) == 2
    assert not world.resets


def test_a_reborn_target_is_not_judged_by_what_its_predecessor_did():
    # The former incarnation failed every request and was left out for it. The new one
    # starts without that: it would else get no flow, and so no chance to do better.
    world, address = make_world()
    agent = world.agents[address]
    for port in range(1, 12):
        agent.requests.note_inward(data_segment(make_key(port), 1), world.now)
        failed = data_segment(make_key(port), 1, 5, b"HTTP/1.1 500 No\r\n\r\n")
        agent.take_outward(failed, world.now + 0.2)
    assert agent.report(world.now).failing > 30
    assert agent.report(world.now).service_us > 0
    say(world, address, number=1, born=BORN + 5000)
    assert agent.report(world.now).failing == 0
    assert agent.report(world.now).service_us == 0


def test_words_of_an_earlier_start_change_nothing():
    # A heartbeat and the last word of the former incarnation arrive after the new one
    # has spoken. They must neither take the new one away nor change its state.
    world, address = make_world()
    start_again(world, address)
    say(world, address, number=1, born=BORN + 5000)
    world.open(FIRST)
    agent = world.agents[address]
    assert say(world, address, number=90, draining=True) == Word.LATE
    assert not agent.leave(NAME, BORN)
    assert agent.state == TargetState.OPEN
    assert agent.flows


def test_a_name_that_has_left_may_come_back_with_a_later_start():
    # A target said its last word and starts again under its name. A late heartbeat of
    # the one that left must not bring it back; the new one must be used.
    world, address = make_world()
    agent = world.agents[address]
    assert agent.leave(NAME, BORN)
    assert say(world, address, number=41) == Word.LATE
    assert agent.state == TargetState.GONE
    assert say(world, address, number=1, born=BORN + 1) == Word.SUCCESSOR
    assert agent.state == TargetState.OPEN


def test_a_last_word_without_a_start_ends_the_present_one_alone():
    world, address = make_world()
    agent = world.agents[address]
    assert agent.leave(NAME)
    assert say(world, address, number=41) == Word.LATE
    assert say(world, address, number=1, born=BORN + 1) == Word.SUCCESSOR


def test_a_heartbeat_that_lacks_what_the_target_always_says_is_not_its_own():
    # Another writer's heartbeat names no start, where the target has always told one:
    # believed, it would drain a target that is open.
    world, address = make_world()
    assert say(world, address, number=41, born=None, draining=True) == Word.UNCLEAR
    assert world.agents[address].state == TargetState.OPEN


def test_a_target_that_begins_to_tell_its_start_is_the_same_one():
    # The first heartbeat that an agent hears lacks the start, the next one has it. No
    # flow ends by that.
    world = World(targets=1)
    (address,) = world.agents
    world.open(FIRST)
    agent = world.agents[address]
    known = agent.present
    again = replace(known, number=known.number + 1, born=BORN)
    assert agent.announce(again, world.now) == Word.NEXT
    assert agent.flows


def test_balancers_hear_that_a_target_has_started_anew():
    # The balancer hears of the new incarnation by the next status, though state and
    # service are the same as before.
    world, address = make_world()
    balancer = world.balancers[FIRST]
    before = balancer.targets[address].status.incarnation
    start_again(world, address)
    world.tell_all()
    say(world, address, number=1, born=BORN + 5000)
    status = world.agents[address].report(world.now)
    assert balancer.learn(address, status, world.now)
    assert balancer.targets[address].status.incarnation != before


def test_an_agent_that_restarts_names_the_same_incarnation():
    # Only the agent restarts: balancers must not take the target for a new one.
    world, address = make_world()
    before = world.agents[address].report(world.now).incarnation
    world.agents[address] = world.make_agent()
    say(world, address, number=41)
    assert world.agents[address].report(world.now).incarnation == before


def test_a_target_that_falls_silent_and_is_reborn_is_open_again():
    world, address = make_world()
    world.agents[address].sweep(world.now + 3 * HEARTBEAT)
    assert world.agents[address].state == TargetState.ABSENT
    world.now += 3 * HEARTBEAT
    say(world, address, number=1, born=BORN + 5000)
    world.tell_all()
    world.send(FIRST, open_segment(make_key()))
    assert len(world.to_callers) == 1


@given(
    st.lists(
        st.tuples(st.sampled_from((1, 2, 3)), st.integers(0, 5), st.booleans()),
        max_size=30,
    )
)
def test_starts_never_go_back(words):
    # Words of three incarnations of one name arrive in any order, some of them last
    # ones: the start that is believed never goes back, nor does one that has ended
    # come back.
    incarnations = Incarnations()
    ended = 0
    for born, number, is_last in words:
        known = incarnations.present
        if is_last:
            incarnations.end(NAME, born)
            ended = max(ended, born)
            continue
        found = Announcement(NAME, SERVICE, 1, False, 0, number, born)
        word = incarnations.classify(found)
        assert (word == Word.LATE) == (
            born <= ended
            or (known is not None and (born, number) < (known.born, known.number))
        )
        if word != Word.LATE:
            incarnations.take(found)


def test_an_agent_is_not_sure_of_flows_that_may_be_the_former_incarnations():
    # A flow opened after the last heartbeat of a target that then started anew: it may
    # be of either incarnation. The agent must not vouch for it, or its caller waits for
    # an answer that never comes.
    world, address = make_world()
    world.now += 0.1
    _, number = world.open(FIRST)
    world.targets[address].flows.clear()
    world.now += 0.1
    say(world, address, number=1, born=BORN + 5000)
    question = Ask(make_key(), number)
    assert world.agents[address].tell(question, world.now).answer == Answer.MAYBE
    world.send(SECOND, data_segment(make_key(), number))
    world.wait(0.3)
    assert [reset.reason for reset in world.resets] == ["held_by_nobody"]


def test_balancers_take_a_target_that_begins_to_tell_its_start_for_the_same():
    # The first heartbeat lacks the start, the next one has it. A balancer that saw
    # another incarnation in that would reset the flows it has noted.
    world = World(targets=1)
    (address,) = world.agents
    agent = world.agents[address]
    before = agent.report(world.now).incarnation
    agent.announce(replace(agent.present, number=2, born=BORN), world.now)
    assert agent.report(world.now).incarnation == before
