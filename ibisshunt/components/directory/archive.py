"""Store balancers' checkpoint entries on the disk of a control host."""

from collections.abc import Callable
from typing import Any

import gevent
import msgspec

from ...coordination.forwarding.messages import CheckpointEntries, RecoveryRequest
from ...coordination.forwarding.recovery.archive import GENERATIONS, FlowArchive
from ...exceptions import StorageError
from ...helpers.clock import read_monotonic_clock
from ...helpers.logging import log_event, warn_event
from ..storage.files import Files
from ..storage.frames import make_frame, scan_frames
from .internal_socket import InternalSocket

FILE_PREFIX = "flows-"
# Interval of writes; entries received since the last one are lost in a power loss.
SAVE_SECONDS = 0.25
RunBlocking = Callable[[Callable[..., Any], tuple[Any, ...]], Any]


class ArchiveTask:
    """Manage the flow archive of one control host: one file for each generation.

    No guarantee depends on the files: damaged ones are skipped, and a write that fails
    is dropped.
    """

    def __init__(
        self, internal_socket: InternalSocket, files: Files, run: RunBlocking
    ) -> None:
        self._internal_socket = internal_socket
        self._files = files
        self._run = run
        names = self._list_names()
        previous = [self._read(name) for name in names[-GENERATIONS:]]
        self.archive = FlowArchive(read_monotonic_clock(), previous)
        self._generation = 1 + max(
            (_parse_generation(name) for name in names), default=0
        )
        self._frame_count = 0
        internal_socket.register_handler(CheckpointEntries, self._handle_entries)
        internal_socket.register_handler(RecoveryRequest, self._handle_recovery_request)

    def run_saving(self) -> None:
        """Write entries until killed."""
        while True:
            gevent.sleep(SAVE_SECONDS)
            self.save(read_monotonic_clock())

    def save(self, now: float) -> None:
        """Write the entries that are not on disk, and remove old files."""
        if self.archive.rotate(now):
            self._generation += 1
            self._frame_count = 0
            self._remove_old()
        batches = self.archive.pop_unsaved()
        if not batches:
            return
        frame = make_frame(self._frame_count, msgspec.msgpack.encode(batches))
        try:
            self._run(self._write, (f"{FILE_PREFIX}{self._generation:08}", frame))
        except StorageError as error:
            warn_event("flows_unsaved", entries=len(batches), error=error)
            return
        self._frame_count += 1

    def _write(self, name: str, frame: bytes) -> None:
        is_new = name not in self._files.list()
        self._files.append(name, frame)
        self._files.sync(name)
        if is_new:
            self._files.sync_folder()

    def _list_names(self) -> list[str]:
        return sorted(name for name in self._files.list() if _parse_generation(name))

    def _read(self, name: str) -> list[bytes]:
        try:
            scan = scan_frames(name, self._files.read(name))
            frames = [
                msgspec.msgpack.decode(payload, type=list[bytes])
                for payload in scan.payloads
            ]
        except (StorageError, msgspec.DecodeError) as error:
            warn_event("flows_unreadable", file=name, error=error)
            return []
        log_event("flows_loaded", file=name, batches=sum(map(len, frames)))
        return [batch for batches in frames for batch in batches]

    def _remove_old(self) -> None:
        for name in self._list_names():
            if _parse_generation(name) > self._generation - GENERATIONS:
                continue
            try:
                self._files.remove(name)
            except StorageError as error:
                # The disk may be faulty; the next rotation retries.
                warn_event("flows_not_removed", file=name, error=error)

    def _handle_entries(self, peer: str, message: CheckpointEntries) -> None:
        self.archive.add_entries(peer, message.entries)

    def _handle_recovery_request(self, peer: str, message: RecoveryRequest) -> None:
        for reply in self.archive.make_replies(peer, message.offset):
            self._internal_socket.send(peer, reply)


def _parse_generation(name: str) -> int:
    """Return the generation number in a file name, 0 for any other file."""
    digits = name.removeprefix(FILE_PREFIX)
    return int(digits) if name.startswith(FILE_PREFIX) and digits.isdigit() else 0
