from hypothesis import given, strategies as st

from ibisshunt.coordination.requests.admission import Admission, RefusalReason
from ibisshunt.coordination.requests.budget import RetryBudget
from ibisshunt.coordination.requests.load_sharing import (
    MAX_LOAD_AGE_SECONDS,
    SUSPENSION_SECONDS,
    Load,
    LoadSharing,
)
from ibisshunt.coordination.requests.messages import Attempt
from ibisshunt.coordination.requests.weighting import (
    MIN_WEIGHT,
    TargetStats,
    compute_slow_start_share,
    compute_weights,
    update_stats,
)

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["offer", "start", "finish", "withdraw", "take", "expire"]),
        st.integers(0, 6),
    ),
    max_size=120,
)


def run_steps(admission, steps):
    """Apply the steps; yield each request that starts."""
    number, waiting, now = 0, [], 0.0
    for name, choice in steps:
        now += 0.01
        if name == "offer":
            number += 1
            attempt = Attempt(1, number)
            caller, deadline = f"c{choice % 3}", now + 1.0 + choice
            if admission.offer(attempt, caller, deadline, now, 1.0) is None:
                waiting.append(attempt)
        elif name == "start" and (started := admission.start_next(now, 1.0)):
            waiting.remove(started.attempt)
            yield started
        elif name == "finish" and admission.running:
            running = sorted(admission.running)
            admission.finish(running[choice % len(running)], 0.05)
        elif name == "withdraw" and waiting:
            assert admission.withdraw(waiting.pop(choice % len(waiting)))
        elif name == "take" and (taken := admission.pop_next()):
            waiting.remove(taken.attempt)
        elif name == "expire":
            for attempt in admission.list_expired(now):
                admission.withdraw(attempt)
                waiting.remove(attempt)
        assert len(admission.running) <= admission.slots
        assert admission.queued == len(waiting) <= admission.queue_limit


@given(STEPS, st.integers(1, 3))
def test_slots_and_queue_are_never_exceeded_and_each_starts_once(steps, slots):
    # Requests arrive, start, finish, are withdrawn, pulled and expire in any order.
    started = [one.attempt for one in run_steps(Admission(slots, 8), steps)]
    assert len(started) == len(set(started))


def offer(admission, number, caller="a", deadline=100.0, now=0.0, share=1.0):
    return admission.offer(Attempt(1, number), caller, deadline, now, share)


def test_a_caller_with_many_requests_does_not_delay_another():
    # Caller a fills its part of the queue first; b waits for one request, not for all.
    admission = Admission(1, 20)
    for number in range(9):
        assert offer(admission, number) is None
    assert offer(admission, 20, caller="b") is None
    order = []
    for _ in range(4):
        started = admission.start_next(0.0, 1.0)
        order.append(started.caller)
        admission.finish(started.attempt, 0.05)
    assert order.count("b") == 1
    refused = [offer(admission, 100 + number) for number in range(9)]
    assert refused[-1].reason == RefusalReason.CALLER_SHARE
    assert offer(admission, 200, caller="b") is None


def test_within_a_caller_the_nearest_deadline_goes_first():
    admission = Admission(1, 20)
    for number, deadline in enumerate([9.0, 3.0, 6.0]):
        offer(admission, number, deadline=deadline)
    starts = []
    for _ in range(3):
        started = admission.start_next(0.0, 1.0)
        starts.append(started.deadline)
        admission.finish(started.attempt, 0.05)
    assert starts == [3.0, 6.0, 9.0]


def test_a_request_that_will_miss_its_deadline_is_refused_with_a_retry_time():
    admission = Admission(1, 100)
    admission.service_seconds = 1.0
    for number in range(4):
        assert offer(admission, number) is None
    admission.start_next(0.0, 1.0)
    refused = offer(admission, 9, deadline=4.5)
    assert refused.reason == RefusalReason.TOO_LATE
    assert refused.retry_after == 4.0
    assert offer(admission, 10, deadline=5.5) is None
    assert admission.list_expired(5.2) == (Attempt(1, 10),)


def test_a_cold_target_gets_a_growing_share_of_its_slots():
    # Hazard 24: a cold target gets its full share at once and is overloaded.
    admission = Admission(8, 50)
    for number in range(20):
        offer(admission, number)
    counts = []
    for now in (0.0, 5.0, 10.0):
        while admission.start_next(now, compute_slow_start_share(10.0, 10.0, now)):
            pass
        counts.append(len(admission.running))
    assert counts == [2, 4, 8]


def test_retries_grow_the_load_by_their_share_at_most():
    # Hazard 24: every request that an overloaded service refuses would be sent again.
    budget = RetryBudget(0.1)
    retries = 0
    for _ in range(1000):
        budget.count_request()
        retries += budget.take()
    assert retries == 100


BUSY = Load(1, 4, 1, 0.1)
IDLE = Load(0, 0, 1, 0.1)


def draw_first(_choices=None):
    return 0.0


def test_an_agent_without_a_queue_keeps_its_requests():
    load_sharing = LoadSharing()
    load_sharing.update_load(2, IDLE, 0.0)
    assert load_sharing.choose_peer(IDLE, draw_first, 0.0, {}) is None
    assert load_sharing.choose_peer(BUSY, draw_first, 0.0, {}) == 2


def test_sent_requests_count_as_load_until_the_next_report():
    # Otherwise all agents would send their requests to the one that was idle.
    load_sharing = LoadSharing()
    load_sharing.update_load(2, IDLE, 0.0)
    sent = [load_sharing.choose_peer(BUSY, draw_first, 0.0, {}) for _ in range(8)]
    assert sent == [2, 2, 2, 2, 2, None, None, None]
    load_sharing.update_load(2, IDLE, 0.1)
    assert load_sharing.choose_peer(BUSY, draw_first, 0.1, {}) == 2


def test_silent_failed_and_stopping_agents_get_no_requests():
    load_sharing = LoadSharing()
    load_sharing.update_load(2, IDLE, 0.0)
    assert (
        load_sharing.choose_peer(BUSY, draw_first, MAX_LOAD_AGE_SECONDS + 0.1, {})
        is None
    )
    load_sharing.update_load(2, IDLE, 5.0)
    load_sharing.suspend(2, 5.0)
    assert load_sharing.choose_peer(BUSY, draw_first, 5.1, {}) is None
    load_sharing.update_load(2, IDLE, 5.2 + SUSPENSION_SECONDS)
    assert load_sharing.choose_peer(BUSY, draw_first, 5.2 + SUSPENSION_SECONDS, {}) == 2
    load_sharing.update_load(2, Load(0, 0, 1, 0.1, stopping=True), 8.0)
    assert load_sharing.choose_peer(BUSY, draw_first, 8.0, {}) is None


def test_an_idle_agent_pulls_from_the_longest_queue():
    load_sharing = LoadSharing()
    for incarnation, queued in ((2, 3), (3, 7), (4, 0)):
        load_sharing.update_load(incarnation, Load(1, queued, 1, 0.1), 0.0)
    assert load_sharing.find_longest_queue(0.0) == 3
    load_sharing.retain([2, 4])
    assert load_sharing.find_longest_queue(0.0) == 2


def make_stats(failed, seconds, count=60):
    stats = TargetStats()
    for _ in range(count):
        stats = update_stats(stats, failed, seconds)
    return stats


def test_a_failing_or_slow_target_gets_less_but_some_requests():
    # Hazard 24: the target reports to be well while it refuses requests; only measured
    # results count.
    stats = {number: make_stats(False, 0.1) for number in range(5)}
    stats[5], stats[6] = make_stats(True, 0.001), make_stats(False, 1.0)
    weights = compute_weights(stats)
    assert weights[5] == MIN_WEIGHT
    assert weights[6] == MIN_WEIGHT
    assert [weights[number] for number in range(5)] == [1.0] * 5


@given(
    st.dictionaries(
        st.integers(1, 20),
        st.builds(TargetStats, st.floats(0, 1), st.floats(0, 100), st.just(9)),
        max_size=12,
    )
)
def test_at_most_half_of_the_targets_are_outliers(stats):
    weights = compute_weights(stats)
    assert all(MIN_WEIGHT <= weight <= 1.0 for weight in weights.values())
    less = sum(weight < 1.0 for weight in weights.values())
    assert less * 2 <= len(weights)


def test_when_all_targets_fail_none_is_an_outlier():
    weights = compute_weights({number: make_stats(True, 0.1) for number in range(7)})
    assert set(weights.values()) == {1.0}


def test_without_a_queue_a_free_slot_is_still_used():
    admission = Admission(1, 0)
    assert offer(admission, 1) is None
    assert admission.start_next(0.0, 1.0).attempt == Attempt(1, 1)
    assert offer(admission, 2).reason == RefusalReason.QUEUE_FULL
