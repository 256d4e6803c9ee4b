"""Keep the state of one host on disk: write-ahead log, snapshots, identity."""

from .files import DiskFiles, Files, write_whole
from .store import Batch, Identity, Recovered, Store

__all__ = [
    "Batch",
    "DiskFiles",
    "Files",
    "Identity",
    "Recovered",
    "Store",
    "write_whole",
]
