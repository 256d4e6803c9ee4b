"""Store the hard state, the log and the newest snapshot of one host.

Files: ``wal-N`` (only the highest N is used), ``snapshot-INDEX``, ``identity``. The
first frame of a WAL file holds the complete hard state and log at its creation, so
older WAL files are not needed; each later frame holds the batch of one sync.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from ...coordination.consensus.messages import Entry, HardState, LogBase, Snapshot
from ...exceptions import Fault, StorageError
from ...helpers.logging import log_event, warn_event
from ...protocol.codec import decode, encode
from .files import TEMPORARY_SUFFIX, Files, write_atomically
from .frames import make_frame, scan_frames

WAL_PREFIX = "wal-"
SNAPSHOT_PREFIX = "snapshot-"
IDENTITY_NAME = "identity"
DecodedT = TypeVar("DecodedT")


@dataclass(frozen=True, slots=True)
class Identity:
    """Identify a host by its name and a random id of its data folder."""

    name: str
    disk: str


@dataclass(frozen=True, slots=True)
class Batch:
    """State that one sync makes durable.

    ``entries`` replace the log from their first index on. ``base`` is only set in the
    first batch of a file.
    """

    hard: HardState
    entries: tuple[Entry, ...] = ()
    base: LogBase | None = None


@dataclass(frozen=True, slots=True)
class RecoveredState:
    """State that was read from disk."""

    identity: Identity
    hard_state: HardState
    base: LogBase
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None


class LogStore:
    """Read and write the log, snapshot and identity files of one host."""

    def __init__(self, files: Files) -> None:
        self._files = files
        self._generation = 0
        self._sequence = 0
        self._wal_bytes = 0
        self._has_unsynced_batch = False

    @property
    def wal_bytes(self) -> int:
        """Return the size of the current WAL file in bytes."""
        return self._wal_bytes

    def count_free_bytes(self) -> int:
        """Return the free disk space in bytes."""
        return self._files.count_free_bytes()

    def recover(
        self, host_name: str, make_disk_id: Callable[[], str]
    ) -> RecoveredState:
        """Read the folder; raise StorageError if synced data is missing or damaged."""
        self._remove_temporaries()
        names = self._files.list()
        snapshot = self._read_snapshot(names)
        wal_names = [name for name in names if name.startswith(WAL_PREFIX)]
        if not wal_names:
            self._check_folder_empty(names)
            self._start_wal(Batch(HardState(), (), LogBase()))
            return self._finish_recovery(
                host_name, make_disk_id, HardState(), LogBase(), (), None
            )
        hard_state, base, entries = self._read_wal(wal_names[-1])
        for old_name in wal_names[:-1]:
            self._files.remove(old_name)
        reconciled_base, entries = _reconcile_with_snapshot(base, entries, snapshot)
        if reconciled_base != base:
            # The WAL file still holds the log that the snapshot replaced. Entries
            # appended to it would leave a gap, and the next start would fail.
            base = reconciled_base
            self._start_wal(Batch(hard_state, entries, base))
        return self._finish_recovery(
            host_name, make_disk_id, hard_state, base, entries, snapshot
        )

    def write(self, batch: Batch) -> None:
        """Append a batch to the WAL file; it is durable after ``sync``."""
        if self._has_unsynced_batch:
            raise AssertionError(
                "found an unsynced batch, expected a sync before the next write"
            )
        frame = make_frame(self._sequence, encode(batch))
        self._files.append(self._wal_name(), frame)
        self._sequence += 1
        self._wal_bytes += len(frame)
        self._has_unsynced_batch = True

    def sync(self) -> None:
        """Return once the last batch is durable."""
        if not self._has_unsynced_batch:
            return
        self._files.sync(self._wal_name())
        self._has_unsynced_batch = False

    def save_snapshot(
        self,
        snapshot: Snapshot,
        hard_state: HardState,
        base: LogBase,
        entries: tuple[Entry, ...],
    ) -> None:
        """Write a snapshot, then start a WAL file with the given state.

        The snapshot is durable before the old WAL file is removed, so after a crash at
        any step either the old state or the new one can be recovered.
        """
        name = f"{SNAPSHOT_PREFIX}{snapshot.index:020d}"
        write_atomically(self._files, name, make_frame(0, encode(snapshot)))
        self._start_wal(Batch(hard_state, entries, base))
        for file_name in self._files.list():
            if file_name.startswith(SNAPSHOT_PREFIX) and file_name != name:
                self._files.remove(file_name)
        self._files.sync_folder()

    def close(self) -> None:
        """Close the files and release the folder."""
        self._files.close()

    def _wal_name(self) -> str:
        return f"{WAL_PREFIX}{self._generation:020d}"

    def _start_wal(self, first_batch: Batch) -> None:
        old_name = self._wal_name()
        self._generation += 1
        frame = make_frame(0, encode(first_batch))
        write_atomically(self._files, self._wal_name(), frame)
        self._sequence = 1
        self._wal_bytes = len(frame)
        self._has_unsynced_batch = False
        if old_name in self._files.list():
            self._files.remove(old_name)

    def _remove_temporaries(self) -> None:
        for name in self._files.list():
            if name.endswith(TEMPORARY_SUFFIX):
                self._files.remove(name)

    def _read_wal(self, name: str) -> tuple[HardState, LogBase, tuple[Entry, ...]]:
        self._generation = int(name.removeprefix(WAL_PREFIX))
        data = self._files.read(name)
        scan = scan_frames(name, data)
        if not scan.payloads:
            reason = "no valid record at offset 0; this host must be replaced"
            raise StorageError(Fault("recover file", name, reason))
        if scan.valid_bytes < len(data):
            self._files.truncate(name, scan.valid_bytes)
            self._files.sync(name)
            warn_event(
                "torn_tail_cut", file=name, offset=scan.valid_bytes, size=len(data)
            )
        self._sequence = len(scan.payloads)
        self._wal_bytes = scan.valid_bytes
        return _replay([_decode(name, payload, Batch) for payload in scan.payloads])

    def _read_snapshot(self, names: list[str]) -> Snapshot | None:
        snapshot_names = [name for name in names if name.startswith(SNAPSHOT_PREFIX)]
        if not snapshot_names:
            return None
        # The file got this name only after its content was synced, so an invalid frame
        # is damage and not an interrupted write.
        scan = scan_frames(snapshot_names[-1], self._files.read(snapshot_names[-1]))
        if not scan.payloads:
            reason = "checksum mismatch at offset 0; this host must be replaced"
            raise StorageError(Fault("recover file", snapshot_names[-1], reason))
        return _decode(snapshot_names[-1], scan.payloads[0], Snapshot)

    def _check_folder_empty(self, names: list[str]) -> None:
        # The log is created before the identity, so an identity without a log means
        # that the log was lost. Starting anyway would let this host vote a second time.
        if names:
            reason = f"found {', '.join(names)} but no log; this host must be replaced"
            raise StorageError(Fault("recover folder", WAL_PREFIX, reason))

    def _finish_recovery(
        self,
        host_name: str,
        make_disk_id: Callable[[], str],
        hard_state: HardState,
        base: LogBase,
        entries: tuple[Entry, ...],
        snapshot: Snapshot | None,
    ) -> RecoveredState:
        identity = self._read_identity(host_name)
        if identity is None:
            if hard_state != HardState() or entries or snapshot:
                reason = "found a log but no identity file"
                raise StorageError(Fault("recover folder", IDENTITY_NAME, reason))
            identity = Identity(host_name, make_disk_id())
            write_atomically(
                self._files, IDENTITY_NAME, make_frame(0, encode(identity))
            )
            log_event("disk_identity_drawn", host=host_name, disk=identity.disk)
        return RecoveredState(identity, hard_state, base, entries, snapshot)

    def _read_identity(self, host_name: str) -> Identity | None:
        if IDENTITY_NAME not in self._files.list():
            return None
        scan = scan_frames(IDENTITY_NAME, self._files.read(IDENTITY_NAME))
        if not scan.payloads:
            reason = "checksum mismatch at offset 0; this host must be replaced"
            raise StorageError(Fault("recover file", IDENTITY_NAME, reason))
        identity = _decode(IDENTITY_NAME, scan.payloads[0], Identity)
        if identity.name != host_name:
            reason = f"found data of host {identity.name!r}, settings say {host_name!r}"
            raise StorageError(Fault("recover file", IDENTITY_NAME, reason))
        return identity


def _decode(name: str, payload: bytes, type_: type[DecodedT]) -> DecodedT:
    result = decode(payload, type_)
    if fault := result.swap().value_or(None):
        raise StorageError(Fault("recover file", name, fault.reason))
    return result.unwrap()


def _replay(
    batches: list[Batch],
) -> tuple[HardState, LogBase, tuple[Entry, ...]]:
    base = batches[0].base or LogBase()
    entries: list[Entry] = []
    for batch in batches:
        for entry in batch.entries:
            position = entry.index - base.index - 1
            if not 0 <= position <= len(entries):
                reason = f"entry {entry.index} does not follow the last index"
                raise StorageError(Fault("recover log", WAL_PREFIX, reason))
            del entries[position:]
            entries.append(entry)
    return batches[-1].hard, base, tuple(entries)


def _reconcile_with_snapshot(
    base: LogBase, entries: tuple[Entry, ...], snapshot: Snapshot | None
) -> tuple[LogBase, tuple[Entry, ...]]:
    """Drop a log that a newer snapshot replaced shortly before a crash."""
    if snapshot is None or snapshot.index <= base.index:
        return base, entries
    position = snapshot.index - base.index - 1
    if position < len(entries) and entries[position].term == snapshot.term:
        return base, entries
    return LogBase(snapshot.index, snapshot.term, snapshot.membership), ()
