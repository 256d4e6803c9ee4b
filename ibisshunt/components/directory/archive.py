"""Keep balancers' flow entries on the disk of a control host."""

from collections.abc import Callable
from typing import Any

import gevent
import msgspec

from ...coordination.forwarding.messages import Noted, Recall
from ...coordination.forwarding.restart.archive import GENERATIONS, FlowArchive
from ...exceptions import StorageError
from ...helpers.clock import read_clock
from ...helpers.logging import log_event, warn_event
from ..storage.files import Files
from ..storage.frames import make_frame, scan_frames
from .inner import InnerSocket

PREFIX = "flows-"
# What came since the last write is lost with the power.
SAVE_SECONDS = 0.25
Run = Callable[[Callable[..., Any], tuple[Any, ...]], Any]


class ArchiveTask:
    """Own the flow archive of one control host and its files, one a generation.

    Nothing that was promised depends on the files: what is damaged is left out, and a
    write that fails is dropped.
    """

    def __init__(self, inner: InnerSocket, files: Files, run: Run) -> None:
        self._inner = inner
        self._files = files
        self._run = run
        names = self._list_names()
        former = [self._read(name) for name in names[-GENERATIONS:]]
        self.archive = FlowArchive(read_clock(), former)
        self._number = 1 + max((_find_number(name) for name in names), default=0)
        self._frames = 0
        inner.handle(Noted, self._take_noted)
        inner.handle(Recall, self._take_recall)

    def run_saving(self) -> None:
        """Write entries until killed."""
        while True:
            gevent.sleep(SAVE_SECONDS)
            self.save(read_clock())

    def save(self, now: float) -> None:
        """Write what is not on disk, and remove files that are too old."""
        if self.archive.rotate(now):
            self._number += 1
            self._frames = 0
            self._remove_old()
        batches = self.archive.take_unsaved()
        if not batches:
            return
        frame = make_frame(self._frames, msgspec.msgpack.encode(batches))
        try:
            self._run(self._write, (f"{PREFIX}{self._number:08}", frame))
        except StorageError as error:
            warn_event("flows_unsaved", entries=len(batches), error=error)
            return
        self._frames += 1

    def _write(self, name: str, frame: bytes) -> None:
        is_new = name not in self._files.list()
        self._files.append(name, frame)
        self._files.sync(name)
        if is_new:
            self._files.sync_folder()

    def _list_names(self) -> list[str]:
        return sorted(name for name in self._files.list() if _find_number(name))

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
            if _find_number(name) > self._number - GENERATIONS:
                continue
            try:
                self._files.remove(name)
            except StorageError as error:
                # A disk that is ill; the next generation tries again.
                warn_event("flows_not_removed", file=name, error=error)

    def _take_noted(self, peer: str, message: Noted) -> None:
        self.archive.take(peer, message.entries)

    def _take_recall(self, peer: str, message: Recall) -> None:
        for found in self.archive.recall(peer, message.first):
            self._inner.send(peer, found)


def _find_number(name: str) -> int:
    """Return the number of a generation's file, 0 for another name."""
    digits = name.removeprefix(PREFIX)
    return int(digits) if name.startswith(PREFIX) and digits.isdigit() else 0
