"""A control host that starts with the whole fleet offers what it had in force."""

import zlib

from ibisshunt.components.directory.control import ControlDirectory
from ibisshunt.components.directory.known import DirectoryFiles
from ibisshunt.components.storage.files import run_here
from ibisshunt.coordination.directory.download import Download
from ibisshunt.coordination.directory.messages import Fetch, Hello, NodeRole, Notice
from ibisshunt.coordination.versions import FleetState, encode_put

from ..storage.memory_files import MemoryFiles

NODE = "10.0.1.1"
CONTROL = "10.0.3.1"


class FakeInner:
    """Take the handlers of messages, and keep what is sent."""

    def __init__(self):
        self.handlers = {}
        self.sent = []

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, peer, message):
        self.sent.append((peer, message))

    def take(self, peer, message):
        """Return what a message is answered with."""
        self.sent = []
        self.handlers[type(message)](peer, message)
        return [message for _, message in self.sent]


def start(files, store=None):
    """Return a control host's directory after a start, and its socket."""
    inner = FakeInner()
    store = store or FleetState()
    kept = DirectoryFiles(files, run_here)
    return ControlDirectory(inner, store, lambda: (CONTROL,), kept), inner


def hold(store, version, body=b"routes"):
    """Let a version be in force in the log."""
    store.apply(version, encode_put(version, body))


def fetch(inner, version):
    """Return what a node gets that fetches a version."""
    download = Download()
    peer, question = download.offer(CONTROL, version, 0.0)
    for piece in inner.take(NODE, question):
        whole, _ = download.take(peer, piece, 0.0)
    return zlib.decompress(whole)


def start_again(files):
    """Return socket and log of a host that lost power with the whole fleet."""
    store = FleetState()
    hold(store, 7)
    directory, _ = start(files, store)
    directory.save()
    files.crash()
    store = FleetState()
    directory, inner = start(files, store)
    return directory, inner, store


def test_after_a_power_loss_of_the_fleet_nodes_get_the_configuration_at_once():
    # All hosts and nodes lose power; nobody leads yet, so the log has nothing in
    # force. Callers are turned away for as long as no node has a configuration.
    _, inner, _ = start_again(MemoryFiles())
    (welcome,) = inner.take(NODE, Hello(NodeRole.BALANCER, 0, 0))
    assert welcome.version == 7
    assert fetch(inner, 7) == b"routes"


def test_what_the_log_has_in_force_replaces_what_was_on_disk():
    # The newest version had been accepted just before the power went; the file has
    # the one before. Once a leader is elected nodes are told of the newest.
    directory, inner, store = start_again(MemoryFiles())
    inner.take(NODE, Hello(NodeRole.BALANCER, 7, 0))
    hold(store, 9, b"newer")
    inner.sent = []
    directory.announce()
    assert inner.sent == [(NODE, Notice(9))]
    assert fetch(inner, 9) == b"newer"


def test_an_older_log_does_not_take_back_what_is_offered():
    # The log is read again from its beginning: older versions come into force in it
    # before the newest does.
    _, inner, store = start_again(MemoryFiles())
    hold(store, 5, b"older")
    (welcome,) = inner.take(NODE, Hello(NodeRole.BALANCER, 0, 0))
    assert welcome.version == 7
    assert fetch(inner, 7) == b"routes"


def test_a_host_with_an_empty_disk_offers_nothing_until_the_log_does():
    _, inner = start(MemoryFiles())
    (welcome,) = inner.take(NODE, Hello(NodeRole.BALANCER, 0, 0))
    assert welcome.version == 0
    assert inner.take(NODE, Fetch(1, 0)) == []


def test_a_full_disk_keeps_no_version_from_the_nodes():
    files = MemoryFiles()
    files.room = 0
    store = FleetState()
    hold(store, 7)
    directory, inner = start(files, store)
    directory.save()
    assert fetch(inner, 7) == b"routes"
    files.room = None
    directory.save()
    assert DirectoryFiles(files, run_here).version.load().version == 7


def test_a_control_host_that_starts_greets_the_nodes_of_its_former_run():
    # After a power loss of the fleet nodes ask each 0.1 s while they know no control
    # host, and nothing is served meanwhile: they are told without being asked.
    files = MemoryFiles()
    store = FleetState()
    hold(store, 7)
    directory, inner = start(files, store)
    inner.take(NODE, Hello(NodeRole.BALANCER, 7, 0))
    directory.save()
    files.crash()
    directory, inner = start(files)
    directory.greet()
    assert inner.sent == [(NODE, Notice(7))]


def test_a_control_host_with_nothing_to_offer_greets_nobody():
    files = MemoryFiles()
    directory, inner = start(files)
    inner.take(NODE, Hello(NodeRole.BALANCER, 0, 0))
    directory.save()
    files.crash()
    directory, inner = start(files)
    directory.greet()
    assert inner.sent == []
