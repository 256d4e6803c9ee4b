"""A cold target gets no more new flows in any second than its service allows."""

from hypothesis import given, strategies as st

from ibisshunt.coordination.forwarding.holding.cold_limit import (
    WINDOW_SECONDS,
    ColdLimit,
    compute_quota,
)


def test_the_quota_is_the_rate_times_the_overage_and_the_slack():
    assert compute_quota(4.0, 1.5, 5) == 11
    assert compute_quota(0.5, 1.0, 0) == 0
    assert compute_quota(0.0, 1.5, 5) is None


def test_an_agent_that_has_just_started_takes_the_quota_for_used_up():
    # Guards against twice the quota in one second, once from each run of the agent.
    limit = ColdLimit(10.0)
    assert limit.find_wait(3, 10.5) > 0
    assert limit.find_wait(3, 10.0 + WINDOW_SECONDS) == 0.0


def test_without_a_quota_nothing_waits():
    assert ColdLimit(10.0).find_wait(None, 10.0) == 0.0


def test_a_target_that_bears_nothing_while_cold_gets_nothing():
    assert ColdLimit(0.0).find_wait(0, 50.0) > 0


@given(
    st.integers(1, 5),
    st.lists(st.floats(0.0, 0.7, allow_nan=False), max_size=60),
)
def test_no_sliding_second_holds_more_than_the_quota(quota, pauses):
    limit = ColdLimit(0.0)
    now, taken = 5.0, []
    for pause in pauses:
        now += pause
        if not limit.find_wait(quota, now):
            limit.note(now)
            taken.append(now)
    for begin in taken:
        assert sum(begin <= at < begin + 1.0 for at in taken) <= quota


@given(st.integers(1, 5), st.integers(1, 12))
def test_the_wait_that_is_told_is_long_enough_and_no_longer(quota, count):
    limit = ColdLimit(0.0)
    for number in range(count):
        limit.note(5.0 + 0.01 * number)
    now = 5.2
    wait = limit.find_wait(quota, now)
    if not wait:
        assert count < quota
        return
    assert limit.find_wait(quota, now + wait - 0.001) > 0
    assert limit.find_wait(quota, now + wait + 0.001) == 0.0
