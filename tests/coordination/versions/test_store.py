"""The highest version is stored, for any order and any duplicates of changes."""

from hypothesis import given, strategies as st

from ibisshunt.coordination.versions import VersionStore, decode_put_outcome, encode_put

PUTS = st.lists(st.tuples(st.integers(1, 6), st.binary(max_size=4)), max_size=20)


@given(PUTS)
def test_the_first_content_of_the_highest_version_is_stored(puts):
    # Operators race: versions arrive out of order, repeatedly and with other content.
    # The stored version never decreases, and its content never changes.
    store = VersionStore()
    stored = (0, b"")
    for index, (version, body) in enumerate(puts):
        outcome = decode_put_outcome(store.apply(index, encode_put(version, body)))
        if version > stored[0]:
            stored = (version, body)
            assert outcome.is_accepted
        else:
            assert not outcome.is_accepted
        assert outcome.current_version == stored[0]
        assert (store.version, store.body) == stored


@given(PUTS)
def test_a_snapshot_contains_the_whole_state(puts):
    store, copy = VersionStore(), VersionStore()
    for index, (version, body) in enumerate(puts):
        store.apply(index, encode_put(version, body))
    copy.restore(store.take_snapshot())
    assert (copy.version, copy.body) == (store.version, store.body)
