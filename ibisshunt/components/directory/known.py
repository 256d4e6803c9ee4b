"""Keep on disk what a control host tells nodes before a leader is elected."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from ...coordination.directory.registry import KnownNode
from ...exceptions import StorageError
from ...helpers.logging import log_event, warn_event
from ...helpers.threads import run_in_thread
from ...model.domains import DrainedDomains
from ..storage.files import DiskFiles, Files, write_whole
from ..storage.frames import make_frame, scan_frames

FOLDER_NAME = "directory"
NODES_NAME = "nodes"
DRAINED_NAME = "drained"
VERSION_NAME = "version"
Run = Callable[[Callable[..., Any], tuple[Any, ...]], Any]


class PackedVersion(msgspec.Struct, frozen=True, array_like=True):
    """Hold a configuration as nodes fetch it: ``whole`` is compressed."""

    version: int = 0
    whole: bytes = b""


NO_VERSION = PackedVersion()


class SavedValue:
    """Own one file with one value; ``run`` executes a call that waits for the disk.

    Nothing that was promised depends on the file: it is read as ``missing`` when it is
    not there, damaged or foreign, and writes may fail.
    """

    def __init__(
        self, files: Files, run: Run, name: str, kind: Any, missing: Any
    ) -> None:
        self._files = files
        self._run = run
        self._name = name
        self._kind = kind
        self._missing = missing

    def load(self) -> Any:
        """Return the value that was saved last."""
        if self._name not in self._files.list():
            return self._missing
        try:
            scan = scan_frames(self._name, self._files.read(self._name))
            if not scan.payloads:
                return self._missing
            value = msgspec.msgpack.decode(scan.payloads[0], type=self._kind)
        except (StorageError, msgspec.DecodeError) as error:
            warn_event("saved_value_unreadable", file=self._name, error=error)
            return self._missing
        log_event("saved_value_loaded", file=self._name)
        return value

    def save(self, value: Any) -> bool:
        """Write the value; return whether it lasts."""
        frame = make_frame(0, msgspec.msgpack.encode(value))
        try:
            self._run(write_whole, (self._files, self._name, frame))
        except StorageError as error:
            # A disk that is full or ill; the next change or second tries again.
            warn_event("value_unsaved", file=self._name, error=error)
            return False
        return True


class DirectoryFiles:
    """Hold what a control host knew in its former run.

    ``nodes`` are the nodes: without them a balancer that starts with the fleet waits
    longer before it takes a flow for ended. ``version`` is the newest configuration
    that was in force: without it nodes serve nothing until a leader is elected.
    ``drained`` are the drained domains, None when the host never was sure of them.
    ``files`` is where others keep files of the same kind.
    """

    def __init__(self, files: Files, run: Run) -> None:
        self.files = files
        nodes = tuple[KnownNode, ...]
        self.nodes = SavedValue(files, run, NODES_NAME, nodes, ())
        self.version = SavedValue(files, run, VERSION_NAME, PackedVersion, NO_VERSION)
        self.drained = SavedValue(files, run, DRAINED_NAME, DrainedDomains, None)


def open_files(data_folder: str) -> DirectoryFiles:
    """Return the files below a data folder; raise StorageError when it is locked."""
    return DirectoryFiles(DiskFiles(Path(data_folder) / FOLDER_NAME), run_in_thread)
