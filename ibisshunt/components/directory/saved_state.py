"""Save what a control host sends to nodes before a leader is elected."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from ...coordination.directory.registry import SavedNode
from ...exceptions import StorageError
from ...helpers.logging import log_event, warn_event
from ...helpers.threads import run_in_thread
from ...model.domains import DrainedDomains
from ..storage.files import DiskFiles, Files, write_atomically
from ..storage.frames import make_frame, scan_frames

FOLDER_NAME = "directory"
NODES_FILE_NAME = "nodes"
DRAINED_FILE_NAME = "drained"
CONFIGURATION_FILE_NAME = "version"
RunBlocking = Callable[[Callable[..., Any], tuple[Any, ...]], Any]


class SavedConfiguration(msgspec.Struct, frozen=True, array_like=True):
    """Configuration as nodes download it: ``compressed`` is its zlib form."""

    version: int = 0
    compressed: bytes = b""


NO_CONFIGURATION = SavedConfiguration()


class SavedValue:
    """Store one value in a file; ``run`` executes a call that blocks on the disk.

    No guarantee depends on the file: if it is missing, damaged or foreign, ``default``
    is loaded instead, and writes may fail.
    """

    def __init__(
        self, files: Files, run: RunBlocking, name: str, value_type: Any, default: Any
    ) -> None:
        self._files = files
        self._run = run
        self._name = name
        self._value_type = value_type
        self._default = default

    def load(self) -> Any:
        """Return the value that was saved last."""
        if self._name not in self._files.list():
            return self._default
        try:
            scan = scan_frames(self._name, self._files.read(self._name))
            if not scan.payloads:
                return self._default
            value = msgspec.msgpack.decode(scan.payloads[0], type=self._value_type)
        except (StorageError, msgspec.DecodeError) as error:
            warn_event("saved_value_unreadable", file=self._name, error=error)
            return self._default
        log_event("saved_value_loaded", file=self._name)
        return value

    def save(self, value: Any) -> bool:
        """Write the value; return whether it is durable."""
        frame = make_frame(0, msgspec.msgpack.encode(value))
        try:
            self._run(write_atomically, (self._files, self._name, frame))
        except StorageError as error:
            # The disk may be full or faulty; the next periodic save retries.
            warn_event("value_unsaved", file=self._name, error=error)
            return False
        return True


class DirectoryFiles:
    """Files with the state of a control host's previous run.

    ``nodes`` are the registered nodes: without them a balancer that starts with the
    fleet waits longer before it resets flows that have ended. ``configuration`` is the
    newest one that was active: without it nodes serve nothing until a leader is
    elected. ``drained_domains`` is None if the host never confirmed them. ``files``
    is where others keep files of the same kind.
    """

    def __init__(self, files: Files, run: RunBlocking) -> None:
        self.files = files
        nodes_type = tuple[SavedNode, ...]
        self.nodes = SavedValue(files, run, NODES_FILE_NAME, nodes_type, ())
        self.configuration = SavedValue(
            files, run, CONFIGURATION_FILE_NAME, SavedConfiguration, NO_CONFIGURATION
        )
        self.drained_domains = SavedValue(
            files, run, DRAINED_FILE_NAME, DrainedDomains, None
        )


def open_directory_files(data_folder: str) -> DirectoryFiles:
    """Return the files below a data folder; raise StorageError if it is locked."""
    return DirectoryFiles(DiskFiles(Path(data_folder) / FOLDER_NAME), run_in_thread)
