"""Answer nodes on a control host: who is there, and which configuration is in force."""

import zlib
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event

from ...coordination.directory.download import make_pieces
from ...coordination.directory.messages import Fetch, Hello, Leave, Notice
from ...coordination.directory.registry import Registry
from ...coordination.versions import FleetState
from ...helpers.clock import read_clock
from ...helpers.logging import log_event
from ...model.domains import DrainedDomains
from .inner import InnerSocket
from .known import DirectoryFiles, PackedVersion

# How often nodes that hold an older version are told again: datagrams may be lost.
TELL_SECONDS = 0.25
# How often a host that has started asks the log whether it holds all that is in force.
CONFIRM_SECONDS = 0.2
# One write for all nodes that a fleet's start brings, or a series of configurations.
SAVE_SECONDS = 0.5


class ControlDirectory:
    """Own the registry of one control host, and the configuration that it offers.

    Until a leader is elected nobody knows what the log has in force, and after a power
    loss of the whole fleet no node holds a configuration: targets stood idle for 1.4 s
    while callers were turned away. So the host offers the configuration that was in
    force here in its former run, until the log has a newer one. It may be older than
    the newest for as long as the election takes; a node that has just started takes
    it, and no other node takes a version that is not higher than its own.

    The same holds for drained domains, but for a host with an empty disk: what it knows
    of them before its log is whole could open a domain that is drained. It tells none
    until ``confirm`` was called.
    """

    def __init__(
        self,
        inner: InnerSocket,
        state: FleetState,
        list_control: Callable[[], tuple[str, ...]],
        files: DirectoryFiles,
    ) -> None:
        # Replaced once the log is there, which takes longer to load than this.
        self.list_control = list_control
        known = files.nodes.load()
        self.registry = Registry(read_clock(), known)
        self._files = files
        self._saved_nodes = known
        self._offered: PackedVersion = files.version.load()
        self._saved_version = self._offered.version
        self._saved_drained: DrainedDomains | None = files.drained.load()
        self._former_drained = self._saved_drained
        self._is_confirmed = False
        self._drained_changed = Event()
        state.domains.changed = self._drained_changed.set
        self._inner = inner
        self._state = state
        inner.handle(Hello, self._take_hello)
        inner.handle(Leave, self._take_leave)
        inner.handle(Fetch, self._take_fetch)

    def run(self) -> None:
        """Tell nodes of newer versions until killed."""
        while True:
            gevent.sleep(TELL_SECONDS)
            self.announce()
            for address in self.registry.sweep(read_clock()):
                log_event("node_silent", peer=address)

    def run_saving(self) -> None:
        """Keep nodes and configuration on disk until killed."""
        while True:
            gevent.sleep(SAVE_SECONDS)
            self.save()

    def run_drained(self) -> None:
        """Tell and save drained domains whenever they change, until killed.

        At once: an operator takes an acknowledged order for one in force, and a host
        that loses power tells what it saved until a leader is elected. Nobody else
        saves them: of two writes at a time the older one could last.
        """
        while True:
            if self._drained_changed.wait(SAVE_SECONDS):
                self._drained_changed.clear()
                self.announce()
            self.save_drained()

    def run_confirming(self, is_current: Callable[[], bool]) -> None:
        """Ask until the log holds all that is in force; then tell drained domains."""
        while not is_current():
            gevent.sleep(CONFIRM_SECONDS)
        self.confirm()

    def confirm(self) -> None:
        """Tell drained domains from now on as the log has them."""
        self._is_confirmed = True
        self._drained_changed.set()
        drained = self.find_drained()
        log_event("drained_domains_confirmed", revision=drained.revision)

    def save(self) -> None:
        """Write what has changed; a write that fails is tried again."""
        known = self.registry.list_known()
        if known != self._saved_nodes and self._files.nodes.save(known):
            self._saved_nodes = known
        offered = self._pack()
        if offered.version == self._saved_version:
            return
        if self._files.version.save(offered):
            self._saved_version = offered.version

    def save_drained(self) -> None:
        """Write the drained domains when they have changed."""
        drained = self.find_drained()
        if drained != self._saved_drained and self._files.drained.save(drained):
            self._saved_drained = drained

    def announce(self) -> None:
        """Tell each node that holds older ones of the present orders."""
        version, drained = self._find_version(), self.find_drained()
        for address in self.registry.list_behind(version, drained):
            self._inner.send(address, Notice(version, drained))

    def find_drained(self) -> DrainedDomains | None:
        """Return the drained domains, or None while this host cannot be sure of them.

        The log is read again from its beginning, so older ones may be in force in it
        than this host told in its former run.
        """
        former = self._former_drained
        if not self._is_confirmed:
            return former
        present = self._state.domains.list_drained()
        if former is not None and former.revision > present.revision:
            return former
        return present

    def greet(self) -> None:
        """Tell the nodes of the former run what is offered, without being asked.

        They ask each 0.1 s while they know no control host; after a power loss of the
        whole fleet nothing is served until they have a configuration.
        """
        version, drained = self._find_version(), self.find_drained()
        if version or drained is not None:
            for address in self.registry.nodes:
                self._inner.send(address, Notice(version, drained))

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            address: {
                "role": node.role.name,
                "version": node.version,
                "drained_revision": node.drained_revision,
            }
            for address, node in self.registry.nodes.items()
        }

    def _take_hello(self, peer: str, hello: Hello) -> None:
        is_new = peer not in self.registry.nodes
        control = self.list_control()
        version = self._find_version()
        drained = self.find_drained()
        welcome = self.registry.take(
            peer, hello, version, control, read_clock(), drained
        )
        self._inner.send(peer, welcome)
        if is_new:
            log_event("node_heard", peer=peer, role=hello.role, version=hello.version)

    def _take_leave(self, peer: str, message: Leave) -> None:
        if self.registry.remove(peer):
            log_event("node_left", peer=peer)

    def _take_fetch(self, peer: str, fetch: Fetch) -> None:
        offered = self._pack()
        if offered.version < fetch.version:
            return
        for piece in make_pieces(offered.version, offered.whole, fetch.first):
            self._inner.send(peer, piece)

    def _find_version(self) -> int:
        return max(self._state.versions.version, self._offered.version)

    def _pack(self) -> PackedVersion:
        held = self._state.versions
        if held.version > self._offered.version:
            packed = zlib.compress(held.body, 6)
            self._offered = PackedVersion(held.version, packed)
        return self._offered
