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
# How often a write to a full disk is tried again; the host is out of service meanwhile.
FULL_PAUSE_SECONDS = 0.1
Run = Callable[[Callable[..., Any], tuple[Any, ...]], Any]
Pause = Callable[[float], None]


class Files(Protocol):
    """Offer the operations that the store needs, by file name.

    Bytes last only after ``sync``; new, renamed and removed names only after
    ``sync_folder``. Tests put a fake in its place that loses what was not synced.
    """

    def list(self) -> list[str]:
        """Return the names of all files."""

    def read(self, name: str) -> bytes:
        """Return the whole content."""

    def append(self, name: str, data: bytes) -> None:
        """Write at the end of a file, which is made when it is not there."""

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to ``size`` bytes."""

    def sync(self, name: str) -> None:
        """Return when the bytes written so far last."""

    def sync_folder(self) -> None:
        """Return when the names last."""

    def rename(self, old: str, new: str) -> None:
        """Give a file another name in one step."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def free_bytes(self) -> int:
        """Return the space that is left."""

    def close(self) -> None:
        """Let go of the folder."""


def write_whole(files: Files, name: str, data: bytes) -> None:
    """Write a file so that its name appears only with its whole content."""
    temporary = name + TEMPORARY_SUFFIX
    if temporary in files.list():
        files.remove(temporary)
    files.append(temporary, data)
    files.sync(temporary)
    files.rename(temporary, name)
    files.sync_folder()


def run_here(function: Callable[..., Any], args: tuple[Any, ...]) -> Any:
    """Run a blocking call in the calling thread."""
    return function(*args)


class DiskFiles:
    """Keep files in a folder on disk, locked against other processes.

    ``run`` executes a blocking sync, for example in a thread pool so that other tasks
    go on meanwhile. With ``pause``, which waits for so many seconds, a write to a full
    disk is tried until there is room; without it raises StorageError.
    """

    def __init__(
        self, folder: Path, run: Run = run_here, pause: Pause | None = None
    ) -> None:
        self._folder = folder
        self._run = run
        self._pause = pause
        self._handles: dict[str, int] = {}
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._lock = os.open(folder / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        except OSError as error:
            raise _explain("open data folder", str(folder), error) from error
        self._take_lock()

    def _take_lock(self) -> None:
        # Two processes on one folder would both write the log and vote twice under
        # one identity. The kernel frees the lock when the process ends.
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock)
            reason = "another process uses this data folder"
            fault = Fault("lock data folder", str(self._folder), reason)
            raise StorageError(fault) from error

    def list(self) -> list[str]:
        """Return the names of all files but the lock; folders belong to others."""
        with os.scandir(self._folder) as entries:
            names = [entry.name for entry in entries if entry.is_file()]
        return sorted(name for name in names if name != LOCK_NAME)

    def read(self, name: str) -> bytes:
        """Return the whole content."""
        with self._explaining("read file", name):
            return (self._folder / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Write at the end; a write that fails is cut off again.

        A host that waits for room promises nothing meanwhile and answers nobody, as
        if it were cut off: the others elect a leader that can write. Ending the
        process instead would bring nothing back sooner.
        """
        told = False
        while True:
            try:
                self._append_once(name, data)
            except StorageError as error:
                if self._pause is None or not _is_full(error):
                    raise
                if not told:
                    warn_event("disk_full_waiting", file=name, bytes=len(data))
                told = True
                self._pause(FULL_PAUSE_SECONDS)
                continue
            if told:
                log_event("disk_full_over", file=name)
            return

    def _append_once(self, name: str, data: bytes) -> None:
        handle = self._open(name)
        size = os.fstat(handle).st_size
        try:
            written = 0
            while written < len(data):
                written += os.write(handle, data[written:])
        except OSError as error:
            os.ftruncate(handle, size)
            raise _explain("write file", str(self._folder / name), error) from error

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to ``size`` bytes."""
        with self._explaining("truncate file", name):
            os.ftruncate(self._open(name), size)

    def sync(self, name: str) -> None:
        """Return when the bytes last; a failed sync is never tried again.

        After a failed fsync the kernel may drop the dirty pages and report success
        the next time, so that a retry would claim bytes that are not there.
        """
        with self._explaining("sync file", name):
            self._run(os.fsync, (self._open(name),))

    def sync_folder(self) -> None:
        """Return when names last."""
        handle = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            self._run(os.fsync, (handle,))
        except OSError as error:
            raise _explain("sync folder", str(self._folder), error) from error
        finally:
            os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Give a file another name in one step."""
        self._forget(old)
        self._forget(new)
        with self._explaining("rename file", old):
            os.rename(self._folder / old, self._folder / new)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._forget(name)
        with self._explaining("remove file", name):
            os.unlink(self._folder / name)

    def free_bytes(self) -> int:
        """Return the space that an ordinary user may still fill."""
        found = os.statvfs(self._folder)
        return found.f_bavail * found.f_frsize

    def close(self) -> None:
        """Close all files and free the lock."""
        for name in tuple(self._handles):
            self._forget(name)
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def _open(self, name: str) -> int:
        if name not in self._handles:
            flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
            with self._explaining("open file", name):
                self._handles[name] = os.open(self._folder / name, flags, 0o600)
        return self._handles[name]

    @contextmanager
    def _explaining(self, step: str, name: str) -> Iterator[None]:
        """Turn an error of the system into one that names step and file."""
        try:
            yield
        except OSError as error:
            raise _explain(step, str(self._folder / name), error) from error

    def _forget(self, name: str) -> None:
        handle = self._handles.pop(name, None)
        if handle is not None:
            os.close(handle)


def _is_full(error: StorageError) -> bool:
    cause = error.__cause__
    return isinstance(cause, OSError) and cause.errno == errno.ENOSPC


def _explain(step: str, path: str, error: OSError) -> StorageError:
    reason = error.strerror or str(error)
    if error.errno == errno.ENOSPC:
        reason = "disk full, nothing accepted was lost; free space and start again"
    return StorageError(Fault(step, path, reason))
