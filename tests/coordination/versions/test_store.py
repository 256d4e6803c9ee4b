"""The highest version is in force, whatever the order and the copies of changes."""

from hypothesis import given, strategies as st

from ibisshunt.coordination.versions import VersionStore, decode_outcome, encode_put

PUTS = st.lists(st.tuples(st.integers(1, 6), st.binary(max_size=4)), max_size=20)


@given(PUTS)
def test_the_first_content_of_the_highest_version_is_held(puts):
    # Operators race: versions come out of order, again, and with other content. What
    # is held never goes back, and a version that is held never changes its content.
    store = VersionStore()
    held = (0, b"")
    for index, (version, body) in enumerate(puts):
        outcome = decode_outcome(store.apply(index, encode_put(version, body)))
        if version > held[0]:
            held = (version, body)
            assert outcome.taken
        else:
            assert not outcome.taken
        assert outcome.held == held[0]
        assert (store.version, store.body) == held


@given(PUTS)
def test_a_snapshot_holds_all(puts):
    store, copy = VersionStore(), VersionStore()
    for index, (version, body) in enumerate(puts):
        store.apply(index, encode_put(version, body))
    copy.restore(store.take_snapshot())
    assert (copy.version, copy.body) == (store.version, store.body)
