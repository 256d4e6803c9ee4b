"""A control host that starts with the whole fleet offers its saved configuration."""

import zlib

from ibisshunt.components.directory.control import ControlDirectory
from ibisshunt.components.directory.saved_state import DirectoryFiles
from ibisshunt.components.storage.files import run_inline
from ibisshunt.coordination.directory.download import Download
from ibisshunt.coordination.directory.messages import (
    FetchChunks,
    Hello,
    NodeRole,
    UpdateNotice,
)
from ibisshunt.coordination.versions import FleetState, encode_put

from ..storage.memory_files import MemoryFiles

NODE = "10.0.1.1"
CONTROL = "10.0.3.1"


class FakeInternalSocket:
    """Record message handlers and sent messages in place of an InternalSocket."""

    def __init__(self):
        self.handlers = {}
        self.sent = []

    def register_handler(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, peer, message):
        self.sent.append((peer, message))

    def deliver(self, peer, message):
        """Handle a message; return the replies."""
        self.sent = []
        self.handlers[type(message)](peer, message)
        return [message for _, message in self.sent]


def start(files, store=None):
    """Return a control host's directory after a start, and its socket."""
    socket = FakeInternalSocket()
    store = store or FleetState()
    kept = DirectoryFiles(files, run_inline)
    return ControlDirectory(socket, store, lambda: (CONTROL,), kept), socket


def activate(store, version, body=b"routes"):
    """Make a version active in the log."""
    store.apply(version, encode_put(version, body))


def fetch(socket, version):
    """Return what a node downloads that fetches a version."""
    download = Download()
    peer, request = download.handle_offer(CONTROL, version, 0.0)
    for chunk in socket.deliver(NODE, request):
        compressed, _ = download.handle_chunk(peer, chunk, 0.0)
    return zlib.decompress(compressed)


def restart_after_power_loss(files):
    """Return directory, socket and log of a host after a power loss of the fleet."""
    store = FleetState()
    activate(store, 7)
    directory, _ = start(files, store)
    directory.save()
    files.crash()
    store = FleetState()
    directory, socket = start(files, store)
    return directory, socket, store


def test_after_a_power_loss_of_the_fleet_nodes_get_the_configuration_at_once():
    # All hosts and nodes lose power; there is no leader yet, so the log has no active
    # configuration. Callers are rejected for as long as no node has one.
    _, socket, _ = restart_after_power_loss(MemoryFiles())
    (reply,) = socket.deliver(NODE, Hello(NodeRole.BALANCER, 0, 0))
    assert reply.version == 7
    assert fetch(socket, 7) == b"routes"


def test_the_active_version_of_the_log_replaces_the_saved_one():
    # The newest version was accepted just before the power loss; the file has the one
    # before. Once a leader is elected nodes are notified of the newest.
    directory, socket, store = restart_after_power_loss(MemoryFiles())
    socket.deliver(NODE, Hello(NodeRole.BALANCER, 7, 0))
    activate(store, 9, b"newer")
    socket.sent = []
    directory.notify_outdated_nodes()
    assert socket.sent == [(NODE, UpdateNotice(9))]
    assert fetch(socket, 9) == b"newer"


def test_an_older_version_in_the_log_does_not_replace_the_offered_one():
    # The log is replayed from its beginning: older versions become active in it before
    # the newest does.
    _, socket, store = restart_after_power_loss(MemoryFiles())
    activate(store, 5, b"older")
    (reply,) = socket.deliver(NODE, Hello(NodeRole.BALANCER, 0, 0))
    assert reply.version == 7
    assert fetch(socket, 7) == b"routes"


def test_a_host_with_an_empty_disk_offers_nothing_until_the_log_does():
    _, socket = start(MemoryFiles())
    (reply,) = socket.deliver(NODE, Hello(NodeRole.BALANCER, 0, 0))
    assert reply.version == 0
    assert socket.deliver(NODE, FetchChunks(1, 0)) == []


def test_a_full_disk_does_not_prevent_offers_of_a_version():
    files = MemoryFiles()
    files.free_space = 0
    store = FleetState()
    activate(store, 7)
    directory, socket = start(files, store)
    directory.save()
    assert fetch(socket, 7) == b"routes"
    files.free_space = None
    directory.save()
    assert DirectoryFiles(files, run_inline).configuration.load().version == 7


def test_a_control_host_that_starts_notifies_its_saved_nodes():
    # After a power loss of the fleet nodes send Hello each 0.1 s while they know no
    # control host, and nothing is served meanwhile: they are notified unasked.
    files = MemoryFiles()
    store = FleetState()
    activate(store, 7)
    directory, socket = start(files, store)
    socket.deliver(NODE, Hello(NodeRole.BALANCER, 7, 0))
    directory.save()
    files.crash()
    directory, socket = start(files)
    directory.notify_saved_nodes()
    assert socket.sent == [(NODE, UpdateNotice(7))]


def test_a_control_host_with_nothing_to_offer_notifies_no_node():
    files = MemoryFiles()
    directory, socket = start(files)
    socket.deliver(NODE, Hello(NodeRole.BALANCER, 0, 0))
    directory.save()
    files.crash()
    directory, socket = start(files)
    directory.notify_saved_nodes()
    assert socket.sent == []
