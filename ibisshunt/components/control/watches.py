"""Stream the configuration to the nodes that watch it."""

import time
from collections.abc import Iterator
from typing import Any

import grpc
import msgspec

from ...const import HEARTBEAT_SECONDS, LEASE_SECONDS, RPC_TIMEOUT_SECONDS
from ...exceptions import Fault
from ...model.configuration import ConfigurationUpdate
from ...protocol.codec import encode
from ...protocol.leader import add_leader_hint
from ...protocol.messages import WatchRequest
from .host import ControlHost


class WatchHandler:
    """Serve watch streams; track until when this host may send heartbeats."""

    def __init__(self, host: ControlHost) -> None:
        self.stream_count = 0
        self._host = host
        self._stopping = False
        self._next_quorum_check = 0.0
        self._fresh_deadline = 0.0
        # Holding the update keeps its id() from being reused by another one.
        self._encoded_updates: dict[int, tuple[ConfigurationUpdate, msgspec.Raw]] = {}
        self._encoded_revision = 0

    def watch(self, request: WatchRequest, context: Any) -> Iterator[msgspec.Raw]:
        """Yield a snapshot or delta, then each change, and heartbeats in between."""
        # A partitioned host holds an outdated configuration without knowing it, and a
        # node that has just started cannot detect it: serve only with a fresh quorum.
        self._host.wait_for_read_barrier(context)
        self._extend_freshness()
        self.stream_count += 1
        try:
            yield from self._send_updates(request, context)
        finally:
            self.stream_count -= 1

    def stop(self) -> None:
        """End all streams."""
        self._stopping = True
        self._host.state.notify_waiters()

    def _send_updates(
        self, request: WatchRequest, context: Any
    ) -> Iterator[msgspec.Raw]:
        state, services = self._host.state, frozenset(request.services)
        sent_revision = request.since
        update = state.sender.make_update(sent_revision, services)
        sent_revision = max(sent_revision, update.revision)
        yield self._encode(update)
        while not self._stopping and context.is_active():
            state.wait_for_revision_after(sent_revision, HEARTBEAT_SECONDS)
            if state.store.revision <= sent_revision and not self._may_send_heartbeat(
                context
            ):
                continue
            update = state.sender.make_update(sent_revision, services)
            sent_revision = max(sent_revision, update.revision)
            yield self._encode(update)

    def _encode(self, update: ConfigurationUpdate) -> msgspec.Raw:
        """Return the encoded update, encoded once for all its receivers.

        When many nodes reconnect together, encoding the complete configuration for
        each would double the work per node.
        """
        if update.revision != self._encoded_revision:
            self._encoded_updates.clear()
            self._encoded_revision = update.revision
        key = id(update)
        if key not in self._encoded_updates:
            self._encoded_updates[key] = (update, msgspec.Raw(encode(update)))
        return self._encoded_updates[key][1]

    def _may_send_heartbeat(self, context: Any) -> bool:
        """Return whether a heartbeat may be sent; abort the stream if not.

        A node that receives heartbeats stays connected. A host that lost its quorum
        must send none, so that its nodes switch to another host. All streams share one
        quorum check.
        """
        now = time.monotonic()
        if now >= self._next_quorum_check:
            self._next_quorum_check = now + HEARTBEAT_SECONDS / 2
            barrier = self._host.log.read_barrier(RPC_TIMEOUT_SECONDS)
            if barrier.swap().value_or(None) is None:
                self._extend_freshness()
        if time.monotonic() < self._fresh_deadline:
            return True
        fault = Fault("watch", self._host.settings.name, "no quorum answers this host")
        fault_with_leader = add_leader_hint(fault, self._host.find_leader())
        context.abort(grpc.StatusCode.UNAVAILABLE, str(fault_with_leader))
        return False

    def _extend_freshness(self) -> None:
        self._fresh_deadline = time.monotonic() + LEASE_SECONDS
