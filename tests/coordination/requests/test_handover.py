import pytest
from hypothesis import given, strategies as st

from ibisshunt.coordination.requests.claims import PATIENCE_SECONDS
from ibisshunt.coordination.requests.handover import Holder
from ibisshunt.coordination.requests.holders import Member, find_pair, make_view
from ibisshunt.coordination.requests.ledger import Ledger, merge_records
from ibisshunt.coordination.requests.outcomes import (
    Answer,
    Attempt,
    Claim,
    LedgerRecord,
    PastView,
    RecordState,
    Settle,
    Verdict,
)
from tests.coordination.requests.ledger_cluster import FINGERPRINT, Cluster

MEMBERS = tuple(Member(n, f"t{n}", f"d{n % 3}") for n in range(1, 6))
KEYS = [f"key-{n}".encode() for n in range(300)]
MINE, OTHER = Attempt(1, 1), Attempt(2, 1)
ANSWER = Answer(200, "OK", (), b"whole")


def open_holder(incarnation, members=MEMBERS, revision=1):
    holder = Holder(incarnation, Ledger(600.0))
    view = make_view(revision, members)
    holder.change_view(view, 0.0)
    others = [Holder(m.incarnation, Ledger(600.0)) for m in members]
    for other in others:
        if other.incarnation != incarnation:
            other.change_view(view, 0.0)
            holder.take_copy(other.take_fetch(holder.make_fetch(0.0), 0.0), 0.0)
    assert holder.try_open(founding=True, now=0.0)
    return holder


def claim(holder, key, attempt=MINE, digest=None, now=1.0):
    digest = holder.view.digest if digest is None else digest
    return holder.claim(Claim(key, attempt, FINGERPRINT, digest), now).verdict


def test_holders_of_a_key_are_in_two_failure_domains_and_few_keys_move():
    before, after = make_view(1, MEMBERS), make_view(2, MEMBERS[:-1])
    moved = 0
    for key in KEYS:
        pair, next_pair = find_pair(before, key), find_pair(after, key)
        assert pair.first.failure_domain != pair.second.failure_domain
        held = pair.holds(MEMBERS[-1].incarnation)
        moved += pair != next_pair
        assert held or pair == next_pair
    assert 0 < moved < len(KEYS) * 0.6
    assert find_pair(make_view(1, MEMBERS[:1]), KEYS[0]) is None


def test_who_has_answered_a_newer_view_grants_nothing_under_its_own():
    # A caller's key is granted by an agent with an older configuration after it has
    # sent its records to a newcomer: the newcomer would grant the key once more.
    holder = open_holder(1)
    newer = Holder(9, Ledger(600.0))
    newer.change_view(make_view(2, [*MEMBERS, Member(9, "t9", "d0")]), 0.0)
    assert claim(holder, KEYS[0]) == Verdict.GRANTED
    assert not holder.take_fetch(newer.make_fetch(0.0), 0.0).refused
    assert claim(holder, KEYS[1]) == Verdict.CLOSED
    assert claim(holder, KEYS[0]) == Verdict.CLOSED


def test_an_agent_that_missed_a_view_in_between_closes_and_asks_again():
    # A member leaves and comes back; this agent sees neither. Keys ran meanwhile on
    # other holders, so "never seen" would be a lie.
    holder = open_holder(1)
    between = make_view(2, MEMBERS[:-1])
    other = Holder(2, Ledger(600.0))
    other.change_view(between, 0.0)
    other.change_view(make_view(3, MEMBERS), 0.0)
    holder.take_fetch(other.make_fetch(0.0), 0.0)
    assert claim(holder, KEYS[0]) == Verdict.CLOSED
    assert set(holder.list_sources()) == {2, 3, 4, 5}


def test_a_current_member_cannot_be_done_without():
    holder = Holder(1, Ledger(600.0))
    holder.change_view(make_view(1, MEMBERS), 0.0)
    for member in MEMBERS:
        holder.give_up(member.incarnation)
    assert not holder.try_open(founding=True, now=0.0)
    assert claim(holder, KEYS[0]) == Verdict.CLOSED


def test_two_claims_from_views_that_did_not_meet_are_granted_to_nobody():
    def make(attempt, state=RecordState.CLAIMED):
        return LedgerRecord(b"k", attempt, FINGERPRINT, state, 9.0)

    both = merge_records(make(MINE), make(OTHER))
    assert both.state == RecordState.UNKNOWN
    done = merge_records(both, make(OTHER, RecordState.DONE))
    assert (done.state, done.attempt) == (RecordState.DONE, OTHER)


def test_an_agent_that_restarts_with_all_others_says_unknown_until_retention_ends():
    # All agents restart at once, every ledger is empty. A resend of a key from before
    # must be told "unknown"; a service that never lost an agent answers at once.
    holder = Holder(11, Ledger(600.0))
    pair = [Member(11, "t1", "d1"), Member(12, "t2", "d2")]
    holder.change_view(make_view(5, pair), 0.0)
    other = Holder(12, Ledger(600.0))
    other.change_view(make_view(5, pair), 0.0)
    holder.take_copy(other.take_fetch(holder.make_fetch(0.0), 0.0), 0.0)
    assert holder.try_open(founding=False, now=0.0)
    assert claim(holder, KEYS[0], now=599.0) == Verdict.UNKNOWN
    # A newcomer among them learns that the past is unknown, too.
    other.take_copy(holder.take_fetch(other.make_fetch(1.0), 1.0), 1.0)
    assert other.try_open(founding=False, now=1.0)
    assert claim(other, KEYS[0], now=598.0) == Verdict.UNKNOWN
    assert claim(holder, KEYS[0], now=601.0) == Verdict.GRANTED


@pytest.mark.parametrize("dead", ["first", "second"])
def test_a_resend_after_the_death_of_one_holder_gets_the_same_answer(dead):
    # Hazard 20: the request ran and its answer was lost. One of the two holders dies,
    # is replaced, and the caller resends through another agent.
    cluster = Cluster(domains=3, size=5)
    run = cluster.ask(b"swap", 0)
    cluster.start(0)
    cluster.finish(0)
    cluster.drain()
    pair = find_pair(run.view, b"swap")
    holder = getattr(pair, dead).incarnation
    cluster.nodes[holder].alive = False
    cluster.remove_dead()
    cluster.settle_all()
    cluster.ask(b"swap", 1)
    assert cluster.told[-1] == (b"swap", "replay")


def test_a_resend_after_the_loss_of_both_holders_is_told_unknown():
    # Hazard 20: both holders die before anything was copied. The key may have run, so
    # it is not run again; keys with another holder go on.
    cluster = Cluster(domains=3, size=5)
    run = cluster.ask(b"swap", 0)
    cluster.start(0)
    pair = find_pair(run.view, b"swap")
    for member in (pair.first, pair.second):
        cluster.nodes[member.incarnation].alive = False
    cluster.remove_dead()
    cluster.settle_all()
    cluster.ask(b"swap", 0)
    assert cluster.told[-1] == (b"swap", "unknown")
    granted = [cluster.ask(key, 0).granted for key in KEYS[:40]]
    assert 20 < sum(granted) < 40


def test_a_claim_that_one_holder_alone_granted_is_released_and_never_not_run():
    # The second holder is silent: the attempt is given up within its patience, the
    # first holder is freed, and a resend runs once the second is back.
    cluster = Cluster(domains=3, size=3)
    second = find_pair(cluster.views[-1], b"swap").second.incarnation
    cluster.nodes[second].alive = False
    attempt = cluster.send(b"swap", 0)
    node = cluster.nodes[attempt.incarnation]
    before = cluster.now
    for _ in range(50):
        if not node.runs[attempt].ended:
            cluster.drain()
            cluster.tick(0.1)
    assert node.runs[attempt].ended
    assert cluster.now - before < PATIENCE_SECONDS + 1.0
    assert cluster.told == [(b"swap", "unknown")]
    cluster.drain()
    cluster.nodes[second].alive = True
    assert cluster.ask(b"swap", 0).granted


def test_a_resend_waits_for_the_attempt_that_runs_and_gets_its_answer():
    # Hazard 19: the caller resends through another agent while the first attempt is
    # running; it gets that attempt's answer, whole.
    cluster = Cluster()
    cluster.ask(b"swap", 0)
    cluster.start(0)
    second = cluster.send(b"swap", 1)
    for _ in range(10):
        cluster.drain()
        cluster.tick(0.1)
    assert not cluster.nodes[second.incarnation].runs[second].ended
    cluster.finish(0)
    for _ in range(10):
        cluster.drain()
        cluster.tick(0.1)
    assert cluster.told == [(b"swap", "replay")]


def test_a_key_of_another_request_is_refused():
    holder = open_holder(1)
    assert claim(holder, KEYS[0]) == Verdict.GRANTED
    other = Claim(KEYS[0], OTHER, b"different", holder.view.digest)
    assert holder.claim(other, 1.0).verdict == Verdict.MISMATCH


def test_a_delayed_claim_of_a_released_attempt_is_refused():
    holder = open_holder(1)
    holder.settle(Settle(KEYS[0], MINE, FINGERPRINT, RecordState.FREE), 1.0)
    assert claim(holder, KEYS[0], MINE) == Verdict.RELEASED
    assert claim(holder, KEYS[0], OTHER) == Verdict.GRANTED


def test_a_full_ledger_refuses_new_keys_and_forgets_none():
    ledger = Ledger(600.0, max_bytes=10_000)
    verdicts = [
        ledger.claim(Claim(key, Attempt(1, n), FINGERPRINT, 0), 0.0).verdict
        for n, key in enumerate(KEYS[:20])
    ]
    assert verdicts.count(Verdict.GRANTED) == 10
    assert verdicts[10:] == [Verdict.FULL] * 10
    big = Answer(200, "OK", (), b"x" * 20_000)
    done = Settle(KEYS[0], Attempt(1, 0), FINGERPRINT, RecordState.DONE, big)
    ledger.settle(done, 1.0)
    reply = ledger.claim(Claim(KEYS[0], OTHER, FINGERPRINT, 0), 2.0)
    assert reply.verdict == Verdict.DONE
    assert not reply.answer.kept
    ledger.expire(700.0)
    assert (len(ledger), ledger.used_bytes) == (0, 0)


RECORDS = st.builds(
    LedgerRecord,
    st.just(b"k"),
    st.sampled_from([MINE, OTHER]),
    st.just(FINGERPRINT),
    st.sampled_from([RecordState.CLAIMED, RecordState.UNKNOWN, RecordState.DONE]),
    st.sampled_from([1.0, 2.0]),
    st.just(None),
    st.sampled_from([(), (MINE,), (OTHER,)]),
)


@given(RECORDS, RECORDS)
def test_what_two_holders_know_does_not_depend_on_the_order(left, right):
    one, two = merge_records(left, right), merge_records(right, left)
    assert (one.state, one.deadline, one.released) == (
        two.state,
        two.deadline,
        two.released,
    )


def test_a_lost_past_ends_with_its_deadline():
    holder = open_holder(1)
    lost = PastView(make_view(0, MEMBERS), (1, 2, 3, 4, 5), 50.0, settled=True)
    holder._past[lost.view.digest] = lost
    assert claim(holder, KEYS[0], now=49.0) == Verdict.UNKNOWN
    assert claim(holder, KEYS[0], now=51.0) == Verdict.GRANTED


def test_the_answer_of_a_finished_attempt_is_kept_by_a_closed_holder():
    holder = Holder(1, Ledger(600.0))
    done = Settle(KEYS[0], MINE, FINGERPRINT, RecordState.DONE, ANSWER)
    holder.settle(done, 1.0)
    assert holder.ledger.find(KEYS[0]).answer == ANSWER
