import random

import pytest
from hypothesis import given, strategies as st

from ibisshunt.components.storage.files import DiskFiles
from ibisshunt.components.storage.store import Batch, Store
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
    store = Store(files)
    return store, store.recover("c1", lambda: "disk-a")


def fill(store, count, first=1):
    for index in range(first, first + count):
        store.write(Batch(HardState("k", 1, "c1"), (make_entry(index),)))
        store.sync()


def wal_name(files):
    return next(name for name in files.list() if name.startswith("wal-"))


def test_what_was_synced_is_found_again_on_a_real_disk(tmp_path):
    files = DiskFiles(tmp_path / "data")
    store, found = open_store(files)
    assert found.identity.disk == "disk-a"
    fill(store, 3)
    store.write(Batch(HardState("k", 2, ""), (make_entry(2, 2, b"new"),)))
    store.sync()
    store.close()
    files = DiskFiles(tmp_path / "data")
    found = Store(files).recover("c1", lambda: "disk-b")
    files.close()
    assert found.identity.disk == "disk-a"
    assert found.hard == HardState("k", 2, "")
    # The entry of term 2 replaced the two that stood from its index on.
    assert found.entries == (make_entry(1), make_entry(2, 2, b"new"))


def test_two_processes_cannot_share_a_folder(tmp_path):
    files = DiskFiles(tmp_path)
    with pytest.raises(StorageError, match="another process"):
        DiskFiles(tmp_path)
    files.close()


def test_a_torn_tail_is_cut():
    # The power fails while the last record is written. Nothing was answered for it,
    # so the host starts without it and goes on behind the last sound record.
    files = MemoryFiles()
    store, _ = open_store(files)
    fill(store, 2)
    name = wal_name(files)
    whole = files.read(name)
    store.write(Batch(HardState("k", 1, "c1"), (make_entry(3),)))
    longer = files.read(name)
    for size in range(len(whole), len(longer)):
        files.contents[files.live[name]] = longer[:size]
        store, found = open_store(files)
        assert [entry.index for entry in found.entries] == [1, 2]
        assert files.read(name) == whole
    fill(store, 1, first=3)
    assert len(open_store(files)[1].entries) == 3


def test_any_damaged_byte_before_the_last_record_stops_the_start():
    # A disk returns wrong bytes for a record that was accepted long ago. Dropping it
    # and what follows would revert accepted changes without a word, so the host must
    # stop and name the file and the offset.
    files = MemoryFiles()
    store, _ = open_store(files)
    fill(store, 3)
    name = wal_name(files)
    whole = files.read(name)
    last = whole.rfind(b"IBWL")
    for offset in range(last):
        damaged = bytearray(whole)
        damaged[offset] ^= 0x10
        files.contents[files.live[name]] = bytes(damaged)
        with pytest.raises(StorageError, match=r"offset \d+") as caught:
            open_store(files)
        assert caught.value.fault.peer == name


def test_a_full_disk_loses_nothing(tmp_path):
    # The disk fills up: the write fails before anything is answered. After space was
    # freed the host starts with every record that was synced.
    files = MemoryFiles()
    store, _ = open_store(files)
    fill(store, 3)
    files.room = 10
    with pytest.raises(StorageError, match="disk full"):
        store.write(Batch(HardState("k", 1, "c1"), (make_entry(4),)))
    files.room = None
    assert len(open_store(files)[1].entries) == 3


def test_a_missing_log_or_identity_stops_the_start():
    # Someone clears the log but not the identity: the host would come back under its
    # old identity with no memory of its votes, and vote a second time in a term.
    files = MemoryFiles()
    store, _ = open_store(files)
    fill(store, 1)
    saved = dict(files.live)
    files.remove(wal_name(files))
    with pytest.raises(StorageError, match="no log"):
        open_store(files)
    files.live = saved
    files.remove("identity")
    with pytest.raises(StorageError, match="identity"):
        open_store(files)


def test_a_folder_of_another_host_is_refused():
    files = MemoryFiles()
    open_store(files)
    with pytest.raises(StorageError, match="settings say 'c2'"):
        Store(files).recover("c2", lambda: "disk-b")


def test_a_damaged_snapshot_stops_the_start():
    files = MemoryFiles()
    store, _ = open_store(files)
    fill(store, 3)
    base = LogBase(3, 1)
    store.save_snapshot(
        Snapshot(3, 1, base.membership, b"abc"), HardState("k"), base, ()
    )
    name = files.list()[1]
    files.contents[files.live[name]] = files.read(name)[:-1] + b"?"
    with pytest.raises(StorageError, match="checksum fault"):
        open_store(files)


def test_a_crash_between_snapshot_and_log_leaves_a_host_that_starts_twice():
    # Found by a storm (seed 699): a host takes a snapshot from the leader and loses
    # power when the snapshot has its name but the log is still the old one. It starts,
    # takes entries behind the snapshot, and must start with them once more.
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
    store, found = open_store(files)
    assert (found.base, found.entries) == (base, ())
    store.write(Batch(HardState("k", 5), (make_entry(11, 5),)))
    store.sync()
    assert open_store(files)[1].entries == (make_entry(11, 5),)


@given(st.integers(0, 2**32), st.integers(0, 60))
def test_a_crash_at_any_step_keeps_what_was_synced(seed, crash_after):
    # The process dies at any write, sync, rename or removal, also in the middle of a
    # compaction. What was synced before must be there, and nothing may be made up.
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
