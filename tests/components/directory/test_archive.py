"""The files in which a control host stores balancers' checkpoint entries."""

from ibisshunt.components.directory.archive import ArchiveTask
from ibisshunt.components.storage.files import run_inline
from ibisshunt.coordination.forwarding.messages import (
    CheckpointEntries,
    RecoveryReply,
    RecoveryRequest,
)
from ibisshunt.coordination.forwarding.recovery.archive import (
    GENERATION_SECONDS,
    GENERATIONS,
)
from ibisshunt.coordination.forwarding.recovery.checkpoint import (
    FlowEntry,
    pack_entries,
)
from ibisshunt.helpers.clock import read_monotonic_clock
from tests.components.directory.test_control import FakeInternalSocket
from tests.components.storage.memory_files import MemoryFiles

BALANCER = "10.0.1.1"
ENTRIES = pack_entries([FlowEntry(bytes(range(12)), 5, "10.0.2.1", 7)])


def start(files):
    """Return the task of a host that starts, and its socket."""
    socket = FakeInternalSocket()
    return ArchiveTask(socket, files, run_inline), socket


def recover(socket):
    (reply,) = socket.deliver(BALANCER, RecoveryRequest(0))
    return reply


def test_entries_survive_a_power_loss():
    files = MemoryFiles()
    task, socket = start(files)
    socket.deliver(BALANCER, CheckpointEntries(ENTRIES))
    task.save(read_monotonic_clock())
    files.crash()
    _, socket = start(files)
    assert recover(socket) == RecoveryReply(0, 1, ENTRIES)


def test_entries_that_were_not_saved_are_lost_and_nothing_else():
    files = MemoryFiles()
    task, socket = start(files)
    socket.deliver(BALANCER, CheckpointEntries(ENTRIES))
    task.save(read_monotonic_clock())
    socket.deliver(
        BALANCER,
        CheckpointEntries(pack_entries([FlowEntry(bytes(12), 5, "10.0.2.1", 7)])),
    )
    files.crash()
    _, socket = start(files)
    assert recover(socket) == RecoveryReply(0, 1, ENTRIES)


def test_a_damaged_file_does_not_prevent_a_start():
    # A truncated or foreign file: the flows in it are lost, but the host starts.
    files = MemoryFiles()
    task, socket = start(files)
    socket.deliver(BALANCER, CheckpointEntries(ENTRIES))
    task.save(read_monotonic_clock())
    socket.deliver(BALANCER, CheckpointEntries(ENTRIES))
    task.save(read_monotonic_clock())
    (name,) = files.list()
    content = files.read(name)
    files.truncate(name, 0)
    files.append(name, b"\x00" + content[1:])
    files.append("flows-x", b"foreign")
    _, socket = start(files)
    assert recover(socket).total == 0


def test_a_full_disk_does_not_prevent_recovery():
    files = MemoryFiles()
    task, socket = start(files)
    files.free_space = 0
    socket.deliver(BALANCER, CheckpointEntries(ENTRIES))
    task.save(read_monotonic_clock())
    assert recover(socket).total == 1
    files.free_space = None
    socket.deliver(BALANCER, CheckpointEntries(ENTRIES))
    task.save(read_monotonic_clock())
    _, socket = start(files)
    assert recover(socket).total == 1


def test_old_files_are_removed():
    files = MemoryFiles()
    task, socket = start(files)
    now = read_monotonic_clock()
    for turn in range(2 * GENERATIONS):
        socket.deliver(BALANCER, CheckpointEntries(ENTRIES))
        task.save(now + turn * (GENERATION_SECONDS + 0.1))
    assert len(files.list()) == GENERATIONS
