"""One agent gathers what many answer: a thin host gets one message a question."""

import pytest
from hypothesis import given, strategies as st

from ibisshunt.coordination.forwarding.addresses import (
    pack_addresses,
    unpack_addresses,
)
from ibisshunt.coordination.forwarding.messages import (
    Answer,
    Gathered,
    Relay,
    TargetState,
    Told,
)
from ibisshunt.coordination.forwarding.searching.gathering import (
    GATHER_SECONDS,
    LATE_SECONDS,
    NO_ROUND,
    Gatherings,
)
from ibisshunt.coordination.forwarding.searching.search import Search
from ibisshunt.coordination.forwarding.searching.searches import PROBE_SECONDS
from tests.forwarding_world import World, data_segment, make_key

KEY = make_key()
BALANCER = "10.0.1.1"
AGENTS = tuple(f"10.0.2.{number}" for number in range(1, 7))
ANSWERS = [answer for answer in Answer if answer != Answer.SILENT]


def begin(asked=AGENTS, number=1):
    gatherings = Gatherings()
    gatherings.begin(BALANCER, number, KEY, asked, 0.0)
    return gatherings


def read(sent, asked=AGENTS, number=1):
    """Return the answers that a balancer has after these messages."""
    search = Search(data_segment(KEY, 1), dict.fromkeys(asked, 0), 0.0)
    search.relayed[number] = tuple(asked)
    for action in sent:
        assert action.peer == BALANCER
        search.take_gathered(action.message)
    return search.answers


def test_all_answers_bring_one_message():
    gatherings = begin()
    sent = []
    for address in AGENTS:
        sent += gatherings.take(address, Told(KEY, Answer.NOT_HELD), 0.001)
    assert len(sent) == 1
    assert sent[0].message.told == ()
    assert read(sent) == dict.fromkeys(AGENTS, Answer.NOT_HELD)
    assert not gatherings


def test_the_holder_is_told_at_once():
    # A caller waits for the flow to go on; the other agents need not have answered.
    sent = begin().take(AGENTS[3], Told(KEY, Answer.HELD), 0.001)
    assert read(sent) == {AGENTS[3]: Answer.HELD}


def test_silent_agents_hold_the_answers_of_the_others_up_for_a_moment_only():
    # One agent is restarting. The balancer learns what the others said, and that this
    # one has said nothing; its answer, which comes late, is sent on.
    gatherings = begin()
    for address in AGENTS[1:]:
        assert not gatherings.take(address, Told(KEY, Answer.NOT_HELD), 0.001)
    assert not gatherings.sweep(GATHER_SECONDS / 2)
    sent = gatherings.sweep(GATHER_SECONDS)
    assert read(sent) == dict.fromkeys(AGENTS[1:], Answer.NOT_HELD)
    late = gatherings.take(AGENTS[0], Told(KEY, Answer.HELD), 0.5)
    assert [action.message.number for action in late] == [NO_ROUND]
    assert read(sent + late)[AGENTS[0]] == Answer.HELD


def test_an_answer_of_an_agent_that_was_not_asked_counts_for_nothing():
    gatherings = begin(AGENTS[:2])
    assert not gatherings.take(AGENTS[5], Told(KEY, Answer.HELD), 0.001)


def test_a_gathering_ends_though_agents_stay_silent():
    gatherings = begin()
    gatherings.sweep(GATHER_SECONDS)
    gatherings.sweep(LATE_SECONDS)
    assert not gatherings


def test_a_question_to_nobody_is_not_waited_for():
    # A list of addresses that was cut off on its way; the task must go on.
    gatherings = begin(unpack_addresses(b"\x0a"))
    assert not gatherings
    assert not gatherings.sweep(GATHER_SECONDS)


def test_two_balancers_that_ask_about_one_flow_both_hear():
    gatherings = begin()
    gatherings.begin("10.0.1.2", 9, KEY, AGENTS[:1], 0.0)
    sent = gatherings.take(AGENTS[0], Told(KEY, Answer.HELD), 0.001)
    assert {action.peer for action in sent} == {BALANCER, "10.0.1.2"}


EVENTS = st.lists(
    st.tuples(st.sampled_from(AGENTS), st.sampled_from(ANSWERS), st.booleans()),
    max_size=20,
)


@given(EVENTS)
def test_whatever_the_order_the_balancer_ends_with_what_was_said(events):
    # Answers come in any order, some never, some twice; time goes by in between. In
    # the end the balancer knows what each agent said, and nothing of the others.
    gatherings, now, sent, said = begin(), 0.0, [], {}
    for address, answer, waits in events:
        if address in said:
            continue
        said[address] = answer
        now += GATHER_SECONDS if waits else 0.0001
        sent += gatherings.take(address, Told(KEY, answer), min(now, 0.9))
        sent += gatherings.sweep(min(now, 0.9))
    sent += gatherings.sweep(max(now, GATHER_SECONDS))
    assert read(sent) == said


@given(st.lists(st.ip_addresses(v=4).map(str), max_size=70))
def test_addresses_come_back_as_they_were(addresses):
    packed = pack_addresses(addresses)
    assert len(packed) == 4 * len(addresses)
    assert unpack_addresses(packed) == tuple(addresses)
    assert unpack_addresses(packed + b"\x0a\x00") == tuple(addresses)


def test_an_agent_that_was_not_asked_in_a_round_has_not_refused():
    # An agent becomes known while the others are asked. Their answers come back as
    # "all refused": taken for this agent too, its open flow would be reset.
    search = Search(data_segment(KEY, 1), dict.fromkeys(AGENTS[:2], 0), 0.0)
    search.relayed[1] = AGENTS[:2]
    search.add(AGENTS[2], "booking")
    search.take_gathered(Gathered(KEY, 1, Answer.NOT_HELD))
    assert search.silent() == [AGENTS[2]]


def test_a_refusal_is_final():
    # A target sends a probe back, and its agent's answer to the question before, that
    # it may hold the flow, comes later. Believed, it would be taken for the holder.
    search = Search(data_segment(KEY, 1), dict.fromkeys(AGENTS, 0), 0.0)
    for answer in (Answer.NOT_HELD, Answer.MAYBE):
        search.take_gathered(
            Gathered(KEY, 0, Answer.SILENT, ((answer, pack_addresses(AGENTS[:1])),))
        )
    assert search.answers == {AGENTS[0]: Answer.NOT_HELD}
    assert not search.has_maybe()


def test_a_probed_flow_is_looked_at_when_the_probe_is_over():
    # One target keeps the packet that it was probed with. It is known as the holder
    # when the others have had their time, and not at the next look some time later.
    search = Search(data_segment(KEY, 1), dict.fromkeys(AGENTS, 0), 0.0)
    for address in AGENTS:
        search.note(address, Answer.MAYBE)
    assert search.start_probe(0.0, PROBE_SECONDS)
    search.plan(0.001, PROBE_SECONDS)
    assert search.due_at == PROBE_SECONDS


@pytest.mark.parametrize("state", [TargetState.GONE, TargetState.PAUSED])
def test_no_question_is_given_to_an_agent_that_is_about_to_stop(state):
    # Hosts are replaced one after the other. A question that is given to an agent as
    # it stops is lost, and its caller waits for the next round.
    world = World(targets=2, balancers=1)
    leaving, staying = world.agents
    if state == TargetState.GONE:
        world.agents[leaving].leave(f"i-{world.targets[leaving].first}")
    else:
        world.agents[leaving].pause(world.now)
    world.tell_all()
    for port in range(41_000, 41_020):
        world.send("10.0.1.0", data_segment(make_key(port), 77))
    relays = {sent.peer for sent in world.sent if isinstance(sent.message, Relay)}
    assert relays == {staying}


def test_a_search_brings_a_thin_host_one_answer():
    # After an outage hundreds of callers go on with flows that ended. Answers of each
    # of eighty agents to each question filled an entry host's link for ten seconds.
    world = World(targets=40)
    world.send("10.0.1.0", data_segment(make_key(), 77))
    assert [reset.reason for reset in world.resets] == ["held_by_nobody"]
    told = [action for action in world.told if action.peer in world.balancers]
    assert len(told) == 1
