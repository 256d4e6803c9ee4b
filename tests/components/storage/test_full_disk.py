"""A write to a full disk waits for free space where this is enabled."""

import errno
import os

import pytest

from ibisshunt.components.storage.files import DiskFiles, run_inline
from ibisshunt.exceptions import StorageError


@pytest.fixture
def failures_left(monkeypatch):
    """Let the next writes fail with ENOSPC; element 0 counts the failures left."""
    left = [0]
    write = os.write

    def refuse(handle, data):
        if left[0]:
            left[0] -= 1
            raise OSError(errno.ENOSPC, "No space left on device")
        return write(handle, data)

    monkeypatch.setattr(os, "write", refuse)
    return left


def test_a_write_waits_until_there_is_space(tmp_path, failures_left):
    # The disk is full for some seconds. Ending the process would only restart it on the
    # same full disk; the write must be complete once there is space.
    pauses = []
    files = DiskFiles(tmp_path, run_inline, pauses.append)
    files.append("wal", b"first")
    failures_left[0] = 3
    files.append("wal", b"second")
    assert len(pauses) == 3
    assert files.read("wal") == b"firstsecond"
    files.close()


def test_a_write_fails_at_once_without_a_sleep_function(tmp_path, failures_left):
    files = DiskFiles(tmp_path)
    failures_left[0] = 1
    with pytest.raises(StorageError, match="disk full"):
        files.append("wal", b"first")
    assert files.read("wal") == b""
    files.close()


def test_subfolders_are_not_listed_as_files(tmp_path):
    # Another component keeps its own folder below this one. Listed as a file of the
    # log, it would make an empty disk look like one that lost its log, and the host
    # would never start.
    (tmp_path / "directory").mkdir()
    files = DiskFiles(tmp_path, run_inline)
    assert files.list() == []
    files.close()
