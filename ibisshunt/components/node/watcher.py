"""Watch the configuration on the control hosts and activate each update."""

import math
import random
import time
from collections.abc import Callable
from itertools import cycle
from typing import Any, Final

import gevent
import grpc
from gevent.event import Event

from ...const import HEARTBEAT_SECONDS
from ...coordination.distribution.receiver import (
    ActiveConfiguration,
    UpdateResult,
    UpdateVerdict,
    receive,
)
from ...core import Kernel
from ...exceptions import RpcError
from ...helpers.backoff import make_delays
from ...helpers.logging import log_event, warn_event
from ...model.address import Address
from ...model.configuration import Configuration, ConfigurationUpdate
from ...protocol.messages import REPORT, WATCH, ReportRequest, WatchRequest
from ...protocol.rpc import Channel, Stream

NEWER_REVISION_TIMEOUT_SECONDS: Final = 1.0
# A control host sends an update or a heartbeat at least once per heartbeat interval.
STREAM_SILENCE_TIMEOUT_SECONDS: Final = 3 * HEARTBEAT_SECONDS
STREAM_CHECK_INTERVAL_SECONDS: Final = 0.25
REVISION_CHECK_INTERVAL_SECONDS: Final = 0.1
REPORT_TIMEOUT_SECONDS: Final = 2.0

Subscriber = Callable[[Configuration], None]


class NodeConfiguration:
    """Store the active configuration and notify subscribers of changes."""

    def __init__(self) -> None:
        self._active = ActiveConfiguration()
        self._subscribers: list[Subscriber] = []
        self._newest_known_revision = 0
        self._newer_revision_deadline = math.inf

    @property
    def current(self) -> Configuration:
        """Return the active configuration."""
        return self._active.configuration

    def subscribe(self, callback: Subscriber) -> None:
        """Call ``callback`` with the current configuration and after each change."""
        self._subscribers.append(callback)
        callback(self.current)

    def record_peer_revision(self, revision: int) -> None:
        """Record that ``revision`` is active on a peer.

        Normally the open watch delivers it. If it does not before the deadline, the
        watch hangs or its host lags, and the next control host is tried.
        """
        if revision <= max(self.current.revision, self._newest_known_revision):
            return
        self._newest_known_revision = revision
        self._newer_revision_deadline = (
            time.monotonic() + NEWER_REVISION_TIMEOUT_SECONDS
        )

    def is_stale(self) -> bool:
        """Return whether the watch has not delivered a known newer revision in time."""
        if self.current.revision >= self._newest_known_revision:
            self._newer_revision_deadline = math.inf
        return time.monotonic() > self._newer_revision_deadline

    def restart_stale_timeout(self) -> None:
        """Restart the deadline for the newer revision after a new watch is opened."""
        if self._newer_revision_deadline != math.inf:
            self._newer_revision_deadline = (
                time.monotonic() + NEWER_REVISION_TIMEOUT_SECONDS
            )

    def apply_update(self, update: ConfigurationUpdate) -> UpdateResult:
        """Apply an update and notify subscribers if the configuration changed."""
        result = receive(self._active, update)
        self._active = result.active
        if result.verdict == UpdateVerdict.IN_FORCE:
            for callback in self._subscribers:
                callback(self.current)
        return result


class ConfigurationWatcher:
    """Watch the configuration over one connection to a control host at a time."""

    def __init__(
        self,
        node: str,
        role: str,
        control: tuple[Address, ...],
        services: tuple[str, ...],
        credentials: grpc.ChannelCredentials | None,
    ) -> None:
        self.configuration = NodeConfiguration()
        self._node = node
        self._role = role
        self._services = services
        self._control_hosts = cycle(control)
        self._credentials = credentials
        self.connected_host = ""
        self._last_revision = 0
        self._silence_deadline = math.inf
        self._stopping = Event()
        self._stream: Stream | None = None

    def run(self) -> None:
        """Watch one control host after another until stopped."""
        delays = make_delays(random.random)
        for address in self._control_hosts:
            previous_revision = self.configuration.current.revision
            self._watch_host(address)
            if self.configuration.current.revision > previous_revision:
                delays = make_delays(random.random)
            if self._stopping.wait(next(delays)):
                return

    def stop(self) -> None:
        """End the watch."""
        self._stopping.set()
        if self._stream is not None:
            self._stream.close()

    def _watch_host(self, address: Address) -> None:
        channel = Channel(address, self._credentials)
        request = WatchRequest(self._node, self._last_revision, self._services)
        self._stream = channel.stream(WATCH, request)
        self._silence_deadline = time.monotonic() + STREAM_SILENCE_TIMEOUT_SECONDS
        self.configuration.restart_stale_timeout()
        ended = Event()
        tasks = [
            gevent.spawn(self._report_revisions, channel, ended),
            gevent.spawn(self._close_when_stale, address, self._stream, ended),
        ]
        try:
            self._receive_updates(address, self._stream)
        except RpcError as error:
            if not self._stopping.is_set():
                warn_event("watch_lost", node=self._node, fault=error.fault)
        self.connected_host = ""
        ended.set()
        self._stream.close()
        gevent.joinall(tasks)
        channel.close()

    def _receive_updates(self, address: Address, stream: Stream) -> None:
        for update in stream:
            self.connected_host = str(address)
            self._silence_deadline = time.monotonic() + STREAM_SILENCE_TIMEOUT_SECONDS
            result = self.configuration.apply_update(update)
            self._last_revision = result.since
            if result.verdict == UpdateVerdict.CURRENT:
                continue
            log_event(
                "update_received",
                node=self._node,
                verdict=result.verdict,
                revision=update.revision,
                changed=len(update.changed),
            )
            if result.verdict != UpdateVerdict.IN_FORCE:
                return

    def _close_when_stale(self, address: Address, stream: Stream, ended: Event) -> None:
        """Close a watch that is silent or does not deliver a newer revision.

        A frozen or partitioned host keeps the connection open; without this check the
        node would keep its outdated configuration for as long as that lasts.
        """
        while not ended.wait(STREAM_CHECK_INTERVAL_SECONDS):
            is_silent = time.monotonic() > self._silence_deadline
            if is_silent or self.configuration.is_stale():
                warn_event(
                    "watch_ended", node=self._node, peer=address, silent=is_silent
                )
                stream.close()
                return

    def _report_revisions(self, channel: Channel, ended: Event) -> None:
        while not ended.is_set():
            revision = self.configuration.current.revision
            try:
                request = ReportRequest(self._node, self._role, revision)
                channel.call(REPORT, request, timeout=REPORT_TIMEOUT_SECONDS)
            except RpcError as error:
                warn_event("report_failed", node=self._node, fault=error.fault)
            self._wait_for_change(revision, ended)

    def _wait_for_change(self, revision: int, ended: Event) -> None:
        deadline = time.monotonic() + HEARTBEAT_SECONDS
        while time.monotonic() < deadline:
            if ended.wait(REVISION_CHECK_INTERVAL_SECONDS):
                return
            if self.configuration.current.revision != revision:
                return

    def dump(self) -> dict[str, Any]:
        """Return the state for the dump."""
        current = self.configuration.current
        return {
            "node": self._node,
            "revision": current.revision,
            "control": self.connected_host,
            "services": [slice_ for _, slice_ in sorted(current.slices.items())],
        }


def setup(
    kernel: Kernel,
    node: str,
    role: str,
    control: tuple[Address, ...],
    services: tuple[str, ...] = (),
    credentials: grpc.ChannelCredentials | None = None,
) -> NodeConfiguration:
    """Start watching the configuration; register it as ``configuration``."""
    watcher = ConfigurationWatcher(node, role, control, services, credentials)
    configuration = watcher.configuration
    task = kernel.spawn("watcher", watcher.run)

    def unload() -> None:
        watcher.stop()
        task.join(REPORT_TIMEOUT_SECONDS)

    kernel.register(
        "configuration",
        configuration,
        unload=unload,
        dump=watcher.dump,
        ready=lambda: configuration.current.revision > 0,
    )
    return configuration
