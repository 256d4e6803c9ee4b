"""A target that warms up gets no more new flows a second than its service allows."""

from hypothesis import given, strategies as st

from ibisshunt.coordination.forwarding.target_tracking.warmup_limiter import (
    WINDOW_SECONDS,
    WarmupLimiter,
    compute_quota,
)


def test_the_quota_is_the_rate_times_the_overage_and_the_slack():
    assert compute_quota(4.0, 1.5, 5) == 11
    assert compute_quota(0.5, 1.0, 0) == 0
    assert compute_quota(0.0, 1.5, 5) is None


def test_an_agent_that_has_just_started_treats_the_quota_as_used_up():
    # Guards against twice the quota in one second, one from each run of the agent.
    limiter = WarmupLimiter(10.0)
    assert limiter.compute_wait(3, 10.5) > 0
    assert limiter.compute_wait(3, 10.0 + WINDOW_SECONDS) == 0.0


def test_without_a_quota_there_is_no_wait():
    assert WarmupLimiter(10.0).compute_wait(None, 10.0) == 0.0


def test_a_target_with_a_quota_of_zero_gets_no_flow():
    assert WarmupLimiter(0.0).compute_wait(0, 50.0) > 0


@given(
    st.integers(1, 5),
    st.lists(st.floats(0.0, 0.7, allow_nan=False), max_size=60),
)
def test_no_sliding_second_holds_more_than_the_quota(quota, pauses):
    limiter = WarmupLimiter(0.0)
    now, accepted_at = 5.0, []
    for pause in pauses:
        now += pause
        if not limiter.compute_wait(quota, now):
            limiter.record(now)
            accepted_at.append(now)
    for start in accepted_at:
        assert sum(start <= at < start + 1.0 for at in accepted_at) <= quota


@given(st.integers(1, 5), st.integers(1, 12))
def test_the_computed_wait_is_long_enough_and_no_longer(quota, count):
    limiter = WarmupLimiter(0.0)
    for number in range(count):
        limiter.record(5.0 + 0.01 * number)
    now = 5.2
    wait = limiter.compute_wait(quota, now)
    if not wait:
        assert count < quota
        return
    assert limiter.compute_wait(quota, now + wait - 0.001) > 0
    assert limiter.compute_wait(quota, now + wait + 0.001) == 0.0
