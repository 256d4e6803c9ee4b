"""Saved state of a control host survives a restart, and no disk fault ends the host."""

from ibisshunt.components.directory.saved_state import NODES_FILE_NAME, DirectoryFiles
from ibisshunt.components.storage.files import run_inline
from ibisshunt.coordination.directory.messages import NodeRole
from ibisshunt.coordination.directory.registry import SavedNode

from ..storage.memory_files import MemoryFiles

NODES = (
    SavedNode("10.0.1.1", NodeRole.BALANCER, "a"),
    SavedNode("10.0.2.1", NodeRole.AGENT, ""),
)


def test_saved_nodes_survive_a_power_loss():
    files = MemoryFiles()
    file = DirectoryFiles(files, run_inline).nodes
    assert file.load() == ()
    assert file.save(NODES)
    files.crash()
    assert DirectoryFiles(files, run_inline).nodes.load() == NODES


def test_a_damaged_list_is_loaded_as_empty():
    # A truncated or foreign file must not keep a control host from starting: balancers
    # then wait until the list is surely complete.
    files = MemoryFiles()
    files.append(NODES_FILE_NAME, b"torn")
    assert DirectoryFiles(files, run_inline).nodes.load() == ()


def test_a_full_disk_loses_only_the_list():
    files = MemoryFiles()
    files.free_space = 0
    file = DirectoryFiles(files, run_inline).nodes
    assert not file.save(NODES)
    files.free_space = None
    assert file.save(NODES)
    assert file.load() == NODES
