"""Send the configuration to the nodes that watch it."""

import time
from collections.abc import Iterator
from typing import Any

import grpc
import msgspec

from ...const import HEARTBEAT_SECONDS, LEASE_SECONDS, RPC_TIMEOUT_SECONDS
from ...exceptions import Fault
from ...model.configuration import ConfigurationUpdate
from ...protocol.codec import encode
from ...protocol.leader import name_leader
from ...protocol.messages import WatchRequest
from .host import Host


class WatchHandler:
    """Own the streams to nodes, and what this host knows of its own freshness."""

    def __init__(self, host: Host) -> None:
        self.streams = 0
        self._host = host
        self._stopping = False
        self._check_deadline = 0.0
        self._fresh_deadline = 0.0
        # The update is held beside its bytes so that no other can get its id.
        self._encoded: dict[int, tuple[ConfigurationUpdate, msgspec.Raw]] = {}
        self._encoded_revision = 0

    def watch(self, request: WatchRequest, context: Any) -> Iterator[msgspec.Raw]:
        """Yield a snapshot or delta, then each change, and heartbeats between them."""
        # A host cut off from the others holds an old configuration without knowing.
        # A node with empty memory could not tell: only a fresh quorum may serve it.
        self._host.pass_barrier(context)
        self._note_fresh()
        self.streams += 1
        try:
            yield from self._follow(request, context)
        finally:
            self.streams -= 1

    def stop(self) -> None:
        """End all streams."""
        self._stopping = True
        self._host.state.wake()

    def _follow(self, request: WatchRequest, context: Any) -> Iterator[msgspec.Raw]:
        state, services = self._host.state, frozenset(request.services)
        since = request.since
        update = state.sender.make_update(since, services)
        since = max(since, update.revision)
        yield self._encode(update)
        while not self._stopping and context.is_active():
            state.wait_beyond(since, HEARTBEAT_SECONDS)
            if state.store.revision <= since and not self._is_fresh(context):
                continue
            update = state.sender.make_update(since, services)
            since = max(since, update.revision)
            yield self._encode(update)

    def _encode(self, update: ConfigurationUpdate) -> msgspec.Raw:
        """Return the update as it goes out, encoded once for all its receivers.

        When many nodes come back together, each encoding of a whole configuration
        would take as long as all other work for that node.
        """
        if update.revision != self._encoded_revision:
            self._encoded.clear()
            self._encoded_revision = update.revision
        key = id(update)
        if key not in self._encoded:
            self._encoded[key] = (update, msgspec.Raw(encode(update)))
        return self._encoded[key][1]

    def _is_fresh(self, context: Any) -> bool:
        """Tell whether a heartbeat may be sent; end the stream when it may not be.

        A node that hears heartbeats stays here. From a host that lost its quorum it
        must hear none, so that it goes to another one. All streams share one check.
        """
        now = time.monotonic()
        if now >= self._check_deadline:
            self._check_deadline = now + HEARTBEAT_SECONDS / 2
            barrier = self._host.log.read_barrier(RPC_TIMEOUT_SECONDS)
            if barrier.swap().value_or(None) is None:
                self._note_fresh()
        if time.monotonic() < self._fresh_deadline:
            return True
        fault = Fault("watch", self._host.settings.name, "no quorum answers this host")
        named = name_leader(fault, self._host.find_leader())
        context.abort(grpc.StatusCode.UNAVAILABLE, str(named))
        return False

    def _note_fresh(self) -> None:
        self._fresh_deadline = time.monotonic() + LEASE_SECONDS
