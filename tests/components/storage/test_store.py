import random

import pytest
from hypothesis import given, strategies as st

from ibisshunt.components.storage.files import DiskFiles
from ibisshunt.components.storage.store import Batch, LogStore
from ibisshunt.coordination.consensus.messages import (
    Entry,
    EntryKind,
    HardState,
    LogBase,
    Snapshot,
)
from ibisshunt.exceptions import StorageError
from tests.components.storage.memory_files import CrashError, MemoryFiles


def make_entry(index, term=1, command=b"x"):
    return Entry(index, term, EntryKind.COMMAND, command)


def open_store(files):
    store = LogStore(files)
    return store, store.recover("c1", lambda: "disk-a")


def fill(store, count, first=1):
    for index in range(first, first + count):
        store.write(Batch(HardState("k", 1, "c1"), (make_entry(index),)))
        store.sync()


def wal_name(files):
    return next(name for name in files.list() if name.startswith("wal-"))


def test_synced_data_is_recovered_from_a_real_disk(tmp_path):
    files = DiskFiles(tmp_path / "data")
    store, recovered = open_store(files)
    assert recovered.identity.disk == "disk-a"
    fill(store, 3)
    store.write(Batch(HardState("k", 2, ""), (make_entry(2, 2, b"new"),)))
    store.sync()
    store.close()
    files = DiskFiles(tmp_path / "data")
    recovered = LogStore(files).recover("c1", lambda: "disk-b")
    files.close()
    assert recovered.identity.disk == "disk-a"
    assert recovered.hard_state == HardState("k", 2, "")
    # The entry of term 2 replaced the two entries from its index on.
    assert recovered.entries == (make_entry(1), make_entry(2, 2, b"new"))


def test_two_processes_cannot_share_a_folder(tmp_path):
    files = DiskFiles(tmp_path)
    with pytest.raises(StorageError, match="another process"):
        DiskFiles(tmp_path)
    files.close()


def test_a_torn_last_record_is_truncated():
    # Power fails while the last record is written. It was not acknowledged, so the host
    # starts without it and appends after the last valid record.
    files = MemoryFiles()
    store, _ = open_store(files)
    fill(store, 2)
    name = wal_name(files)
    original = files.read(name)
    store.write(Batch(HardState("k", 1, "c1"), (make_entry(3),)))
    longer = files.read(name)
    for size in range(len(original), len(longer)):
        files.contents[files.current_names[name]] = longer[:size]
        store, recovered = open_store(files)
        assert [entry.index for entry in recovered.entries] == [1, 2]
        assert files.read(name) == original
    fill(store, 1, first=3)
    assert len(open_store(files)[1].entries) == 3


def test_any_damaged_byte_before_the_last_record_stops_the_start():
    # A disk returns wrong bytes for a record that was accepted long ago. Dropping it
    # and the records after it would silently revert accepted changes, so the host must
    # not start and must report the file and the offset.
    files = MemoryFiles()
    store, _ = open_store(files)
    fill(store, 3)
    name = wal_name(files)
    original = files.read(name)
    last = original.rfind(b"IBWL")
    for offset in range(last):
        damaged = bytearray(original)
        damaged[offset] ^= 0x10
        files.contents[files.current_names[name]] = bytes(damaged)
        with pytest.raises(StorageError, match=r"offset \d+") as caught:
            open_store(files)
        assert caught.value.fault.peer == name


def test_a_full_disk_loses_nothing(tmp_path):
    # The disk fills up: the write fails before it is acknowledged. Once there is space
    # again, the host starts with every record that was synced.
    files = MemoryFiles()
    store, _ = open_store(files)
    fill(store, 3)
    files.free_space = 10
    with pytest.raises(StorageError, match="disk full"):
        store.write(Batch(HardState("k", 1, "c1"), (make_entry(4),)))
    files.free_space = None
    assert len(open_store(files)[1].entries) == 3


def test_a_missing_log_or_identity_stops_the_start():
    # Someone deletes the log but not the identity: the host would restart under its old
    # identity without its votes, and could vote a second time in a term.
    files = MemoryFiles()
    store, _ = open_store(files)
    fill(store, 1)
    saved = dict(files.current_names)
    files.remove(wal_name(files))
    with pytest.raises(StorageError, match="no log"):
        open_store(files)
    files.current_names = saved
    files.remove("identity")
    with pytest.raises(StorageError, match="identity"):
        open_store(files)


def test_a_folder_of_another_host_is_refused():
    files = MemoryFiles()
    open_store(files)
    with pytest.raises(StorageError, match="settings say 'c2'"):
        LogStore(files).recover("c2", lambda: "disk-b")


def test_a_damaged_snapshot_stops_the_start():
    files = MemoryFiles()
    store, _ = open_store(files)
    fill(store, 3)
    base = LogBase(3, 1)
    store.save_snapshot(
        Snapshot(3, 1, base.membership, b"abc"), HardState("k"), base, ()
    )
    name = files.list()[1]
    files.contents[files.current_names[name]] = files.read(name)[:-1] + b"?"
    with pytest.raises(StorageError, match="checksum mismatch"):
        open_store(files)


def test_a_host_recovers_twice_after_a_crash_between_snapshot_and_log():
    # A host installs a snapshot from the leader and loses power after the snapshot file
    # was renamed but before the log was replaced. It starts, appends entries after the
    # snapshot, and must recover them at the next start (random schedule, seed 699).
    files = MemoryFiles()
    store, _ = open_store(files)
    base = LogBase(10, 5)
    snapshot = Snapshot(10, 5, base.membership, b"abc")
    files.crash_after = 4
    with pytest.raises(CrashError):
        store.save_snapshot(snapshot, HardState("k", 5), base, ())
    files.crash_after = None
    names = files.list()
    assert any(name.startswith("snapshot-") for name in names)
    store, recovered = open_store(files)
    assert (recovered.base, recovered.entries) == (base, ())
    store.write(Batch(HardState("k", 5), (make_entry(11, 5),)))
    store.sync()
    assert open_store(files)[1].entries == (make_entry(11, 5),)


@given(st.integers(0, 2**32), st.integers(0, 60))
def test_a_crash_at_any_step_keeps_what_was_synced(seed, crash_after):
    # The process crashes at any write, sync, rename or removal, also during compaction.
    # Everything that was synced must be found, and nothing that was never written.
    source = random.Random(seed)
    files = MemoryFiles(source)
    store, _ = open_store(files)
    written, synced, floor = 0, 0, 0
    files.crash_after = crash_after
    try:
        while True:
            if written and source.random() < 0.2:
                floor = written
                base = LogBase(floor, 1)
                data = str(floor).encode()
                store.save_snapshot(
                    Snapshot(floor, 1, base.membership, data),
                    HardState("k", 1),
                    base,
                    (),
                )
                continue
            written += 1
            store.write(Batch(HardState("k", 1), (make_entry(written),)))
            store.sync()
            synced = written
    except CrashError:
        files.crash()
    store, found = open_store(files)
    last = found.base.index + len(found.entries)
    assert synced <= last <= written
    start = found.snapshot.index if found.snapshot else 0
    assert found.base.index <= start
    assert [entry.index for entry in found.entries] == list(
        range(found.base.index + 1, last + 1)
    )
    fill(store, 2, first=last + 1)
