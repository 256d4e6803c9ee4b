from collections import Counter

import pytest
from hypothesis import given, strategies as st

from ibisshunt.const import WARM_UP_SECONDS
from ibisshunt.coordination.flows.ranking import (
    BUCKETS,
    RAMP_STEP_SECONDS,
    hash_instance,
)
from ibisshunt.coordination.flows.table import (
    MAX_CHAIN_LENGTH,
    NO_TARGET_INDEX,
    ServiceTable,
)
from ibisshunt.model.target import TargetState
from tests.flow_fakes import make_slice, make_target

STATES = st.sampled_from(list(TargetState))
TARGETS = st.lists(
    st.tuples(STATES, st.sampled_from([50, 100, 300]), st.floats(0, 20)), max_size=8
)


def make_service_table(targets, now=100.0):
    return ServiceTable(make_slice(targets), now)


def count_first_choices(table):
    first_indexes = Counter(table.find_first_index(bucket) for bucket in range(BUCKETS))
    return {table.targets[index].name: n for index, n in first_indexes.items()}


@given(TARGETS, st.integers(0, BUCKETS - 1))
def test_a_chain_holds_every_target_once_and_starts_with_the_first(
    specifications, bucket
):
    targets = [
        make_target(number, state=state, weight=weight, warm_deadline=100 + warm)
        for number, (state, weight, warm) in enumerate(specifications, 1)
    ]
    table = make_service_table(targets)
    chain = table.find_chain(bucket)
    known = {
        target.incarnation for target in targets if target.state != TargetState.GONE
    }
    assert {target.incarnation for target in chain} == known
    assert len(chain) == len(known)
    first = table.find_first_index(bucket)
    assert (first == NO_TARGET_INDEX) == (not known)
    if known:
        assert table.targets[first] == chain[0]
    for choice in table.find_choices(bucket):
        assert table.accepts_new_flows(choice)


def test_a_new_target_takes_buckets_only_for_itself():
    before = make_service_table([make_target(number) for number in range(1, 8)])
    after = make_service_table([make_target(number) for number in range(1, 9)])
    moved = 0
    for bucket in range(BUCKETS):
        if before.find_first_incarnation(bucket) != after.find_first_incarnation(
            bucket
        ):
            assert after.find_first_incarnation(bucket) == 8
            moved += 1
    assert BUCKETS / 8 * 0.8 < moved < BUCKETS / 8 * 1.2


def test_a_leaving_target_moves_only_its_own_buckets_and_stays_in_the_chain():
    targets = [make_target(number) for number in range(1, 8)]
    before = make_service_table(targets)
    targets[2] = make_target(3, state=TargetState.LEAVING)
    after = make_service_table(targets)
    for bucket in range(BUCKETS):
        if before.find_first_incarnation(bucket) != 3:
            assert after.find_first_incarnation(
                bucket
            ) == before.find_first_incarnation(bucket)
        assert 3 in {target.incarnation for target in after.find_chain(bucket)}


def test_shares_follow_the_weights():
    targets = [make_target(1, weight=100), make_target(2, weight=300)]
    counts = count_first_choices(make_service_table(targets))
    assert counts["t2"] / counts["t1"] == pytest.approx(3, rel=0.15)


def test_a_cold_target_gains_buckets_in_steps_and_loses_none():
    cold = make_target(4, warm_deadline=100 + WARM_UP_SECONDS)
    targets = [*(make_target(number) for number in (1, 2, 3)), cold]
    previous_buckets = set()
    sizes = []
    now = 100.0
    while now < 100 + WARM_UP_SECONDS + 1:
        table = make_service_table(targets, now)
        buckets = {
            bucket
            for bucket in range(BUCKETS)
            if table.find_first_incarnation(bucket) == 4
        }
        assert previous_buckets <= buckets
        previous_buckets = buckets
        sizes.append(len(buckets))
        now = min(table.valid_until, 200.0)
    assert sizes[0] < BUCKETS / 4 * 0.1
    assert sizes[-1] == pytest.approx(BUCKETS / 4, rel=0.15)
    # One table at the start and one at each step of the ramp.
    assert len(sizes) == 1 + WARM_UP_SECONDS / RAMP_STEP_SECONDS


def test_cold_targets_without_others_get_all_flows():
    targets = [make_target(number, warm_deadline=110.0) for number in (1, 2)]
    counts = count_first_choices(make_service_table(targets))
    assert set(counts) == {"t1", "t2"}


def test_a_restarted_agent_does_not_change_the_order_of_the_chain():
    before = make_service_table([make_target(1, name="a"), make_target(2, name="b")])
    after = make_service_table([make_target(2, name="b"), make_target(9, name="a")])
    for bucket in range(BUCKETS):
        names = [
            [target.name for target in table.find_chain(bucket)]
            for table in (before, after)
        ]
        assert names[0] == names[1]


def test_an_instance_is_found_by_its_newest_incarnation():
    """A pointer to the agent from before a restart must lead to the new agent."""
    old = make_target(1, name="a")
    new = make_target(9, name="a", packets=old.announcement.packets)
    other_host = make_target(12, name="a")
    table = make_service_table([old, make_target(2, name="b"), new, other_host])
    assert table.find_by_instance(hash_instance(old)) == new
    assert table.find_by_instance(12345) is None


def test_the_chain_of_a_large_service_is_limited():
    table = make_service_table([make_target(number) for number in range(1, 101)])
    assert len(table.find_chain(5)) == MAX_CHAIN_LENGTH


def test_the_order_of_the_chains_does_not_change():
    """Another order in a new release would move every flow to another target."""
    table = make_service_table([make_target(number) for number in range(1, 6)])
    orders = [
        [target.incarnation for target in table.find_chain(bucket)]
        for bucket in (0, 1, 4095)
    ]
    assert orders == ORDERS


ORDERS = [[3, 4, 2, 1, 5], [1, 3, 4, 5, 2], [1, 5, 4, 2, 3]]
