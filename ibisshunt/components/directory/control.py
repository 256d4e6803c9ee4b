"""Serve the node directory and the active configuration on a control host."""

import zlib
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event

from ...coordination.directory.download import make_chunks
from ...coordination.directory.messages import FetchChunks, Hello, Leave, UpdateNotice
from ...coordination.directory.registry import Registry
from ...coordination.versions import FleetState
from ...helpers.clock import read_monotonic_clock
from ...helpers.logging import log_event
from ...model.domains import DrainedDomains
from .internal_socket import InternalSocket
from .saved_state import DirectoryFiles, SavedConfiguration

# Interval of update notices to nodes that are behind: datagrams may be lost.
NOTIFY_SECONDS = 0.25
# Interval at which a host that has started checks whether its log is current.
CONFIRM_RETRY_SECONDS = 0.2
# One write covers all nodes that register at a fleet's start, or a series of
# configurations.
SAVE_SECONDS = 0.5


class ControlDirectory:
    """Manage the registry of one control host and the configuration that it offers.

    Until a leader is elected it is unknown which configuration is active in the log,
    and after a power loss of the whole fleet no node holds one: targets stood idle for
    1.4 s while callers were rejected. So the host offers the configuration that was
    active here in its previous run, until the log has a newer one. It may be outdated
    for as long as the election takes; a node that has just started applies it, and no
    node replaces its own by a version that is not higher.

    The same holds for drained domains, except on a host with an empty disk: what it
    knows of them before its log is complete could open a domain that is drained. It
    sends none until ``confirm_drained_domains`` was called.
    """

    def __init__(
        self,
        internal_socket: InternalSocket,
        state: FleetState,
        list_control_hosts: Callable[[], tuple[str, ...]],
        files: DirectoryFiles,
    ) -> None:
        # Replaced once the log is loaded, which takes longer than this constructor.
        self.list_control_hosts = list_control_hosts
        saved = files.nodes.load()
        self.registry = Registry(read_monotonic_clock(), saved)
        self._files = files
        self._saved_nodes = saved
        self._configuration: SavedConfiguration = files.configuration.load()
        self._saved_version = self._configuration.version
        self._saved_drained: DrainedDomains | None = files.drained_domains.load()
        self._previous_drained = self._saved_drained
        self._is_confirmed = False
        self._drained_changed = Event()
        state.domains.on_change = self._drained_changed.set
        self._internal_socket = internal_socket
        self._state = state
        internal_socket.register_handler(Hello, self._handle_hello)
        internal_socket.register_handler(Leave, self._handle_leave)
        internal_socket.register_handler(FetchChunks, self._handle_fetch)

    def run(self) -> None:
        """Notify nodes of newer versions until killed."""
        while True:
            gevent.sleep(NOTIFY_SECONDS)
            self.notify_outdated_nodes()
            for address in self.registry.sweep(read_monotonic_clock()):
                log_event("node_silent", peer=address)

    def run_saving(self) -> None:
        """Save nodes and configuration until killed."""
        while True:
            gevent.sleep(SAVE_SECONDS)
            self.save()

    def run_drained_domains(self) -> None:
        """Send and save drained domains whenever they change, until killed.

        This is done at once: operators assume that an acknowledged change is active,
        and a host that loses power sends what it saved until a leader is elected.
        No other task saves them: of two concurrent writes the older one could win.
        """
        while True:
            if self._drained_changed.wait(SAVE_SECONDS):
                self._drained_changed.clear()
                self.notify_outdated_nodes()
            self.save_drained_domains()

    def run_confirmation(self, is_current: Callable[[], bool]) -> None:
        """Wait until the log is current; then confirm the drained domains."""
        while not is_current():
            gevent.sleep(CONFIRM_RETRY_SECONDS)
        self.confirm_drained_domains()

    def confirm_drained_domains(self) -> None:
        """Send the drained domains of the log from now on."""
        self._is_confirmed = True
        self._drained_changed.set()
        drained = self.get_drained_domains()
        log_event("drained_domains_confirmed", revision=drained.revision)

    def save(self) -> None:
        """Save what has changed; the next call retries a failed write."""
        nodes = self.registry.list_nodes_to_save()
        if nodes != self._saved_nodes and self._files.nodes.save(nodes):
            self._saved_nodes = nodes
        configuration = self._get_configuration()
        if configuration.version == self._saved_version:
            return
        if self._files.configuration.save(configuration):
            self._saved_version = configuration.version

    def save_drained_domains(self) -> None:
        """Save the drained domains if they have changed."""
        drained = self.get_drained_domains()
        if drained != self._saved_drained and self._files.drained_domains.save(drained):
            self._saved_drained = drained

    def notify_outdated_nodes(self) -> None:
        """Notify nodes that hold an older configuration or older drained domains."""
        version, drained = self._get_version(), self.get_drained_domains()
        for address in self.registry.list_outdated(version, drained):
            self._internal_socket.send(address, UpdateNotice(version, drained))

    def get_drained_domains(self) -> DrainedDomains | None:
        """Return the drained domains, or None while they are unknown on this host.

        The log is replayed from its beginning, so it may hold older ones than this host
        sent in its previous run.
        """
        previous = self._previous_drained
        if not self._is_confirmed:
            return previous
        current = self._state.domains.list_drained()
        if previous is not None and previous.revision > current.revision:
            return previous
        return current

    def notify_saved_nodes(self) -> None:
        """Notify the nodes of the previous run of the version offered.

        They send Hello every 0.1 s while they know no control host; after a power loss
        of the whole fleet nothing is served until they have a configuration.
        """
        version, drained = self._get_version(), self.get_drained_domains()
        if version or drained is not None:
            for address in self.registry.nodes:
                self._internal_socket.send(address, UpdateNotice(version, drained))

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

    def _handle_hello(self, peer: str, hello: Hello) -> None:
        is_new = peer not in self.registry.nodes
        control_hosts = self.list_control_hosts()
        version = self._get_version()
        drained = self.get_drained_domains()
        reply = self.registry.handle_hello(
            peer, hello, version, control_hosts, read_monotonic_clock(), drained
        )
        self._internal_socket.send(peer, reply)
        if is_new:
            log_event("node_heard", peer=peer, role=hello.role, version=hello.version)

    def _handle_leave(self, peer: str, message: Leave) -> None:
        if self.registry.remove(peer):
            log_event("node_left", peer=peer)

    def _handle_fetch(self, peer: str, fetch: FetchChunks) -> None:
        configuration = self._get_configuration()
        if configuration.version < fetch.version:
            return
        for chunk in make_chunks(
            configuration.version, configuration.compressed, fetch.first_chunk
        ):
            self._internal_socket.send(peer, chunk)

    def _get_version(self) -> int:
        return max(self._state.versions.version, self._configuration.version)

    def _get_configuration(self) -> SavedConfiguration:
        active = self._state.versions
        if active.version > self._configuration.version:
            compressed = zlib.compress(active.body, 6)
            self._configuration = SavedConfiguration(active.version, compressed)
        return self._configuration
