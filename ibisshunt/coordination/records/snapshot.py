"""Turn the state of a record store into bytes and back."""

from dataclasses import dataclass

from returns.result import Result

from ...exceptions import Fault
from ...model.configuration import ServiceSlice
from ...model.record import Record, RecordKind
from ...model.target import Target
from ...protocol.codec import decode, encode
from .answers import Answer, AnswerBook
from .commands import decode_body
from .draft import Draft, StoredRecord
from .history import Entry, History
from .store import RecordStore


@dataclass(frozen=True, slots=True)
class SnapshotRecord:
    """Hold one record; ``body`` is in MessagePack."""

    kind: RecordKind
    business: str
    name: str
    schema_version: int
    revision: int
    body: bytes
    document: str


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """Hold all that a record store must keep when the log is compacted."""

    revision: int
    next_service: int
    next_incarnation: int
    records: tuple[SnapshotRecord, ...]
    targets: tuple[Target, ...]
    slices: tuple[ServiceSlice, ...]
    deadlines: dict[str, float]
    answers: tuple[Answer, ...]
    history: tuple[Entry, ...]


def take_snapshot(store: RecordStore) -> bytes:
    """Return the whole state of the store."""
    snapshot = StoreSnapshot(
        revision=store.revision,
        next_service=store.draft.next_service,
        next_incarnation=store.next_incarnation,
        records=tuple(_pack(stored) for stored in store.draft.records.values()),
        targets=store.list_targets(),
        slices=tuple(store.slices.values()),
        deadlines=dict(store.deadlines),
        answers=store.answers.list_answers(),
        history=store.history.list_entries(),
    )
    return encode(snapshot)


def read_snapshot(data: bytes) -> Result[RecordStore, Fault]:
    """Return a store in the state of the snapshot."""
    return decode(data, StoreSnapshot).map(_build)


def _build(snapshot: StoreSnapshot) -> RecordStore:
    draft = Draft()
    for packed in snapshot.records:
        draft.put(_unpack(packed))
    draft.next_service = snapshot.next_service
    store = RecordStore()
    store.draft = draft
    for target in snapshot.targets:
        key = (target.announcement.business, target.announcement.service)
        store.targets[key] = (*store.targets.get(key, ()), target)
    store.next_incarnation = snapshot.next_incarnation
    store.slices = {found.number: found for found in snapshot.slices}
    store.revision = snapshot.revision
    store.deadlines = snapshot.deadlines
    store.answers = AnswerBook(snapshot.answers)
    store.history = History(snapshot.history)
    return store


def _pack(stored: StoredRecord) -> SnapshotRecord:
    record = stored.record
    return SnapshotRecord(
        record.kind,
        record.business,
        record.name,
        record.schema_version,
        record.revision,
        encode(record.body),
        stored.document,
    )


def _unpack(packed: SnapshotRecord) -> StoredRecord:
    record = Record(
        packed.kind,
        packed.business,
        packed.name,
        packed.schema_version,
        packed.revision,
        decode_body(packed.kind, packed.body),
    )
    return StoredRecord(record, packed.document)
