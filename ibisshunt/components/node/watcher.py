"""Follow the configuration from control and put it in force."""

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
    Received,
    Reception,
    Verdict as ReceptionVerdict,
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

PULL_SECONDS: Final = 1.0
# Control sends something at least once a heartbeat.
SILENCE_SECONDS: Final = 3 * HEARTBEAT_SECONDS
GUARD_INTERVAL_SECONDS: Final = 0.25
REPORT_INTERVAL_SECONDS: Final = 0.1
REPORT_TIMEOUT_SECONDS: Final = 2.0

Subscriber = Callable[[Configuration], None]


class NodeConfiguration:
    """Hold the configuration in force and tell subscribers when it changes."""

    def __init__(self) -> None:
        self._received = Received()
        self._subscribers: list[Subscriber] = []
        self._wanted_revision = 0
        self._pull_deadline = math.inf

    @property
    def current(self) -> Configuration:
        """Return the configuration in force."""
        return self._received.configuration

    def subscribe(self, callback: Subscriber) -> None:
        """Call back with the current configuration and after each change."""
        self._subscribers.append(callback)
        callback(self.current)

    def request_pull(self, revision: int) -> None:
        """Note that a peer has ``revision`` in force.

        The open watch brings it as a rule. A watch that hangs, or a host that lags,
        does not: after the deadline another host is asked.
        """
        if revision <= max(self.current.revision, self._wanted_revision):
            return
        self._wanted_revision = revision
        self._pull_deadline = time.monotonic() + PULL_SECONDS

    def is_stale(self) -> bool:
        """Tell whether a newer revision is known and the watch did not bring it."""
        if self.current.revision >= self._wanted_revision:
            self._pull_deadline = math.inf
        return time.monotonic() > self._pull_deadline

    def note_new_host(self) -> None:
        """Give a new watch its time to bring what is wanted."""
        if self._pull_deadline != math.inf:
            self._pull_deadline = time.monotonic() + PULL_SECONDS

    def put_in_force(self, update: ConfigurationUpdate) -> Reception:
        """Decide on an update and tell subscribers when it changed anything."""
        reception = receive(self._received, update)
        self._received = reception.received
        if reception.verdict == ReceptionVerdict.IN_FORCE:
            for callback in self._subscribers:
                callback(self.current)
        return reception


class Watcher:
    """Own the connection to control of one node."""

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
        self._hosts = cycle(control)
        self._credentials = credentials
        self.connected_to = ""
        self._since = 0
        self._silence_deadline = math.inf
        self._stopping = Event()
        self._stream: Stream | None = None

    def run(self) -> None:
        """Follow one control host after another until asked to stop."""
        delays = make_delays(random.random)
        for address in self._hosts:
            before = self.configuration.current.revision
            self._follow(address)
            if self.configuration.current.revision > before:
                delays = make_delays(random.random)
            if self._stopping.wait(next(delays)):
                return

    def stop(self) -> None:
        """End the watch."""
        self._stopping.set()
        if self._stream is not None:
            self._stream.close()

    def _follow(self, address: Address) -> None:
        channel = Channel(address, self._credentials)
        request = WatchRequest(self._node, self._since, self._services)
        self._stream = channel.stream(WATCH, request)
        self._silence_deadline = time.monotonic() + SILENCE_SECONDS
        self.configuration.note_new_host()
        ended = Event()
        helpers = [
            gevent.spawn(self._report, channel, ended),
            gevent.spawn(self._guard, address, self._stream, ended),
        ]
        try:
            self._watch(address, self._stream)
        except RpcError as error:
            if not self._stopping.is_set():
                warn_event("watch_lost", node=self._node, fault=error.fault)
        self.connected_to = ""
        ended.set()
        self._stream.close()
        gevent.joinall(helpers)
        channel.close()

    def _watch(self, address: Address, stream: Stream) -> None:
        for update in stream:
            self.connected_to = str(address)
            self._silence_deadline = time.monotonic() + SILENCE_SECONDS
            reception = self.configuration.put_in_force(update)
            self._since = reception.since
            if reception.verdict == ReceptionVerdict.CURRENT:
                continue
            log_event(
                "update_received",
                node=self._node,
                verdict=reception.verdict,
                revision=update.revision,
                changed=len(update.changed),
            )
            if reception.verdict != ReceptionVerdict.IN_FORCE:
                return

    def _guard(self, address: Address, stream: Stream, ended: Event) -> None:
        """End a watch that brings nothing any more.

        A host that is frozen or cut off keeps the connection open; without this the
        node would keep its old configuration for as long as that lasts.
        """
        while not ended.wait(GUARD_INTERVAL_SECONDS):
            silent = time.monotonic() > self._silence_deadline
            if silent or self.configuration.is_stale():
                warn_event("watch_ended", node=self._node, peer=address, silent=silent)
                stream.close()
                return

    def _report(self, channel: Channel, ended: Event) -> None:
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
            if ended.wait(REPORT_INTERVAL_SECONDS):
                return
            if self.configuration.current.revision != revision:
                return

    def dump(self) -> dict[str, Any]:
        """Return the state for the dump."""
        current = self.configuration.current
        return {
            "node": self._node,
            "revision": current.revision,
            "control": self.connected_to,
            "services": [part for _, part in sorted(current.slices.items())],
        }


def setup(
    kernel: Kernel,
    node: str,
    role: str,
    control: tuple[Address, ...],
    services: tuple[str, ...] = (),
    credentials: grpc.ChannelCredentials | None = None,
) -> NodeConfiguration:
    """Start to follow the configuration; register it as ``configuration``."""
    watcher = Watcher(node, role, control, services, credentials)
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
