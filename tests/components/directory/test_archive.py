"""The files in which a control host keeps balancers' flow entries."""

from ibisshunt.components.directory.archive import ArchiveTask
from ibisshunt.components.storage.files import run_here
from ibisshunt.coordination.forwarding.messages import Noted, Recall, Recalled
from ibisshunt.coordination.forwarding.restart.archive import (
    GENERATION_SECONDS,
    GENERATIONS,
)
from ibisshunt.coordination.forwarding.restart.checkpoint import FlowEntry, pack_entries
from ibisshunt.helpers.clock import read_clock
from tests.components.directory.test_control import FakeInner
from tests.components.storage.memory_files import MemoryFiles

BALANCER = "10.0.1.1"
ENTRIES = pack_entries([FlowEntry(bytes(range(12)), 5, "10.0.2.1", 7)])


def start(files):
    """Return the task of a host that starts, and its socket."""
    inner = FakeInner()
    return ArchiveTask(inner, files, run_here), inner


def recall(inner):
    (answer,) = inner.take(BALANCER, Recall(0))
    return answer


def test_entries_are_there_after_a_power_loss():
    files = MemoryFiles()
    task, inner = start(files)
    inner.take(BALANCER, Noted(ENTRIES))
    task.save(read_clock())
    files.crash()
    _, inner = start(files)
    assert recall(inner) == Recalled(0, 1, ENTRIES)


def test_entries_that_were_not_saved_are_lost_and_nothing_else():
    files = MemoryFiles()
    task, inner = start(files)
    inner.take(BALANCER, Noted(ENTRIES))
    task.save(read_clock())
    inner.take(BALANCER, Noted(pack_entries([FlowEntry(bytes(12), 5, "10.0.2.1", 7)])))
    files.crash()
    _, inner = start(files)
    assert recall(inner) == Recalled(0, 1, ENTRIES)


def test_a_damaged_file_keeps_no_host_from_starting():
    # A torn or foreign file: the flows in it are lost, the host starts.
    files = MemoryFiles()
    task, inner = start(files)
    inner.take(BALANCER, Noted(ENTRIES))
    task.save(read_clock())
    inner.take(BALANCER, Noted(ENTRIES))
    task.save(read_clock())
    (name,) = files.list()
    whole = files.read(name)
    files.truncate(name, 0)
    files.append(name, b"\x00" + whole[1:])
    files.append("flows-x", b"foreign")
    _, inner = start(files)
    assert recall(inner).total == 0


def test_a_full_disk_keeps_no_balancer_from_its_flows():
    files = MemoryFiles()
    task, inner = start(files)
    files.room = 0
    inner.take(BALANCER, Noted(ENTRIES))
    task.save(read_clock())
    assert recall(inner).total == 1
    files.room = None
    inner.take(BALANCER, Noted(ENTRIES))
    task.save(read_clock())
    _, inner = start(files)
    assert recall(inner).total == 1


def test_old_files_are_removed():
    files = MemoryFiles()
    task, inner = start(files)
    now = read_clock()
    for turn in range(2 * GENERATIONS):
        inner.take(BALANCER, Noted(ENTRIES))
        task.save(now + turn * (GENERATION_SECONDS + 0.1))
    assert len(files.list()) == GENERATIONS
