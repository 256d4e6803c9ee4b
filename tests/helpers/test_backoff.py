from itertools import islice

from hypothesis import given, strategies as st

from ibisshunt.helpers.backoff import MAX_DELAY_SECONDS, make_delays


@given(st.lists(st.floats(0, 0.999), min_size=12, max_size=12))
def test_delays_grow_to_the_maximum_and_have_jitter(fractions):
    delays = list(islice(make_delays(iter(fractions).__next__), 12))
    assert all(0 < delay <= MAX_DELAY_SECONDS for delay in delays)
    assert delays[-1] >= MAX_DELAY_SECONDS / 2
    assert delays[0] <= 0.05
