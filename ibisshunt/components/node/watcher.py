"""Follow the configuration from control and put it in force."""

import random
from collections.abc import Callable
from itertools import cycle
from types import MappingProxyType
from typing import Any

import gevent
import grpc
from gevent.event import Event

from ...const import HEARTBEAT_SECONDS, RPC_TIMEOUT_SECONDS
from ...core import Kernel
from ...exceptions import RpcError
from ...helpers.backoff import make_delays
from ...helpers.logging import log_event, warn_event
from ...model.address import Address
from ...model.configuration import Configuration, ConfigurationUpdate
from ...protocol.messages import REPORT, WATCH, ReportRequest, WatchRequest
from ...protocol.rpc import Channel

Subscriber = Callable[[Configuration], None]


class NodeConfiguration:
    """Hold the configuration in force and tell subscribers when it changes."""

    def __init__(self) -> None:
        self.current = Configuration()
        self._subscribers: list[Subscriber] = []
        self._pull = Event()

    def subscribe(self, callback: Subscriber) -> None:
        """Call back with the current configuration and after each change."""
        self._subscribers.append(callback)
        callback(self.current)

    def request_pull(self, revision: int) -> None:
        """Note that a peer has ``revision`` in force; ask control when it is newer."""
        if revision > self.current.revision:
            self._pull.set()

    def put_in_force(self, update: ConfigurationUpdate) -> bool:
        """Apply an update; return False when it does not fit what is in force."""
        if update.revision <= self.current.revision:
            # A control host behind a partition may send old updates: going back
            # would revert an accepted change.
            return True
        if update.base not in (0, self.current.revision):
            return False
        slices = {} if update.base == 0 else dict(self.current.slices)
        slices.update({part.number: part for part in update.changed})
        for number in update.removed:
            slices.pop(number, None)
        self.current = Configuration(update.revision, MappingProxyType(slices))
        for callback in self._subscribers:
            callback(self.current)
        return True


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

    def run(self) -> None:
        """Follow one control host after another for as long as the process runs."""
        delays = make_delays(random.random)
        for address in self._hosts:
            before = self.configuration.current.revision
            self._follow(address)
            if self.configuration.current.revision > before:
                delays = make_delays(random.random)
            gevent.sleep(next(delays))

    def _follow(self, address: Address) -> None:
        channel = Channel(address, self._credentials)
        reporter = gevent.spawn(self._report, channel)
        try:
            self._watch(channel)
        except RpcError as error:
            warn_event("watch_lost", node=self._node, fault=error.fault)
        finally:
            self.connected_to = ""
            reporter.kill()
            channel.close()

    def _watch(self, channel: Channel) -> None:
        request = WatchRequest(self._node, self._since, self._services)
        for update in channel.stream(WATCH, request):
            self.connected_to = str(channel.address)
            if not self.configuration.put_in_force(update):
                # A lost delta would leave the table wrong for good: ask for a
                # snapshot by watching again from nothing.
                self._since = 0
                return
            self._since = self.configuration.current.revision
            log_event(
                "configuration_in_force",
                node=self._node,
                revision=self._since,
                changed=len(update.changed),
            )

    def _report(self, channel: Channel) -> None:
        while True:
            revision = self.configuration.current.revision
            try:
                request = ReportRequest(self._node, self._role, revision)
                channel.call(REPORT, request, timeout=RPC_TIMEOUT_SECONDS)
            except RpcError as error:
                warn_event("report_failed", node=self._node, fault=error.fault)
            self._wait_for_change(revision)

    def _wait_for_change(self, revision: int) -> None:
        for _ in range(int(HEARTBEAT_SECONDS / 0.1)):
            gevent.sleep(0.1)
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
    kernel.register(
        "configuration",
        configuration,
        unload=task.kill,
        dump=watcher.dump,
        ready=lambda: configuration.current.revision > 0,
    )
    return configuration
