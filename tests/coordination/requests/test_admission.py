from hypothesis import given, strategies as st

from ibisshunt.coordination.requests.admission import Admission, Refusal
from ibisshunt.coordination.requests.budget import RetryBudget
from ibisshunt.coordination.requests.outcomes import Attempt
from ibisshunt.coordination.requests.sharing import (
    LOAD_AGE_SECONDS,
    SET_ASIDE_SECONDS,
    Load,
    Sharing,
)
from ibisshunt.coordination.requests.weighting import (
    LEAST_WEIGHT,
    Observation,
    find_share,
    observe,
    weigh_targets,
)

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["offer", "start", "finish", "withdraw", "take", "expire"]),
        st.integers(0, 6),
    ),
    max_size=120,
)


def drive(admission, steps):
    """Apply steps; yield each started request, in its order."""
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
        elif name == "take" and (taken := admission.take_next()):
            waiting.remove(taken.attempt)
        elif name == "expire":
            for attempt in admission.list_expired(now):
                admission.withdraw(attempt)
                waiting.remove(attempt)
        assert len(admission.running) <= admission.slots
        assert admission.queued == len(waiting) <= admission.queue_limit


@given(STEPS, st.integers(1, 3))
def test_slots_and_queue_are_never_exceeded_and_each_starts_once(steps, slots):
    # Requests come, start, end, are withdrawn, pulled and too late in any order.
    started = [one.attempt for one in drive(Admission(slots, 8), steps)]
    assert len(started) == len(set(started))


def offer(admission, number, caller="a", deadline=100.0, now=0.0, share=1.0):
    return admission.offer(Attempt(1, number), caller, deadline, now, share)


def test_a_caller_with_many_requests_does_not_hold_up_another():
    # Caller a fills its part of the queue first; b waits for one turn, not for all.
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
    refused = [offer(admission, 100 + n) for n in range(9)]
    assert refused[-1].reason == Refusal.CALLER_SHARE
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


def test_what_can_not_make_its_deadline_is_refused_at_once_with_a_time_to_return():
    admission = Admission(1, 100)
    admission.service_seconds = 1.0
    for number in range(4):
        assert offer(admission, number) is None
    admission.start_next(0.0, 1.0)
    refused = offer(admission, 9, deadline=4.5)
    assert refused.reason == Refusal.TOO_LATE
    assert refused.retry_after == 4.0
    assert offer(admission, 10, deadline=5.5) is None
    assert admission.list_expired(5.2) == (Attempt(1, 10),)


def test_a_cold_target_gets_a_growing_share_of_its_slots():
    # Hazard 24: a cold target is given its full share at once and falls over.
    admission = Admission(8, 50)
    for number in range(20):
        offer(admission, number)
    counts = []
    for now in (0.0, 5.0, 10.0):
        while admission.start_next(now, find_share(10.0, 10.0, now)):
            pass
        counts.append(len(admission.running))
    assert counts == [2, 4, 8]


def test_retries_grow_the_load_by_their_share_at_most():
    # Hazard 24: each refusal of an overloaded service would be sent once more.
    budget = RetryBudget(0.1)
    retries = 0
    for _ in range(1000):
        budget.count_request()
        retries += budget.take()
    assert retries == 100


BUSY = Load(1, 4, 1, 0.1)
IDLE = Load(0, 0, 1, 0.1)


def first(_choices=None):
    return 0.0


def test_an_agent_without_a_queue_keeps_its_requests():
    sharing = Sharing()
    sharing.hear(2, IDLE, 0.0)
    assert sharing.choose(IDLE, first, 0.0, {}) is None
    assert sharing.choose(BUSY, first, 0.0, {}) == 2


def test_what_was_sent_counts_until_the_other_is_heard_again():
    # Without it all requests of a moment would rush to the one that was idle.
    sharing = Sharing()
    sharing.hear(2, IDLE, 0.0)
    sent = [sharing.choose(BUSY, first, 0.0, {}) for _ in range(8)]
    assert sent == [2, 2, 2, 2, 2, None, None, None]
    sharing.hear(2, IDLE, 0.1)
    assert sharing.choose(BUSY, first, 0.1, {}) == 2


def test_old_loads_failed_and_stopping_agents_get_nothing():
    sharing = Sharing()
    sharing.hear(2, IDLE, 0.0)
    assert sharing.choose(BUSY, first, LOAD_AGE_SECONDS + 0.1, {}) is None
    sharing.hear(2, IDLE, 5.0)
    sharing.set_aside(2, 5.0)
    assert sharing.choose(BUSY, first, 5.1, {}) is None
    sharing.hear(2, IDLE, 5.2 + SET_ASIDE_SECONDS)
    assert sharing.choose(BUSY, first, 5.2 + SET_ASIDE_SECONDS, {}) == 2
    sharing.hear(2, Load(0, 0, 1, 0.1, stopping=True), 8.0)
    assert sharing.choose(BUSY, first, 8.0, {}) is None


def test_an_idle_agent_pulls_from_the_longest_queue():
    sharing = Sharing()
    for incarnation, queued in ((2, 3), (3, 7), (4, 0)):
        sharing.hear(incarnation, Load(1, queued, 1, 0.1), 0.0)
    assert sharing.find_longest(0.0) == 3
    sharing.keep_only([2, 4])
    assert sharing.find_longest(0.0) == 2


def repeat(failed, seconds, count=60):
    seen = Observation()
    for _ in range(count):
        seen = observe(seen, failed, seconds)
    return seen


def test_a_target_that_lies_or_is_slow_gets_less_but_something():
    # Hazard 24: its pages say ok while it refuses; only what was seen of it counts.
    seen = {n: repeat(False, 0.1) for n in range(5)}
    seen[5], seen[6] = repeat(True, 0.001), repeat(False, 1.0)
    weights = weigh_targets(seen)
    assert weights[5] == LEAST_WEIGHT
    assert weights[6] == LEAST_WEIGHT
    assert [weights[n] for n in range(5)] == [1.0] * 5


@given(
    st.dictionaries(
        st.integers(1, 20),
        st.builds(Observation, st.floats(0, 1), st.floats(0, 100), st.just(9)),
        max_size=12,
    )
)
def test_never_are_all_targets_given_less(seen):
    weights = weigh_targets(seen)
    assert all(LEAST_WEIGHT <= weight <= 1.0 for weight in weights.values())
    less = sum(weight < 1.0 for weight in weights.values())
    assert less * 2 <= len(weights)


def test_when_all_targets_fail_none_is_an_outlier():
    weights = weigh_targets({n: repeat(True, 0.1) for n in range(7)})
    assert set(weights.values()) == {1.0}


def test_without_a_queue_a_free_slot_is_still_used():
    admission = Admission(1, 0)
    assert offer(admission, 1) is None
    assert admission.start_next(0.0, 1.0).attempt == Attempt(1, 1)
    assert offer(admission, 2).reason == Refusal.QUEUE_FULL
