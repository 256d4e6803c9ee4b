"""The last acknowledged change of a failure domain survives late duplicates."""

from hypothesis import given, seed, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from msgspec import msgpack

from ibisshunt.coordination.versions import (
    DrainedDomainStore,
    FleetState,
    PutVersion,
    decode_domain_outcome,
    decode_put_outcome,
    encode_domain_command,
    encode_put,
)
from ibisshunt.coordination.versions.domains import encode_domain_change
from ibisshunt.model.domains import DrainedDomains

DOMAINS = ("moin-a", "moin-b", "cieneguita")


def apply(store, index, domain, is_drained, known_revision):
    return decode_domain_outcome(
        store.apply(index, encode_domain_change(domain, is_drained, known_revision))
    )


def test_a_duplicate_of_a_change_is_acknowledged_without_a_new_effect():
    store = DrainedDomainStore()
    first = apply(store, 5, "moin-a", True, 0)
    again = apply(store, 6, "moin-a", True, 0)
    assert (first.is_applied, first.changed) == (True, True)
    assert (again.is_applied, again.changed) == (True, False)
    assert store.list_drained() == DrainedDomains(5, ("moin-a",))


def test_a_late_duplicate_does_not_drain_a_domain_that_was_reopened_since():
    # A suspended host proposes a duplicate of the drain after the reopening was
    # committed.
    store = DrainedDomainStore()
    apply(store, 5, "moin-a", True, 0)
    apply(store, 6, "moin-a", False, 5)
    assert not apply(store, 7, "moin-a", True, 0).is_applied
    assert store.list_drained() == DrainedDomains(6, ())


def test_a_late_duplicate_does_not_reopen_a_domain_that_was_drained_again():
    # The domain would get new flows although its second drain was acknowledged.
    store = DrainedDomainStore()
    apply(store, 5, "moin-a", True, 0)
    apply(store, 6, "moin-a", False, 5)
    apply(store, 7, "moin-a", True, 6)
    assert not apply(store, 8, "moin-a", False, 5).is_applied
    assert store.list_drained() == DrainedDomains(7, ("moin-a",))


def test_changes_of_different_domains_are_independent():
    store = DrainedDomainStore()
    apply(store, 5, "moin-a", True, 0)
    assert apply(store, 6, "moin-b", True, 0).is_applied
    assert store.list_drained().domains == ("moin-a", "moin-b")


def test_a_snapshot_of_an_earlier_release_is_read():
    # Otherwise a control host cannot start after an upgrade.
    state = FleetState()
    state.restore(msgpack.encode(PutVersion(4, b"body")))
    assert (state.versions.version, state.versions.body) == (4, b"body")
    assert state.domains.list_drained() == DrainedDomains()


@given(st.integers(1, 2**40), st.binary(max_size=9))
def test_no_version_command_is_decoded_as_a_domain_change(version, body):
    state = FleetState()
    assert decode_put_outcome(state.apply(1, encode_put(version, body))).is_accepted
    assert state.domains.list_drained() == DrainedDomains()


def test_a_snapshot_contains_versions_and_domains():
    state, copy = FleetState(), FleetState()
    state.apply(1, encode_put(3, b"body"))
    state.apply(2, encode_domain_command("moin-a", True, 0))
    copy.restore(state.take_snapshot())
    assert copy.versions.version == 3
    assert copy.domains.list_drained() == DrainedDomains(2, ("moin-a",))
    assert copy.domains.find_revision("moin-a") == 2


# Examples are drawn from this seed instead of the source text, so rewording keeps them.
OPERATORS_MACHINE_SEED = int(
    "7fa8ae60031891708fed90c4c0654f2a7b3736469c31363d"
    "d510c23606913a2da5fa7972486ceef46fe212c4034e0be7",
    16,
)


@seed(OPERATORS_MACHINE_SEED)
class OperatorsMachine(RuleBasedStateMachine):
    """One operator changes domains; duplicates of its calls are applied at any time.

    The operator sends its next change of a domain once the previous one is
    acknowledged. A host may propose a call that it received at any later time or never.
    """

    def __init__(self):
        super().__init__()
        self.store = DrainedDomainStore()
        self.index = 0
        self.expected = {}
        # Calls that hosts have received and may still propose.
        self.calls = []

    @rule(domain=st.sampled_from(DOMAINS), is_drained=st.booleans())
    def change_domain(self, domain, is_drained):
        """Send a change until it is acknowledged; two more hosts receive duplicates."""
        known_revision = self.store.find_revision(domain)
        self.calls += [(domain, is_drained, known_revision)] * 2
        assert self._propose(domain, is_drained, known_revision).is_applied
        self.expected[domain] = is_drained

    @precondition(lambda self: self.calls)
    @rule(data=st.data())
    def propose_duplicate(self, data):
        """Let a host propose a duplicate that it received before."""
        call = data.draw(st.sampled_from(self.calls))
        self._propose(*call)

    @rule()
    def move_to_another_host(self):
        """Continue from a snapshot, as a host with an empty disk does."""
        fresh = DrainedDomainStore()
        fresh.restore(self.store.take_snapshot())
        self.store = fresh

    @invariant()
    def last_acknowledged_changes_are_applied(self):
        drained = {name for name, is_drained in self.expected.items() if is_drained}
        assert set(self.store.list_drained().domains) == drained

    def _propose(self, domain, is_drained, known_revision):
        self.index += 1
        return apply(self.store, self.index, domain, is_drained, known_revision)


TestOperators = OperatorsMachine.TestCase
TestOperators.settings = settings(max_examples=60, deadline=None)
