from hypothesis import given, strategies as st

from ibisshunt.coordination.flows.callers import (
    MAX_REMEMBERED_CALLERS,
    make_caller_check,
)
from ibisshunt.coordination.flows.hunting import LOAD_AGE_SECONDS, PeerLoads
from ibisshunt.coordination.flows.store import (
    MAX_OWNERS,
    RESET_LINGER_SECONDS,
    DeadlineStore,
    FlowStore,
    Owner,
    PointerStore,
)
from ibisshunt.protocol.packet import FIN, RST

KEYS = st.integers(0, 9).map(lambda number: b"%013d" % number)
STEPS = st.lists(
    st.tuples(KEYS, st.sampled_from([0, FIN, RST]), st.floats(0, 50)), max_size=60
)


def sweep(store, now):
    return sum(store.sweep(now))


@given(STEPS)
def test_a_flow_lives_exactly_until_it_has_been_idle(steps):
    """Compare with a plain map of deadlines; whole seconds may add up to one."""
    store, deadlines, closing = FlowStore(100), {}, set()
    now = 100.0
    for key, bits, passed in steps:
        now += passed
        sweep(store, now)
        for other in deadlines:
            if deadlines[other] + 1 < now:
                assert other not in store
            if deadlines[other] > now:
                assert other in store
        deadlines = {one: at for one, at in deadlines.items() if one in store}
        closing &= deadlines.keys()
        store.touch(key, bits, now, 60.0)
        idle = RESET_LINGER_SECONDS if bits & RST else 60.0
        deadlines[key] = now + idle
        if bits:
            closing.add(key)
        assert store.closing == len(closing)
        assert len(store) == len(deadlines)


def test_a_flow_goes_on_after_a_reset_that_was_not_valid():
    """The target's host ignores a forged reset; so must whoever forwards to it."""
    store = FlowStore(10)
    store.touch(b"k" * 13, 0, 0.0, 300.0)
    store.touch(b"k" * 13, RST, 1.0, 300.0)
    store.touch(b"k" * 13, 0, 2.0, 300.0)
    assert sweep(store, 200.0) == 0
    assert b"k" * 13 in store


def test_pointers_are_bounded_and_the_oldest_make_room():
    store = PointerStore(3)
    owner = Owner(1, 2, ("127.0.0.1", 3), 4)
    for number in range(5):
        store.add(b"%013d" % number, owner, 50.0)
    assert len(store) == 3
    assert store.find(b"%013d" % 0) is None
    assert store.find(b"%013d" % 4) == owner
    assert store.list_keys(2) == [b"%013d" % number for number in (2, 3, 4)]
    assert store.list_keys(9) == []
    assert sweep(store, 60.0) == 3


def test_owners_of_pointers_are_bounded():
    store = PointerStore(10 * MAX_OWNERS)
    for number in range(MAX_OWNERS + 10):
        owner = Owner(number, number, ("127.0.0.1", 3), 4)
        store.add(b"%013d" % number, owner, 50.0)
        assert store.find(b"%013d" % number) == owner
    assert len(store) <= MAX_OWNERS


def test_deadlines_are_bounded_and_dropped_in_order():
    store = DeadlineStore(2)
    for number in range(3):
        store.add(b"%d" % number, float(number))
    assert store.find(b"0") is None
    store.drop_before(1.5)
    assert store.find(b"1") is None
    assert store.find(b"2") == 2.0


def test_the_caller_check_follows_the_networks_and_its_memory_is_bounded():
    admit = make_caller_check(("10.1.0.0/16", "10.9.9.9/32"))
    assert admit(bytes([10, 1, 200, 3]))
    assert admit(bytes([10, 9, 9, 9]))
    assert not admit(bytes([10, 9, 9, 8]))
    assert not make_caller_check(())(bytes([10, 1, 0, 1]))
    for number in range(MAX_REMEMBERED_CALLERS + 5):
        assert not admit(number.to_bytes(4, "big"))
    assert admit(bytes([10, 1, 200, 3]))


def test_an_old_or_unknown_load_is_no_reason_to_pass_a_flow_on():
    loads = PeerLoads()
    assert not loads.prefers_peer(5.0, 1, 0.0)
    loads.note(1, 1.0, 0.0)
    assert loads.prefers_peer(5.0, 1, 1.0)
    assert not loads.prefers_peer(1.0, 1, 1.0)
    assert not loads.prefers_peer(5.0, 1, LOAD_AGE_SECONDS)
    loads.note(1, 1.0, 0.0)
    loads.add(1, 5.0)
    assert not loads.prefers_peer(5.0, 1, 1.0)
