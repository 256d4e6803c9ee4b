"""Serialize the state of a record store and restore it."""

from dataclasses import dataclass

from returns.result import Result

from ...exceptions import Fault
from ...model.configuration import ServiceSlice
from ...model.record import Record, RecordKind
from ...model.target import Target
from ...protocol.codec import decode, encode
from .commands import decode_body
from .history import History, HistoryEntry
from .idempotency import CachedOutcome, OutcomeCache
from .record_set import RecordSet, StoredRecord
from .store import RecordStore


@dataclass(frozen=True, slots=True)
class SnapshotRecord:
    """One record; ``body`` is in MessagePack."""

    kind: RecordKind
    business: str
    name: str
    schema_version: int
    revision: int
    body: bytes
    document: str


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """The whole state of a record store, which must survive log compaction.

    ``answers`` is the outcome cache, ``deadlines`` the state of the rate limit.
    """

    revision: int
    next_service: int
    next_incarnation: int
    records: tuple[SnapshotRecord, ...]
    targets: tuple[Target, ...]
    slices: tuple[ServiceSlice, ...]
    deadlines: dict[str, float]
    answers: tuple[CachedOutcome, ...]
    history: tuple[HistoryEntry, ...]


def take_snapshot(store: RecordStore) -> bytes:
    """Return the whole state of the store, serialized."""
    snapshot = StoreSnapshot(
        revision=store.revision,
        next_service=store.record_set.next_service_number,
        next_incarnation=store.next_incarnation,
        records=tuple(
            _pack_record(stored) for stored in store.record_set.records.values()
        ),
        targets=store.list_targets(),
        slices=tuple(store.slices.values()),
        deadlines=dict(store.rate_limit_full_at),
        answers=store.outcome_cache.list_outcomes(),
        history=store.history.list_entries(),
    )
    return encode(snapshot)


def read_snapshot(data: bytes) -> Result[RecordStore, Fault]:
    """Return a store restored from the snapshot; fail if it cannot be decoded."""
    return decode(data, StoreSnapshot).map(_restore_store)


def _restore_store(snapshot: StoreSnapshot) -> RecordStore:
    record_set = RecordSet()
    for packed in snapshot.records:
        record_set.put(_unpack_record(packed))
    record_set.next_service_number = snapshot.next_service
    store = RecordStore()
    store.record_set = record_set
    for target in snapshot.targets:
        key = (target.announcement.business, target.announcement.service)
        store.targets[key] = (*store.targets.get(key, ()), target)
    store.next_incarnation = snapshot.next_incarnation
    store.slices = {slice_.number: slice_ for slice_ in snapshot.slices}
    store.revision = snapshot.revision
    store.rate_limit_full_at = snapshot.deadlines
    store.outcome_cache = OutcomeCache(snapshot.answers)
    store.history = History(snapshot.history)
    return store


def _pack_record(stored: StoredRecord) -> SnapshotRecord:
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


def _unpack_record(packed: SnapshotRecord) -> StoredRecord:
    record = Record(
        packed.kind,
        packed.business,
        packed.name,
        packed.schema_version,
        packed.revision,
        decode_body(packed.kind, packed.body),
    )
    return StoredRecord(record, packed.document)
