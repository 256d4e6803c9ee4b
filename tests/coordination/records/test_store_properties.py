"""Compare the record store with a simple model under random histories."""

from hypothesis import seed, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ibisshunt.coordination.records.snapshot import read_snapshot, take_snapshot
from ibisshunt.coordination.records.store import RecordStore

from .factory import Driver, announce, business, change, delete, service

NAMES = st.sampled_from(["booking", "docs", "passes"])
SLOTS = st.integers(1, 3)
AGE = st.integers(0, 2)


# Examples are drawn from this seed instead of the source text, so rewording keeps them.
RECORD_HISTORY_SEED = int(
    "b96365621f8fa48ba82ac9f8c5cf45ebbf9747a318e8a94b"
    "efd9dd57bacd5deb113a4e974ff87e459b76ef00084c84d0",
    16,
)


@seed(RECORD_HISTORY_SEED)
class RecordHistory(RuleBasedStateMachine):
    """Write, race, retry, compact; a replica applies the same log without snapshots."""

    def __init__(self):
        super().__init__()
        self.driver = Driver()
        self.replica = RecordStore()
        self.sent = []
        self.model = {}
        self.numbers = set()
        self.incarnations = set()
        self.apply(change(business("marea"), operation="setup"))

    def apply(self, command):
        outcome = self.driver.apply(command)
        assert self.replica.apply(self.driver.index, command) == outcome
        return outcome

    def write(self, document, name, body, expected):
        command = change(document, operation=f"o{len(self.sent)}")
        current = self.model.get(name, (0, None))
        outcome = self.apply(command)
        self.sent.append((command, outcome))
        error = outcome.results[0].error
        if expected is not None and expected != current[0]:
            assert "expected" in error
        elif body is None and current[1] is None:
            assert "does not exist" in error
        elif body is None and self.has_targets(name):
            assert "targets" in error
        else:
            assert error == ""
            self.record_write(name, body, current)

    def record_write(self, name, body, current):
        if body is None:
            del self.model[name]
        elif body != current[1]:
            self.model[name] = (self.driver.index, body)

    def has_targets(self, name):
        return bool(self.driver.store.targets.get(("marea", name)))

    def pick_expected(self, name, age):
        """Return None, the current revision, or one that may be outdated."""
        revision = self.model.get(name, (0, None))[0]
        return (None, revision, max(0, revision - 1))[age]

    @rule(name=NAMES, slots=SLOTS, age=AGE)
    def put(self, name, slots, age):
        expected = self.pick_expected(name, age)
        keys = {} if expected is None else {"expected_revision": expected}
        port = 80 + len(name)
        document = service("marea", name, port, slots=slots, **keys)
        self.write(document, name, slots, expected)

    @rule(name=NAMES, age=AGE)
    def remove(self, name, age):
        expected = self.pick_expected(name, age)
        keys = {} if expected is None else {"expected_revision": expected}
        self.write(delete("service", "marea", name, **keys), name, None, expected)

    @rule(data=st.data())
    def retry(self, data):
        if not self.sent:
            return
        command, outcome = data.draw(st.sampled_from(self.sent))
        before = take_snapshot(self.driver.store)
        assert self.apply(command) == outcome
        assert take_snapshot(self.driver.store) == before

    @rule(name=NAMES, session=st.sampled_from("abc"), leaving=st.booleans())
    def announce(self, name, session, leaving):
        outcome = self.apply(announce(leaving, session=session, service=name))
        self.incarnations.add((outcome.incarnation, name, session))

    @rule()
    def compact(self):
        self.driver.store = read_snapshot(take_snapshot(self.driver.store)).unwrap()

    @invariant()
    def records_match_the_model(self):
        stored_records = {
            stored.record.name: (stored.record.revision, stored.record.body.slots)
            for stored in self.driver.store.list_records("marea")
            if stored.record.name != "marea"
        }
        assert stored_records == self.model

    @invariant()
    def store_and_replica_agree(self):
        assert take_snapshot(self.replica) == take_snapshot(self.driver.store)
        assert self.replica.configuration == self.driver.store.configuration

    @invariant()
    def service_numbers_and_incarnations_are_not_reused(self):
        self.numbers |= {
            (slice_.number, slice_.service.name, self.count_deletions(slice_))
            for slice_ in self.driver.store.slices.values()
        }
        assert len({number for number, _, _ in self.numbers}) == len(self.numbers)
        used = {number for number, _, _ in self.incarnations if number}
        assert len(used) == sum(1 for entry in self.incarnations if entry[0])

    def count_deletions(self, slice_):
        """Count the deletions of a service, which distinguish its re-creations."""
        return sum(
            1
            for command, outcome in self.sent
            if not outcome.results[0].error
            and command.changes[0].name == slice_.service.name
            and not command.changes[0].body
        )


TestRecordHistory = RecordHistory.TestCase
