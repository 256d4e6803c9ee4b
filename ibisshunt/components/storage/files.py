"""Write, sync and rename the files of one data folder."""

import errno
import fcntl
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Protocol

from ...exceptions import Fault, StorageError
from ...helpers.logging import log_event, warn_event

LOCK_NAME = "lock"
TEMPORARY_SUFFIX = ".tmp"
# Interval between attempts to write to a full disk; the host is unavailable meanwhile.
DISK_FULL_RETRY_SECONDS = 0.1
RunBlocking = Callable[[Callable[..., Any], tuple[Any, ...]], Any]
Sleep = Callable[[float], None]


class Files(Protocol):
    """Provide the file operations of a store, by file name.

    Content is durable only after ``sync``; created, renamed and removed names only
    after ``sync_folder``. Tests use a fake that loses whatever was not synced.
    """

    def list(self) -> list[str]:
        """Return the names of all files."""

    def read(self, name: str) -> bytes:
        """Return the whole content."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file; create it if it does not exist."""

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to ``size`` bytes."""

    def sync(self, name: str) -> None:
        """Return once the content written so far is durable."""

    def sync_folder(self) -> None:
        """Return once the names in the folder are durable."""

    def rename(self, old_name: str, new_name: str) -> None:
        """Rename a file atomically."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def count_free_bytes(self) -> int:
        """Return the free disk space in bytes."""

    def close(self) -> None:
        """Close all files and release the folder."""


def write_atomically(files: Files, name: str, data: bytes) -> None:
    """Write a file so that its name never appears with partial content."""
    temporary = name + TEMPORARY_SUFFIX
    if temporary in files.list():
        files.remove(temporary)
    files.append(temporary, data)
    files.sync(temporary)
    files.rename(temporary, name)
    files.sync_folder()


def run_inline(function: Callable[..., Any], args: tuple[Any, ...]) -> Any:
    """Run a blocking call in the calling thread."""
    return function(*args)


class DiskFiles:
    """Keep files in a folder on disk, locked against other processes.

    ``run_blocking`` executes a sync, for example in a thread pool so that other tasks
    continue meanwhile. With ``sleep``, which gets seconds, a write to a full disk is
    retried until there is space; without it the write raises StorageError.
    """

    def __init__(
        self,
        folder: Path,
        run_blocking: RunBlocking = run_inline,
        sleep: Sleep | None = None,
    ) -> None:
        self._folder = folder
        self._run_blocking = run_blocking
        self._sleep = sleep
        self._handles: dict[str, int] = {}
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._lock_handle = os.open(
                folder / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600
            )
        except OSError as error:
            raise _make_storage_error("open data folder", str(folder), error) from error
        self._acquire_lock()

    def _acquire_lock(self) -> None:
        # Two processes on one folder would both write the log and vote twice under one
        # identity. The kernel releases the lock when the process ends.
        try:
            fcntl.flock(self._lock_handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock_handle)
            reason = "another process uses this data folder"
            fault = Fault("lock data folder", str(self._folder), reason)
            raise StorageError(fault) from error

    def list(self) -> list[str]:
        """Return the names of all files except the lock; subfolders are ignored."""
        with os.scandir(self._folder) as entries:
            names = [entry.name for entry in entries if entry.is_file()]
        return sorted(name for name in names if name != LOCK_NAME)

    def read(self, name: str) -> bytes:
        """Return the whole content."""
        with self._translate_errors("read file", name):
            return (self._folder / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Append to a file; a failed write is rolled back.

        A host that waits for disk space acknowledges nothing and sends no replies, as
        if it were partitioned: the others elect a leader that can write. Ending the
        process instead would not restore service any sooner.
        """
        has_warned = False
        while True:
            try:
                self._append_once(name, data)
            except StorageError as error:
                if self._sleep is None or not _is_disk_full(error):
                    raise
                if not has_warned:
                    warn_event("disk_full_waiting", file=name, bytes=len(data))
                has_warned = True
                self._sleep(DISK_FULL_RETRY_SECONDS)
                continue
            if has_warned:
                log_event("disk_full_over", file=name)
            return

    def _append_once(self, name: str, data: bytes) -> None:
        handle = self._open_handle(name)
        size = os.fstat(handle).st_size
        try:
            written = 0
            while written < len(data):
                written += os.write(handle, data[written:])
        except OSError as error:
            os.ftruncate(handle, size)
            raise _make_storage_error(
                "write file", str(self._folder / name), error
            ) from error

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to ``size`` bytes."""
        with self._translate_errors("truncate file", name):
            os.ftruncate(self._open_handle(name), size)

    def sync(self, name: str) -> None:
        """Return once the content is durable; a failed sync is never retried.

        After a failed fsync the kernel may drop the dirty pages and report success
        the next time, so a retry could report data as durable that was lost.
        """
        with self._translate_errors("sync file", name):
            self._run_blocking(os.fsync, (self._open_handle(name),))

    def sync_folder(self) -> None:
        """Return once the names in the folder are durable."""
        handle = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            self._run_blocking(os.fsync, (handle,))
        except OSError as error:
            raise _make_storage_error(
                "sync folder", str(self._folder), error
            ) from error
        finally:
            os.close(handle)

    def rename(self, old_name: str, new_name: str) -> None:
        """Rename a file atomically."""
        self._close_handle(old_name)
        self._close_handle(new_name)
        with self._translate_errors("rename file", old_name):
            os.rename(self._folder / old_name, self._folder / new_name)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close_handle(name)
        with self._translate_errors("remove file", name):
            os.unlink(self._folder / name)

    def count_free_bytes(self) -> int:
        """Return the free disk space for unprivileged users, in bytes."""
        stats = os.statvfs(self._folder)
        return stats.f_bavail * stats.f_frsize

    def close(self) -> None:
        """Close all files and release the lock."""
        for name in tuple(self._handles):
            self._close_handle(name)
        if self._lock_handle >= 0:
            os.close(self._lock_handle)
            self._lock_handle = -1

    def _open_handle(self, name: str) -> int:
        if name not in self._handles:
            flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
            with self._translate_errors("open file", name):
                self._handles[name] = os.open(self._folder / name, flags, 0o600)
        return self._handles[name]

    @contextmanager
    def _translate_errors(self, step: str, name: str) -> Iterator[None]:
        """Turn an OSError into a StorageError that names the step and the file."""
        try:
            yield
        except OSError as error:
            raise _make_storage_error(step, str(self._folder / name), error) from error

    def _close_handle(self, name: str) -> None:
        handle = self._handles.pop(name, None)
        if handle is not None:
            os.close(handle)


def _is_disk_full(error: StorageError) -> bool:
    cause = error.__cause__
    return isinstance(cause, OSError) and cause.errno == errno.ENOSPC


def _make_storage_error(step: str, path: str, error: OSError) -> StorageError:
    reason = error.strerror or str(error)
    if error.errno == errno.ENOSPC:
        reason = "disk full, no accepted data was lost; free up space and restart"
    return StorageError(Fault(step, path, reason))
