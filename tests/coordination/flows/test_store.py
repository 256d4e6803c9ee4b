from hypothesis import given, strategies as st

from ibisshunt.coordination.flows.callers import (
    MAX_CACHED_CALLERS,
    make_caller_check,
)
from ibisshunt.coordination.flows.peer_loads import MAX_LOAD_AGE_SECONDS, PeerLoads
from ibisshunt.coordination.flows.store import (
    MAX_OWNERS,
    RESET_RETENTION_SECONDS,
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
def test_a_flow_is_stored_until_its_idle_timeout(steps):
    """Compare with a map of deadlines; rounding to seconds may add up to one second."""
    store, deadlines, closing = FlowStore(100), {}, set()
    now = 100.0
    for key, packet_flags, elapsed in steps:
        now += elapsed
        sweep(store, now)
        for other in deadlines:
            if deadlines[other] + 1 < now:
                assert other not in store
            if deadlines[other] > now:
                assert other in store
        deadlines = {flow: at for flow, at in deadlines.items() if flow in store}
        closing &= deadlines.keys()
        store.touch(key, packet_flags, now, 60.0)
        idle = RESET_RETENTION_SECONDS if packet_flags & RST else 60.0
        deadlines[key] = now + idle
        if packet_flags:
            closing.add(key)
        assert store.closing == len(closing)
        assert len(store) == len(deadlines)


def test_a_flow_continues_after_an_invalid_reset():
    """The target's host ignores a forged reset, so its agent must not drop the flow."""
    store = FlowStore(10)
    store.touch(b"k" * 13, 0, 0.0, 300.0)
    store.touch(b"k" * 13, RST, 1.0, 300.0)
    store.touch(b"k" * 13, 0, 2.0, 300.0)
    assert sweep(store, 200.0) == 0
    assert b"k" * 13 in store


def test_pointers_are_limited_and_the_oldest_are_evicted():
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


def test_owners_of_pointers_are_limited():
    store = PointerStore(10 * MAX_OWNERS)
    for number in range(MAX_OWNERS + 10):
        owner = Owner(number, number, ("127.0.0.1", 3), 4)
        store.add(b"%013d" % number, owner, 50.0)
        assert store.find(b"%013d" % number) == owner
    assert len(store) <= MAX_OWNERS


def test_deadlines_are_limited_and_expire_in_order():
    store = DeadlineStore(2)
    for number in range(3):
        store.add(b"%d" % number, float(number))
    assert store.find(b"0") is None
    store.expire(1.5)
    assert store.find(b"1") is None
    assert store.find(b"2") == 2.0


def test_the_caller_check_follows_the_networks_and_its_cache_is_limited():
    admit = make_caller_check(("10.1.0.0/16", "10.9.9.9/32"))
    assert admit(bytes([10, 1, 200, 3]))
    assert admit(bytes([10, 9, 9, 9]))
    assert not admit(bytes([10, 9, 9, 8]))
    assert not make_caller_check(())(bytes([10, 1, 0, 1]))
    for number in range(MAX_CACHED_CALLERS + 5):
        assert not admit(number.to_bytes(4, "big"))
    assert admit(bytes([10, 1, 200, 3]))


def test_a_peer_with_an_old_or_unknown_load_is_not_preferred():
    loads = PeerLoads()
    assert not loads.is_less_loaded(5.0, 1, 0.0)
    loads.update(1, 1.0, 0.0)
    assert loads.is_less_loaded(5.0, 1, 1.0)
    assert not loads.is_less_loaded(1.0, 1, 1.0)
    assert not loads.is_less_loaded(5.0, 1, MAX_LOAD_AGE_SECONDS)
    loads.update(1, 1.0, 0.0)
    loads.add_flow(1, 5.0)
    assert not loads.is_less_loaded(5.0, 1, 1.0)
