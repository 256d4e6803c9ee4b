"""Describe the log that the control host needs, and keep a log of one host."""

import os
import struct
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Final, Protocol

import crc32c
from returns.result import Failure, Result, Success

from ...exceptions import Fault, StorageError
from ...helpers.logging import warn_event

FRAME: Final = struct.Struct("!II")
JOURNAL_NAME: Final = "journal"


class Log(Protocol):
    """Agree on the order of commands and keep them."""

    def propose(self, command: bytes, timeout: float) -> Result[bytes, Fault]:
        """Return the state machine's reply once the command is applied."""
        ...

    def read_barrier(self, timeout: float) -> Result[int, Fault]:
        """Return once this host has applied all that was accepted before the call."""
        ...

    def leader(self) -> str:
        """Return the name of the leading host, or "" when none is known."""
        ...

    def stop(self) -> None:
        """Let go of files and sockets."""
        ...


@dataclass(frozen=True, slots=True)
class StateMachine:
    """Hold what the log does with the commands it has agreed on."""

    apply: Callable[[int, bytes], bytes]
    take_snapshot: Callable[[], bytes]
    restore: Callable[[bytes], None]


class Journal:
    """Keep the commands of a single host in one file, synced before any answer."""

    def __init__(self, name: str, folder: Path, machine: StateMachine) -> None:
        self._name = name
        self._machine = machine
        self._index = 0
        self._broken = ""
        folder.mkdir(parents=True, exist_ok=True)
        self._path = folder / JOURNAL_NAME
        self._file = self._path.open("a+b")
        self._replay()
        _sync_folder(folder)

    def propose(self, command: bytes, timeout: float) -> Result[bytes, Fault]:
        """Write, sync, apply and return the reply."""
        if self._broken:
            return Failure(Fault("write journal", "", self._broken))
        frame = FRAME.pack(len(command), crc32c.crc32c(command)) + command
        try:
            self._file.write(frame)
            self._file.flush()
            os.fsync(self._file.fileno())
        except OSError as error:
            # After a failed sync the kernel may have dropped the pages: what a later
            # sync reports says nothing about these bytes.
            self._broken = f"{self._path}: {error.strerror}; restart the process"
            return Failure(Fault("write journal", "", self._broken))
        self._index += 1
        return Success(self._machine.apply(self._index, command))

    def read_barrier(self, timeout: float) -> Result[int, Fault]:
        """Return at once: a single host always has all that was accepted."""
        return Success(self._index)

    def leader(self) -> str:
        """Return this host."""
        return self._name

    def stop(self) -> None:
        """Close the file."""
        self._file.close()

    def _replay(self) -> None:
        self._file.seek(0)
        data = self._file.read()
        offset = 0
        while (end := _find_end(data, offset)) <= len(data):
            start = offset + FRAME.size
            command = data[start:end]
            if crc32c.crc32c(command) != FRAME.unpack_from(data, offset)[1]:
                if end == len(data):
                    break
                reason = f"wrong checksum at byte {offset}, more records follow"
                raise StorageError(Fault("read journal", str(self._path), reason))
            self._index += 1
            self._machine.apply(self._index, command)
            offset = end
        self._drop_tail(offset, len(data))

    def _drop_tail(self, offset: int, size: int) -> None:
        if offset == size:
            return
        # A crash during a write leaves a part of the last record. It was never
        # answered, so dropping it loses nothing that was accepted.
        warn_event("journal_tail_dropped", path=self._path, bytes=size - offset)
        self._file.truncate(offset)
        os.fsync(self._file.fileno())


def _find_end(data: bytes, offset: int) -> int:
    """Return where the record at the offset ends, beyond the data if it is cut."""
    if offset + FRAME.size > len(data):
        return len(data) + 1
    return offset + FRAME.size + FRAME.unpack_from(data, offset)[0]


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
