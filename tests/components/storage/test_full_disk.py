"""A host on a full disk waits for room instead of ending, where it is asked to."""

import errno
import os

import pytest

from ibisshunt.components.storage.files import DiskFiles, run_here
from ibisshunt.exceptions import StorageError


@pytest.fixture
def full(monkeypatch):
    """Let the disk refuse the next writes; return how many are left to refuse."""
    left = [0]
    write = os.write

    def refuse(handle, data):
        if left[0]:
            left[0] -= 1
            raise OSError(errno.ENOSPC, "No space left on device")
        return write(handle, data)

    monkeypatch.setattr(os, "write", refuse)
    return left


def test_a_write_waits_until_there_is_room(tmp_path, full):
    # The disk takes no bytes for some seconds. Ended, the process would be started
    # again on the same full disk; the write must be whole once there is room.
    pauses = []
    files = DiskFiles(tmp_path, run_here, pauses.append)
    files.append("wal", b"first")
    full[0] = 3
    files.append("wal", b"second")
    assert len(pauses) == 3
    assert files.read("wal") == b"firstsecond"
    files.close()


def test_a_write_fails_at_once_where_nobody_waits(tmp_path, full):
    files = DiskFiles(tmp_path)
    full[0] = 1
    with pytest.raises(StorageError, match="disk full"):
        files.append("wal", b"first")
    assert files.read("wal") == b""
    files.close()


def test_folders_beside_the_files_are_no_files(tmp_path):
    # Another part of the process keeps its own folder below this one. Taken for a file
    # of the log, it would make an empty disk look like one whose log was lost, and the
    # host would never start.
    (tmp_path / "directory").mkdir()
    files = DiskFiles(tmp_path, run_here)
    assert files.list() == []
    files.close()
