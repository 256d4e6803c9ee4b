"""Keep the hard state, the log and the newest snapshot of one host.

Files: ``wal-N`` (the newest N counts), ``snapshot-INDEX``, ``identity``. A wal file
starts with one frame that holds the whole state at its making, so older files are
never needed; each later frame holds what one sync made durable.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from ...coordination.consensus.messages import Entry, HardState, LogBase, Snapshot
from ...exceptions import Fault, StorageError
from ...helpers.logging import log_event, warn_event
from ...protocol.codec import decode, encode
from .files import TEMPORARY_SUFFIX, Files, write_whole
from .frames import make_frame, scan_frames

WAL_PREFIX = "wal-"
SNAPSHOT_PREFIX = "snapshot-"
IDENTITY_NAME = "identity"
KindT = TypeVar("KindT")


@dataclass(frozen=True, slots=True)
class Identity:
    """Name the host and the disk that its data lie on."""

    name: str
    disk: str


@dataclass(frozen=True, slots=True)
class Batch:
    """Hold what one sync makes durable.

    Entries replace all earlier ones from their first index on; ``base`` is there only
    at the head of a file.
    """

    hard: HardState
    entries: tuple[Entry, ...] = ()
    base: LogBase | None = None


@dataclass(frozen=True, slots=True)
class Recovered:
    """Hold what was found on disk."""

    identity: Identity
    hard: HardState
    base: LogBase
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None


class Store:
    """Own the files of one host."""

    def __init__(self, files: Files) -> None:
        self._files = files
        self._generation = 0
        self._sequence = 0
        self._bytes = 0
        self._dirty = False

    @property
    def log_bytes(self) -> int:
        """Return the size of the present wal file."""
        return self._bytes

    def free_bytes(self) -> int:
        """Return the disk space that is left."""
        return self._files.free_bytes()

    def recover(self, name: str, draw_disk: Callable[[], str]) -> Recovered:
        """Read the folder; raise StorageError when something accepted is missing."""
        self._remove_temporaries()
        names = self._files.list()
        snapshot = self._read_snapshot(names)
        wals = [found for found in names if found.startswith(WAL_PREFIX)]
        if not wals:
            self._check_empty(names)
            self._start_file(Batch(HardState(), (), LogBase()))
            return self._finish(name, draw_disk, HardState(), LogBase(), (), None)
        hard, base, entries = self._read_wal(wals[-1])
        for old in wals[:-1]:
            self._files.remove(old)
        joined, entries = _join(base, entries, snapshot)
        if joined != base:
            # The file still holds the log that the snapshot replaced. What is written
            # behind it would not follow on, and the next start would refuse it.
            base = joined
            self._start_file(Batch(hard, entries, base))
        return self._finish(name, draw_disk, hard, base, entries, snapshot)

    def write(self, batch: Batch) -> None:
        """Add a batch to the log; it lasts after ``sync``."""
        if self._dirty:
            raise AssertionError("a batch must be synced before the next is written")
        frame = make_frame(self._sequence, encode(batch))
        self._files.append(self._wal_name(), frame)
        self._sequence += 1
        self._bytes += len(frame)
        self._dirty = True

    def sync(self) -> None:
        """Return when the last batch is on disk."""
        if not self._dirty:
            return
        self._files.sync(self._wal_name())
        self._dirty = False

    def save_snapshot(
        self,
        snapshot: Snapshot,
        hard: HardState,
        base: LogBase,
        entries: tuple[Entry, ...],
    ) -> None:
        """Write a snapshot, then start a log file that holds only what is given.

        The snapshot is durable under its name before the old log goes, so a crash at
        any step leaves either the old pair or the new one.
        """
        name = f"{SNAPSHOT_PREFIX}{snapshot.index:020d}"
        write_whole(self._files, name, make_frame(0, encode(snapshot)))
        self._start_file(Batch(hard, entries, base))
        for found in self._files.list():
            if found.startswith(SNAPSHOT_PREFIX) and found != name:
                self._files.remove(found)
        self._files.sync_folder()

    def close(self) -> None:
        """Close the files and free the folder."""
        self._files.close()

    def _wal_name(self) -> str:
        return f"{WAL_PREFIX}{self._generation:020d}"

    def _start_file(self, head: Batch) -> None:
        old = self._wal_name()
        self._generation += 1
        frame = make_frame(0, encode(head))
        write_whole(self._files, self._wal_name(), frame)
        self._sequence = 1
        self._bytes = len(frame)
        self._dirty = False
        if old in self._files.list():
            self._files.remove(old)

    def _remove_temporaries(self) -> None:
        for name in self._files.list():
            if name.endswith(TEMPORARY_SUFFIX):
                self._files.remove(name)

    def _read_wal(self, name: str) -> tuple[HardState, LogBase, tuple[Entry, ...]]:
        self._generation = int(name.removeprefix(WAL_PREFIX))
        data = self._files.read(name)
        scan = scan_frames(name, data)
        if not scan.payloads:
            reason = "no sound record at offset 0; this host must be replaced"
            raise StorageError(Fault("recover file", name, reason))
        if scan.end < len(data):
            self._files.truncate(name, scan.end)
            self._files.sync(name)
            warn_event("torn_tail_cut", file=name, offset=scan.end, size=len(data))
        self._sequence = len(scan.payloads)
        self._bytes = scan.end
        return _replay([_decode(name, payload, Batch) for payload in scan.payloads])

    def _read_snapshot(self, names: list[str]) -> Snapshot | None:
        found = [name for name in names if name.startswith(SNAPSHOT_PREFIX)]
        if not found:
            return None
        # The name appears only after the content was synced: any fault is damage.
        scan = scan_frames(found[-1], self._files.read(found[-1]))
        if not scan.payloads:
            reason = "checksum fault at offset 0; this host must be replaced"
            raise StorageError(Fault("recover file", found[-1], reason))
        return _decode(found[-1], scan.payloads[0], Snapshot)

    def _check_empty(self, names: list[str]) -> None:
        # The log is made before the identity: an identity without a log means that
        # the log was lost. Going on would let this host vote a second time.
        if names:
            reason = f"found {', '.join(names)} but no log; this host must be replaced"
            raise StorageError(Fault("recover folder", WAL_PREFIX, reason))

    def _finish(
        self,
        name: str,
        draw_disk: Callable[[], str],
        hard: HardState,
        base: LogBase,
        entries: tuple[Entry, ...],
        snapshot: Snapshot | None,
    ) -> Recovered:
        identity = self._read_identity(name)
        if identity is None:
            if hard != HardState() or entries or snapshot:
                reason = "the log is there but not the identity of its disk"
                raise StorageError(Fault("recover folder", IDENTITY_NAME, reason))
            identity = Identity(name, draw_disk())
            write_whole(self._files, IDENTITY_NAME, make_frame(0, encode(identity)))
            log_event("disk_identity_drawn", host=name, disk=identity.disk)
        return Recovered(identity, hard, base, entries, snapshot)

    def _read_identity(self, name: str) -> Identity | None:
        if IDENTITY_NAME not in self._files.list():
            return None
        scan = scan_frames(IDENTITY_NAME, self._files.read(IDENTITY_NAME))
        if not scan.payloads:
            reason = "checksum fault at offset 0; this host must be replaced"
            raise StorageError(Fault("recover file", IDENTITY_NAME, reason))
        identity = _decode(IDENTITY_NAME, scan.payloads[0], Identity)
        if identity.name != name:
            reason = f"the data are of host {identity.name!r}, settings say {name!r}"
            raise StorageError(Fault("recover file", IDENTITY_NAME, reason))
        return identity


def _decode(name: str, payload: bytes, kind: type[KindT]) -> KindT:
    result = decode(payload, kind)
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
            place = entry.index - base.index - 1
            if not 0 <= place <= len(entries):
                reason = f"entry {entry.index} does not follow the log"
                raise StorageError(Fault("recover log", WAL_PREFIX, reason))
            del entries[place:]
            entries.append(entry)
    return batches[-1].hard, base, tuple(entries)


def _join(
    base: LogBase, entries: tuple[Entry, ...], snapshot: Snapshot | None
) -> tuple[LogBase, tuple[Entry, ...]]:
    """Drop a log that a newer snapshot replaced just before a crash."""
    if snapshot is None or snapshot.index <= base.index:
        return base, entries
    place = snapshot.index - base.index - 1
    if place < len(entries) and entries[place].term == snapshot.term:
        return base, entries
    return LogBase(snapshot.index, snapshot.term, snapshot.membership), ()
