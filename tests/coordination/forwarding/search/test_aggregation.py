"""One agent aggregates the answers of many: a thin host gets one message per query."""

import pytest
from hypothesis import given, strategies as st

from ibisshunt.coordination.forwarding.addresses import (
    pack_addresses,
    unpack_addresses,
)
from ibisshunt.coordination.forwarding.messages import (
    AggregatedAnswers,
    Answer,
    FlowAnswer,
    RelayRequest,
    TargetState,
)
from ibisshunt.coordination.forwarding.search.aggregation import (
    AGGREGATION_SECONDS,
    LATE_ANSWER_SECONDS,
    NO_ROUND,
    AnswerAggregator,
)
from ibisshunt.coordination.forwarding.search.manager import PROBE_TIMEOUT_SECONDS
from ibisshunt.coordination.forwarding.search.search import FlowSearch
from tests.forwarding_world import World, data_segment, make_key

KEY = make_key()
BALANCER = "10.0.1.1"
AGENTS = tuple(f"10.0.2.{number}" for number in range(1, 7))
ANSWERS = [answer for answer in Answer if answer != Answer.SILENT]


def start_aggregation(queried=AGENTS, round_id=1):
    aggregator = AnswerAggregator()
    aggregator.start(BALANCER, round_id, KEY, queried, 0.0)
    return aggregator


def collect_answers(sent, queried=AGENTS, round_id=1):
    """Return the answers that a balancer has recorded after these messages."""
    search = FlowSearch(data_segment(KEY, 1), dict.fromkeys(queried, 0), 0.0)
    search.unanswered_rounds[round_id] = tuple(queried)
    for action in sent:
        assert action.peer == BALANCER
        search.record_aggregated(action.message)
    return search.answers


def test_all_answers_are_sent_in_one_message():
    aggregator = start_aggregation()
    sent = []
    for address in AGENTS:
        sent += aggregator.add_answer(address, FlowAnswer(KEY, Answer.NOT_HELD), 0.001)
    assert len(sent) == 1
    assert sent[0].message.overrides == ()
    assert collect_answers(sent) == dict.fromkeys(AGENTS, Answer.NOT_HELD)
    assert not aggregator


def test_the_holders_answer_is_sent_at_once():
    # The caller is waiting, so the holder's answer must not wait for other agents.
    sent = start_aggregation().add_answer(
        AGENTS[3], FlowAnswer(KEY, Answer.HELD), 0.001
    )
    assert collect_answers(sent) == {AGENTS[3]: Answer.HELD}


def test_silent_agents_delay_the_answers_of_others_only_briefly():
    # One agent is restarting. The balancer gets the answers of the others, and SILENT
    # for this one; its late answer is forwarded.
    aggregator = start_aggregation()
    for address in AGENTS[1:]:
        assert not aggregator.add_answer(
            address, FlowAnswer(KEY, Answer.NOT_HELD), 0.001
        )
    assert not aggregator.flush_due(AGGREGATION_SECONDS / 2)
    sent = aggregator.flush_due(AGGREGATION_SECONDS)
    assert collect_answers(sent) == dict.fromkeys(AGENTS[1:], Answer.NOT_HELD)
    late = aggregator.add_answer(AGENTS[0], FlowAnswer(KEY, Answer.HELD), 0.5)
    assert [action.message.round_id for action in late] == [NO_ROUND]
    assert collect_answers(sent + late)[AGENTS[0]] == Answer.HELD


def test_the_answer_of_an_agent_that_was_not_queried_is_ignored():
    aggregator = start_aggregation(AGENTS[:2])
    assert not aggregator.add_answer(AGENTS[5], FlowAnswer(KEY, Answer.HELD), 0.001)


def test_an_aggregation_ends_if_agents_stay_silent():
    aggregator = start_aggregation()
    aggregator.flush_due(AGGREGATION_SECONDS)
    aggregator.flush_due(LATE_ANSWER_SECONDS)
    assert not aggregator


def test_a_query_without_receivers_is_not_kept():
    # Guards against a task that stops at an address list truncated on its way.
    aggregator = start_aggregation(unpack_addresses(b"\x0a"))
    assert not aggregator
    assert not aggregator.flush_due(AGGREGATION_SECONDS)


def test_two_balancers_that_query_one_flow_both_get_answers():
    aggregator = start_aggregation()
    aggregator.start("10.0.1.2", 9, KEY, AGENTS[:1], 0.0)
    sent = aggregator.add_answer(AGENTS[0], FlowAnswer(KEY, Answer.HELD), 0.001)
    assert {action.peer for action in sent} == {BALANCER, "10.0.1.2"}


EVENTS = st.lists(
    st.tuples(st.sampled_from(AGENTS), st.sampled_from(ANSWERS), st.booleans()),
    max_size=20,
)


@given(EVENTS)
def test_the_balancer_gets_all_answers_in_any_order(events):
    # Answers arrive in any order, late, or never. In the end the balancer has what each
    # agent answered, and nothing for the others.
    aggregator, now, sent, answered = start_aggregation(), 0.0, [], {}
    for address, answer, is_late in events:
        if address in answered:
            continue
        answered[address] = answer
        now += AGGREGATION_SECONDS if is_late else 0.0001
        sent += aggregator.add_answer(address, FlowAnswer(KEY, answer), min(now, 0.9))
        sent += aggregator.flush_due(min(now, 0.9))
    sent += aggregator.flush_due(max(now, AGGREGATION_SECONDS))
    assert collect_answers(sent) == answered


@given(st.lists(st.ip_addresses(v=4).map(str), max_size=70))
def test_addresses_round_trip(addresses):
    packed = pack_addresses(addresses)
    assert len(packed) == 4 * len(addresses)
    assert unpack_addresses(packed) == tuple(addresses)
    assert unpack_addresses(packed + b"\x0a\x00") == tuple(addresses)


def test_the_default_answer_of_a_round_applies_only_to_its_agents():
    # Guards against the reset of an open flow: an agent becomes known while others are
    # queried, and their default answer "not held" is applied to it too.
    search = FlowSearch(data_segment(KEY, 1), dict.fromkeys(AGENTS[:2], 0), 0.0)
    search.unanswered_rounds[1] = AGENTS[:2]
    search.add_agent(AGENTS[2], "booking")
    search.record_aggregated(AggregatedAnswers(KEY, 1, Answer.NOT_HELD))
    assert search.list_unanswered() == [AGENTS[2]]


def test_a_not_held_answer_is_final():
    # Guards against a wrong holder: a target bounces a probe, and its agent's earlier
    # answer MAYBE arrives after that.
    search = FlowSearch(data_segment(KEY, 1), dict.fromkeys(AGENTS, 0), 0.0)
    for answer in (Answer.NOT_HELD, Answer.MAYBE):
        search.record_aggregated(
            AggregatedAnswers(
                KEY, 0, Answer.SILENT, ((answer, pack_addresses(AGENTS[:1])),)
            )
        )
    assert search.answers == {AGENTS[0]: Answer.NOT_HELD}
    assert not search.has_undecided()


def test_a_search_is_checked_when_its_probe_times_out():
    # One target does not bounce its probe. It must be found as the holder when the
    # probe times out, not at the next regular check.
    search = FlowSearch(data_segment(KEY, 1), dict.fromkeys(AGENTS, 0), 0.0)
    for address in AGENTS:
        search.record_answer(address, Answer.MAYBE)
    assert search.next_probe_batch(0.0, PROBE_TIMEOUT_SECONDS)
    search.schedule_check(0.001, PROBE_TIMEOUT_SECONDS)
    assert search.next_check_at == PROBE_TIMEOUT_SECONDS


@pytest.mark.parametrize("state", [TargetState.GONE, TargetState.PAUSED])
def test_no_query_is_relayed_through_a_stopping_agent(state):
    # Guards against queries lost at an agent that is stopping, as when hosts are
    # replaced one by one: the caller would wait for the next round.
    world = World(targets=2, balancers=1)
    leaving, staying = world.agents
    if state == TargetState.GONE:
        world.agents[leaving].handle_leave(f"i-{world.targets[leaving].first_sequence}")
    else:
        world.agents[leaving].pause(world.now)
    world.send_statuses()
    for port in range(41_000, 41_020):
        world.send("10.0.1.0", data_segment(make_key(port), 77))
    relays = {
        sent.peer for sent in world.sent if isinstance(sent.message, RelayRequest)
    }
    assert relays == {staying}


def test_a_search_sends_a_thin_host_one_answer():
    # Guards against answers that saturate an entry host's link: after an outage
    # hundreds of callers use flows that ended, and eighty agents answering each query
    # filled the link for ten seconds.
    world = World(targets=40)
    world.send("10.0.1.0", data_segment(make_key(), 77))
    assert [reset.reason for reset in world.resets] == ["held_by_nobody"]
    replies = [
        action for action in world.answer_messages if action.peer in world.balancers
    ]
    assert len(replies) == 1
