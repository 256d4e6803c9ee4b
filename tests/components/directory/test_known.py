"""What a control host knew outlives a restart, and no fault of the disk ends it."""

from ibisshunt.components.directory.known import NODES_NAME, DirectoryFiles
from ibisshunt.components.storage.files import run_here
from ibisshunt.coordination.directory.messages import NodeRole
from ibisshunt.coordination.directory.registry import KnownNode

from ..storage.memory_files import MemoryFiles

NODES = (
    KnownNode("10.0.1.1", NodeRole.BALANCER, "a"),
    KnownNode("10.0.2.1", NodeRole.AGENT, ""),
)


def test_saved_nodes_outlive_a_power_loss():
    files = MemoryFiles()
    file = DirectoryFiles(files, run_here).nodes
    assert file.load() == ()
    assert file.save(NODES)
    files.crash()
    assert DirectoryFiles(files, run_here).nodes.load() == NODES


def test_a_damaged_list_counts_as_none():
    # A torn or foreign file must not keep a control host from starting: balancers
    # then wait until the list is surely whole.
    files = MemoryFiles()
    files.append(NODES_NAME, b"torn")
    assert DirectoryFiles(files, run_here).nodes.load() == ()


def test_a_full_disk_costs_only_the_list():
    files = MemoryFiles()
    files.room = 0
    file = DirectoryFiles(files, run_here).nodes
    assert not file.save(NODES)
    files.room = None
    assert file.save(NODES)
    assert file.load() == NODES
