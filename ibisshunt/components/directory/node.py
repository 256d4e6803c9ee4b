"""Register a balancer or agent with control hosts, and fetch new configurations."""

import random
import zlib
from collections.abc import Callable
from typing import Any

import gevent

from ...coordination.directory.download import Download, make_chunks
from ...coordination.directory.messages import (
    Chunk,
    FetchChunks,
    HelloReply,
    Leave,
    NodeRole,
    Subscribe,
    UpdateNotice,
)
from ...coordination.directory.node_view import NodeView
from ...helpers.clock import read_monotonic_clock
from ...helpers.logging import log_event, warn_event
from ...model.domains import DrainedDomains
from .internal_socket import InternalSocket

# Interval of Hello messages; their reply also makes up for a lost update notice.
HELLO_SECONDS = 0.7
# The same while no control host replies.
DISCONNECTED_HELLO_SECONDS = 0.1
TICK_SECONDS = 0.1
# Copies of a node's Leave message, and their interval.
LEAVE_COPIES = 2
LEAVE_INTERVAL_SECONDS = 0.05
# Number of new nodes that a log line lists: on a small machine a line for
# each would take longer than contacting them.
MAX_LOGGED_NODES = 3
# How long after its last reply a control host counts as reachable: three Hello
# intervals.
CONTACT_TIMEOUT_SECONDS = 2.2


class NodeDirectory:
    """Maintain one node's view of the fleet and its copy of the configuration.

    ``apply_configuration`` gets an uncompressed configuration and returns its version,
    or None if it is rejected. ``on_new_node`` gets the address of each node that
    becomes known, ``on_node_list`` all nodes that control hosts list. ``is_empty``
    returns whether the node holds no flows and will hold none.
    """

    def __init__(
        self,
        internal_socket: InternalSocket,
        role: NodeRole,
        seeds: tuple[str, ...],
        apply_configuration: Callable[[bytes], int | None],
        on_new_node: Callable[[str], None],
        failure_domain: str = "",
        on_node_list: Callable[[frozenset[str]], None] = lambda listed: None,
        is_empty: Callable[[], bool] = lambda: False,
        on_drained_domains: Callable[[DrainedDomains], None] = lambda drained: None,
    ) -> None:
        self.view = NodeView(role, seeds, failure_domain)
        self.version = 0
        self.drained_domains: DrainedDomains | None = None
        self._compressed = b""
        self._download = Download()
        self._internal_socket = internal_socket
        self._apply_configuration = apply_configuration
        self._on_new_node = on_new_node
        self._on_node_list = on_node_list
        self._is_empty = is_empty
        self._on_drained_domains = on_drained_domains
        self._was_connected = False
        self._has_left = False
        internal_socket.register_handler(HelloReply, self._handle_hello_reply)
        internal_socket.register_handler(UpdateNotice, self._handle_update_notice)
        internal_socket.register_handler(Chunk, self._handle_chunk)
        internal_socket.register_handler(FetchChunks, self._handle_fetch)
        internal_socket.register_handler(Subscribe, self._handle_subscribe)

    def run(self) -> None:
        """Register with control hosts until killed."""
        next_hello_at = 0.0
        while True:
            now = read_monotonic_clock()
            if now >= next_hello_at:
                next_hello_at = now + self._send_hello(now)
            self._send_request(self._download.retry(now))
            self.view.expire(now)
            gevent.sleep(TICK_SECONDS)

    def leave(self) -> None:
        """Notify all control hosts that this node leaves permanently."""
        self._has_left = True
        for _ in range(LEAVE_COPIES):
            for address in self.view.list_control_hosts(read_monotonic_clock()):
                self._internal_socket.send(address, Leave())
            gevent.sleep(LEAVE_INTERVAL_SECONDS)

    def handle_offer(self, peer: str, version: int) -> None:
        """Handle the offer of a version from another node."""
        self._send_request(
            self._download.handle_offer(peer, version, read_monotonic_clock())
        )

    def is_connected(self) -> bool:
        """Return whether a control host replied lately."""
        return bool(self.list_recent_control_hosts())

    def list_recent_control_hosts(self) -> list[str]:
        """Return the control hosts that replied lately."""
        return self.view.list_recent_control_hosts(
            read_monotonic_clock(), CONTACT_TIMEOUT_SECONDS
        )

    def list_control_hosts(self) -> list[str]:
        """Return all known control hosts."""
        return self.view.list_control_hosts(read_monotonic_clock())

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        now = read_monotonic_clock()
        return {
            "version": self.version,
            "drained": self.drained_domains,
            "control": self.view.list_control_hosts(now),
            "nodes": self.view.list_nodes(),
            "in_touch": self.is_connected(),
        }

    def _send_hello(self, now: float) -> float:
        if self._has_left:
            return HELLO_SECONDS
        hello = self.view.make_hello(
            self.version, self._is_empty(), self.drained_domains
        )
        for address in self.view.list_control_hosts(now):
            self._internal_socket.send(address, hello)
        is_connected = self.is_connected()
        if is_connected != self._was_connected:
            self._was_connected = is_connected
            if is_connected:
                log_event("control_in_touch", version=self.version)
            else:
                warn_event("control_out_of_touch", version=self.version)
        pause = HELLO_SECONDS if is_connected else DISCONNECTED_HELLO_SECONDS
        # Jitter: all nodes of a fleet start at about the same time and would otherwise
        # always send at the same moments.
        return pause * (0.8 + 0.4 * random.random())

    def _handle_hello_reply(self, peer: str, reply: HelloReply) -> None:
        self._update_drained_domains(peer, reply.drained_domains)
        new_nodes = self.view.apply_reply(peer, reply, read_monotonic_clock())
        if new_nodes:
            first = ",".join(new_nodes[:MAX_LOGGED_NODES])
            log_event("nodes_learned", peer=peer, count=len(new_nodes), first=first)
        for node in new_nodes:
            self._on_new_node(node)
        if reply.is_settled:
            listed = self.view.list_listed_nodes(
                read_monotonic_clock(), CONTACT_TIMEOUT_SECONDS
            )
            self._on_node_list(listed)
        self.handle_offer(peer, reply.version)

    def _handle_update_notice(self, peer: str, notice: UpdateNotice) -> None:
        now = read_monotonic_clock()
        self._update_drained_domains(peer, notice.drained_domains)
        self.view.record_control_host(peer, now)
        if not self.is_connected():
            # A control host that has just started may know other nodes. It need not be
            # a seed, and after an outage the seeds may start later.
            self._send_hello(now)
        self.handle_offer(peer, notice.version)

    def _update_drained_domains(
        self, peer: str, drained: DrainedDomains | None
    ) -> None:
        """Apply drained domains that are newer than the current ones."""
        current = self.drained_domains
        if drained is None or (
            current is not None and drained.revision <= current.revision
        ):
            return
        self.drained_domains = drained
        log_event(
            "drained_domains_in_force",
            revision=drained.revision,
            domains=",".join(drained.domains) or "none",
            source=peer,
        )
        self._on_drained_domains(drained)
        if current is not None:
            # Sent at once: control hosts would otherwise notify this node again.
            self._send_hello(read_monotonic_clock())

    def _handle_subscribe(self, peer: str, message: Subscribe) -> None:
        self._update_drained_domains(peer, message.drained_domains)
        self.view.record_node(peer, read_monotonic_clock())
        self._on_new_node(peer)

    def _handle_chunk(self, peer: str, chunk: Chunk) -> None:
        compressed, request = self._download.handle_chunk(
            peer, chunk, read_monotonic_clock()
        )
        self._send_request(request)
        if compressed is None:
            return
        try:
            version = self._apply_configuration(zlib.decompress(compressed))
        except zlib.error as error:
            warn_event("configuration_unreadable", peer=peer, error=error)
            return
        if version is None or version <= self.version:
            return
        self.version, self._compressed = version, compressed
        self._download.mark_active(version)
        log_event("configuration_in_force", version=version, source=peer)
        # Sent at once: control hosts would otherwise notify this node again.
        self._send_hello(read_monotonic_clock())

    def _handle_fetch(self, peer: str, fetch: FetchChunks) -> None:
        if self.version < fetch.version:
            return
        for chunk in make_chunks(self.version, self._compressed, fetch.first_chunk):
            self._internal_socket.send(peer, chunk)

    def _send_request(self, request: tuple[str, FetchChunks] | None) -> None:
        if request is not None:
            self._internal_socket.send(*request)
