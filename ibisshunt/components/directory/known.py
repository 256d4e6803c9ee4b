"""Keep on disk which nodes a control host knows."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from ...coordination.directory.registry import KnownNode
from ...exceptions import StorageError
from ...helpers.logging import log_event, warn_event
from ...helpers.threads import run_in_thread
from ..storage import DiskFiles, Files, write_whole
from ..storage.frames import make_frame, scan_frames

FOLDER_NAME = "directory"
FILE_NAME = "nodes"
Run = Callable[[Callable[..., Any], tuple[Any, ...]], Any]


class NodeFile:
    """Own the file with the nodes; ``run`` executes a call that waits for the disk.

    Nothing that was promised depends on the file: without it, or with an old one, a
    balancer that starts with the fleet waits longer before it takes a flow for ended.
    """

    def __init__(self, files: Files, run: Run) -> None:
        self._files = files
        self._run = run

    def load(self) -> tuple[KnownNode, ...]:
        """Return the nodes that were saved last; none when they cannot be read."""
        if FILE_NAME not in self._files.list():
            return ()
        try:
            scan = scan_frames(FILE_NAME, self._files.read(FILE_NAME))
            if not scan.payloads:
                return ()
            nodes = msgspec.msgpack.decode(scan.payloads[0], type=tuple[KnownNode, ...])
        except (StorageError, msgspec.DecodeError) as error:
            warn_event("known_nodes_unreadable", error=error)
            return ()
        log_event("known_nodes_loaded", count=len(nodes))
        return nodes

    def save(self, nodes: tuple[KnownNode, ...]) -> bool:
        """Write the nodes; return whether they last."""
        frame = make_frame(0, msgspec.msgpack.encode(nodes))
        try:
            self._run(write_whole, (self._files, FILE_NAME, frame))
        except StorageError as error:
            # A disk that is full or ill; the next change or second tries again.
            warn_event("known_nodes_unsaved", error=error)
            return False
        return True


def open_node_file(data_folder: str) -> NodeFile:
    """Return the file below a data folder; raise StorageError when it is locked."""
    return NodeFile(DiskFiles(Path(data_folder) / FOLDER_NAME), run_in_thread)
