"""Orders for failure domains keep their order, whatever copies come late."""

from hypothesis import given, seed, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from msgspec import msgpack

from ibisshunt.coordination.versions import (
    DomainStore,
    FleetState,
    PutVersion,
    decode_domain_outcome,
    decode_outcome,
    encode_domain_command,
    encode_put,
)
from ibisshunt.coordination.versions.domains import encode_order
from ibisshunt.model.domains import DrainedDomains

DOMAINS = ("moin-a", "moin-b", "cieneguita")


def order(store, index, domain, is_drained, known):
    return decode_domain_outcome(
        store.apply(index, encode_order(domain, is_drained, known))
    )


def test_a_copy_of_an_order_is_acknowledged_again_without_a_new_effect():
    store = DomainStore()
    first = order(store, 5, "moin-a", True, 0)
    again = order(store, 6, "moin-a", True, 0)
    assert (first.in_force, first.changed) == (True, True)
    assert (again.in_force, again.changed) == (True, False)
    assert store.list_drained() == DrainedDomains(5, ("moin-a",))


def test_a_late_copy_of_a_start_does_not_drain_a_domain_that_was_opened_since():
    # Guards against a suspended host that proposes a copy after the end was accepted.
    store = DomainStore()
    order(store, 5, "moin-a", True, 0)
    order(store, 6, "moin-a", False, 5)
    assert not order(store, 7, "moin-a", True, 0).in_force
    assert store.list_drained() == DrainedDomains(6, ())


def test_a_late_copy_of_an_end_does_not_open_a_domain_that_was_drained_again():
    # Guards against new flows in a domain whose second evacuation was acknowledged.
    store = DomainStore()
    order(store, 5, "moin-a", True, 0)
    order(store, 6, "moin-a", False, 5)
    order(store, 7, "moin-a", True, 6)
    assert not order(store, 8, "moin-a", False, 5).in_force
    assert store.list_drained() == DrainedDomains(7, ("moin-a",))


def test_orders_for_one_domain_do_not_hold_up_those_for_another():
    store = DomainStore()
    order(store, 5, "moin-a", True, 0)
    assert order(store, 6, "moin-b", True, 0).in_force
    assert store.list_drained().domains == ("moin-a", "moin-b")


def test_a_snapshot_of_an_earlier_release_is_read():
    # Guards against a control host that cannot start after an upgrade.
    state = FleetState()
    state.restore(msgpack.encode(PutVersion(4, b"body")))
    assert (state.versions.version, state.versions.body) == (4, b"body")
    assert state.domains.list_drained() == DrainedDomains()


@given(st.integers(1, 2**40), st.binary(max_size=9))
def test_no_version_is_taken_for_an_order(version, body):
    state = FleetState()
    assert decode_outcome(state.apply(1, encode_put(version, body))).taken
    assert state.domains.list_drained() == DrainedDomains()


def test_a_snapshot_holds_versions_and_domains():
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
    """Let one operator order, and the copies of its orders come at any later time.

    The operator sends its next order for a domain once the former is acknowledged. Each
    call may be taken by a host at once and proposed whenever it likes, or never.
    """

    def __init__(self):
        super().__init__()
        self.store = DomainStore()
        self.index = 0
        self.wanted = {}
        # Calls that hosts took and have yet to propose.
        self.calls = []

    @rule(domain=st.sampled_from(DOMAINS), is_drained=st.booleans())
    def order(self, domain, is_drained):
        """Send an order until it is acknowledged; two more hosts have copies."""
        known = self.store.find_revision(domain)
        self.calls += [(domain, is_drained, known)] * 2
        assert self._propose(domain, is_drained, known).in_force
        self.wanted[domain] = is_drained

    @precondition(lambda self: self.calls)
    @rule(data=st.data())
    def propose_copy(self, data):
        """Let a host propose a copy that it took before."""
        call = data.draw(st.sampled_from(self.calls))
        self._propose(*call)

    @rule()
    def move_to_another_host(self):
        """Go on from a snapshot, as a host with an empty disk does."""
        fresh = DomainStore()
        fresh.restore(self.store.take_snapshot())
        self.store = fresh

    @invariant()
    def what_was_acknowledged_last_is_in_force(self):
        drained = {name for name, is_drained in self.wanted.items() if is_drained}
        assert set(self.store.list_drained().domains) == drained

    def _propose(self, domain, is_drained, known):
        self.index += 1
        return order(self.store, self.index, domain, is_drained, known)


TestOperators = OperatorsMachine.TestCase
TestOperators.settings = settings(max_examples=60, deadline=None)
