import pytest
from hypothesis import given, strategies as st

from ibisshunt.coordination.requests.claims import UNAVAILABLE_TIMEOUT_SECONDS
from ibisshunt.coordination.requests.ledger import Ledger, merge_records
from ibisshunt.coordination.requests.messages import (
    Attempt,
    Claim,
    ClaimStatus,
    LedgerRecord,
    PastView,
    RecordState,
    Settle,
    StoredResponse,
)
from ibisshunt.coordination.requests.replica import LedgerReplica
from ibisshunt.coordination.requests.views import Member, find_replicas, make_view
from tests.coordination.requests.ledger_cluster import FINGERPRINT, Cluster

MEMBERS = tuple(Member(n, f"t{n}", f"d{n % 3}") for n in range(1, 6))
KEYS = [f"key-{n}".encode() for n in range(300)]
ATTEMPT, OTHER_ATTEMPT = Attempt(1, 1), Attempt(2, 1)
RESPONSE = StoredResponse(200, "OK", (), b"whole")


def open_replica(incarnation, members=MEMBERS, revision=1):
    replica = LedgerReplica(incarnation, Ledger(600.0))
    view = make_view(revision, members)
    replica.change_view(view, 0.0)
    others = [LedgerReplica(member.incarnation, Ledger(600.0)) for member in members]
    for other in others:
        if other.incarnation != incarnation:
            other.change_view(view, 0.0)
            replica.handle_fetch_reply(
                other.handle_fetch(replica.make_fetch(0.0), 0.0), 0.0
            )
    assert replica.try_open(no_departures=True, now=0.0)
    return replica


def claim(replica, key, attempt=ATTEMPT, digest=None, now=1.0):
    digest = replica.view.digest if digest is None else digest
    return replica.claim(Claim(key, attempt, FINGERPRINT, digest), now).verdict


def test_replicas_of_a_key_are_in_two_failure_domains_and_few_keys_move():
    before, after = make_view(1, MEMBERS), make_view(2, MEMBERS[:-1])
    moved_count = 0
    for key in KEYS:
        pair, next_pair = find_replicas(before, key), find_replicas(after, key)
        assert pair.first.failure_domain != pair.second.failure_domain
        was_replica = pair.includes(MEMBERS[-1].incarnation)
        moved_count += pair != next_pair
        assert was_replica or pair == next_pair
    assert 0 < moved_count < len(KEYS) * 0.6
    assert find_replicas(make_view(1, MEMBERS[:1]), KEYS[0]) is None


def test_a_replica_that_answered_a_newer_view_grants_nothing_under_its_own():
    # An agent with an older configuration has sent its records to a new member. If it
    # granted a key afterwards, the new member could grant the same key again.
    replica = open_replica(1)
    newer = LedgerReplica(9, Ledger(600.0))
    newer.change_view(make_view(2, [*MEMBERS, Member(9, "t9", "d0")]), 0.0)
    assert claim(replica, KEYS[0]) == ClaimStatus.GRANTED
    assert not replica.handle_fetch(newer.make_fetch(0.0), 0.0).refused
    assert claim(replica, KEYS[1]) == ClaimStatus.CLOSED
    assert claim(replica, KEYS[0]) == ClaimStatus.CLOSED


def test_a_replica_that_missed_a_view_closes_and_fetches_again():
    # A member leaves and rejoins, and this agent sees neither view. Keys ran meanwhile
    # on other replicas, so it must not answer "never seen".
    replica = open_replica(1)
    between = make_view(2, MEMBERS[:-1])
    other = LedgerReplica(2, Ledger(600.0))
    other.change_view(between, 0.0)
    other.change_view(make_view(3, MEMBERS), 0.0)
    replica.handle_fetch(other.make_fetch(0.0), 0.0)
    assert claim(replica, KEYS[0]) == ClaimStatus.CLOSED
    assert set(replica.list_sources()) == {2, 3, 4, 5}


def test_a_view_does_not_open_without_the_records_of_a_current_member():
    replica = LedgerReplica(1, Ledger(600.0))
    replica.change_view(make_view(1, MEMBERS), 0.0)
    for member in MEMBERS:
        replica.mark_unreachable(member.incarnation)
    assert not replica.try_open(no_departures=True, now=0.0)
    assert claim(replica, KEYS[0]) == ClaimStatus.CLOSED


def test_conflicting_claims_from_independent_views_make_the_key_unknown():
    def make(attempt, state=RecordState.CLAIMED):
        return LedgerRecord(b"k", attempt, FINGERPRINT, state, 9.0)

    both = merge_records(make(ATTEMPT), make(OTHER_ATTEMPT))
    assert both.state == RecordState.UNKNOWN
    done = merge_records(both, make(OTHER_ATTEMPT, RecordState.DONE))
    assert (done.state, done.attempt) == (RecordState.DONE, OTHER_ATTEMPT)


def test_after_a_restart_of_all_agents_keys_are_unknown_until_retention_ends():
    # All agents restart at once and every ledger is empty. A retry of an earlier key
    # must get "unknown". In a service that never lost an agent, keys are granted.
    replica = LedgerReplica(11, Ledger(600.0))
    pair = [Member(11, "t1", "d1"), Member(12, "t2", "d2")]
    replica.change_view(make_view(5, pair), 0.0)
    other = LedgerReplica(12, Ledger(600.0))
    other.change_view(make_view(5, pair), 0.0)
    replica.handle_fetch_reply(other.handle_fetch(replica.make_fetch(0.0), 0.0), 0.0)
    assert replica.try_open(no_departures=False, now=0.0)
    assert claim(replica, KEYS[0], now=599.0) == ClaimStatus.UNKNOWN
    # A member that joins them learns that the history is unknown.
    other.handle_fetch_reply(replica.handle_fetch(other.make_fetch(1.0), 1.0), 1.0)
    assert other.try_open(no_departures=False, now=1.0)
    assert claim(other, KEYS[0], now=598.0) == ClaimStatus.UNKNOWN
    assert claim(replica, KEYS[0], now=601.0) == ClaimStatus.GRANTED


@pytest.mark.parametrize("dead", ["first", "second"])
def test_a_retry_after_the_death_of_one_replica_gets_the_same_response(dead):
    # Hazard 20: the request ran and its response was lost. One of the two replicas dies
    # and is replaced, and the caller retries through another agent.
    cluster = Cluster(domains=3, size=5)
    run = cluster.send_and_wait(b"swap", 0)
    cluster.start(0)
    cluster.finish(0)
    cluster.drain()
    pair = find_replicas(run.view, b"swap")
    replica = getattr(pair, dead).incarnation
    cluster.nodes[replica].is_alive = False
    cluster.remove_dead()
    cluster.run_until_settled()
    cluster.send_and_wait(b"swap", 1)
    assert cluster.outcomes[-1] == (b"swap", "replay")


def test_a_retry_after_the_loss_of_both_replicas_is_unknown():
    # Hazard 20: both replicas die before another agent has their records. The key may
    # have run, so it must not run again; keys with a live replica are still granted.
    cluster = Cluster(domains=3, size=5)
    run = cluster.send_and_wait(b"swap", 0)
    cluster.start(0)
    pair = find_replicas(run.view, b"swap")
    for member in (pair.first, pair.second):
        cluster.nodes[member.incarnation].is_alive = False
    cluster.remove_dead()
    cluster.run_until_settled()
    cluster.send_and_wait(b"swap", 0)
    assert cluster.outcomes[-1] == (b"swap", "unknown")
    granted = [cluster.send_and_wait(key, 0).is_granted for key in KEYS[:40]]
    assert 20 < sum(granted) < 40


def test_a_claim_that_only_one_replica_granted_is_released_and_never_not_run():
    # The second replica does not answer: the claim ends within its timeout, the first
    # replica releases the key, and a retry runs when the second replica is back.
    cluster = Cluster(domains=3, size=3)
    second = find_replicas(cluster.views[-1], b"swap").second.incarnation
    cluster.nodes[second].is_alive = False
    attempt = cluster.send(b"swap", 0)
    node = cluster.nodes[attempt.incarnation]
    before = cluster.now
    for _ in range(50):
        if not node.runs[attempt].is_ended:
            cluster.drain()
            cluster.tick(0.1)
    assert node.runs[attempt].is_ended
    assert cluster.now - before < UNAVAILABLE_TIMEOUT_SECONDS + 1.0
    assert cluster.outcomes == [(b"swap", "unknown")]
    cluster.drain()
    cluster.nodes[second].is_alive = True
    assert cluster.send_and_wait(b"swap", 0).is_granted


def test_a_retry_waits_for_the_running_attempt_and_gets_its_response():
    # Hazard 19: the caller retries through another agent while the first attempt is
    # running; it gets the complete response of that attempt.
    cluster = Cluster()
    cluster.send_and_wait(b"swap", 0)
    cluster.start(0)
    second = cluster.send(b"swap", 1)
    for _ in range(10):
        cluster.drain()
        cluster.tick(0.1)
    assert not cluster.nodes[second.incarnation].runs[second].is_ended
    cluster.finish(0)
    for _ in range(10):
        cluster.drain()
        cluster.tick(0.1)
    assert cluster.outcomes == [(b"swap", "replay")]


def test_a_key_of_another_request_is_refused():
    replica = open_replica(1)
    assert claim(replica, KEYS[0]) == ClaimStatus.GRANTED
    other = Claim(KEYS[0], OTHER_ATTEMPT, b"different", replica.view.digest)
    assert replica.claim(other, 1.0).verdict == ClaimStatus.MISMATCH


def test_a_delayed_claim_of_a_released_attempt_is_refused():
    replica = open_replica(1)
    replica.settle(Settle(KEYS[0], ATTEMPT, FINGERPRINT, RecordState.FREE), 1.0)
    assert claim(replica, KEYS[0], ATTEMPT) == ClaimStatus.RELEASED
    assert claim(replica, KEYS[0], OTHER_ATTEMPT) == ClaimStatus.GRANTED


def test_a_full_ledger_refuses_new_keys_and_drops_none():
    ledger = Ledger(600.0, max_bytes=10_000)
    verdicts = [
        ledger.claim(Claim(key, Attempt(1, n), FINGERPRINT, 0), 0.0).verdict
        for n, key in enumerate(KEYS[:20])
    ]
    assert verdicts.count(ClaimStatus.GRANTED) == 10
    assert verdicts[10:] == [ClaimStatus.FULL] * 10
    big = StoredResponse(200, "OK", (), b"x" * 20_000)
    settle = Settle(KEYS[0], Attempt(1, 0), FINGERPRINT, RecordState.DONE, big)
    ledger.settle(settle, 1.0)
    reply = ledger.claim(Claim(KEYS[0], OTHER_ATTEMPT, FINGERPRINT, 0), 2.0)
    assert reply.verdict == ClaimStatus.DONE
    assert not reply.answer.kept
    ledger.expire(700.0)
    assert (len(ledger), ledger.used_bytes) == (0, 0)


RECORDS = st.builds(
    LedgerRecord,
    st.just(b"k"),
    st.sampled_from([ATTEMPT, OTHER_ATTEMPT]),
    st.just(FINGERPRINT),
    st.sampled_from([RecordState.CLAIMED, RecordState.UNKNOWN, RecordState.DONE]),
    st.sampled_from([1.0, 2.0]),
    st.just(None),
    st.sampled_from([(), (ATTEMPT,), (OTHER_ATTEMPT,)]),
)


@given(RECORDS, RECORDS)
def test_merging_records_does_not_depend_on_the_order(left, right):
    merged, reversed_merge = merge_records(left, right), merge_records(right, left)
    assert (merged.state, merged.deadline, merged.released) == (
        reversed_merge.state,
        reversed_merge.deadline,
        reversed_merge.released,
    )


def test_keys_of_a_lost_past_view_are_unknown_until_its_deadline():
    replica = open_replica(1)
    lost = PastView(make_view(0, MEMBERS), (1, 2, 3, 4, 5), 50.0, settled=True)
    replica._past_views[lost.view.digest] = lost
    assert claim(replica, KEYS[0], now=49.0) == ClaimStatus.UNKNOWN
    assert claim(replica, KEYS[0], now=51.0) == ClaimStatus.GRANTED


def test_a_closed_replica_stores_the_response_of_a_finished_attempt():
    replica = LedgerReplica(1, Ledger(600.0))
    settle = Settle(KEYS[0], ATTEMPT, FINGERPRINT, RecordState.DONE, RESPONSE)
    replica.settle(settle, 1.0)
    assert replica.ledger.find(KEYS[0]).answer == RESPONSE
