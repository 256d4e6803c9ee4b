"""Serve the HTTP requests of one target and share them with the other agents.

Requests with an idempotency key run at most once, responses are delivered complete or
not at all, and callers get a fair share of the target.
"""

import time
from collections.abc import Iterable
from typing import Any, Final

import gevent

from ...const import STOP_GRACE_SECONDS
from ...coordination.requests.views import Member, hash_incarnation
from ...core import Kernel
from ...helpers.logging import warn_event
from ...helpers.metrics import Sample, SampleKind
from ...helpers.tls import make_channel_credentials, make_server_credentials
from ...model.configuration import Configuration, ServiceSlice
from ...model.record import FrontKind
from ...model.target import Target, TargetState
from ...settings import AgentSettings
from .dispatcher import Dispatcher
from .http_server import HttpServer
from .ledger_service import LedgerService
from .peer_server import PeerServer
from .request_handler import RequestHandler
from .target_client import TargetClient

TICK_SECONDS: Final = 0.02
STOP_POLL_SECONDS: Final = 0.02
# How long a planned stop waits until the other agents have fetched the outcomes.
REPLICATION_TIMEOUT_SECONDS: Final = 3.0
REPLICA_STATES = (TargetState.READY, TargetState.SUSPECT)


class RequestsComponent:
    """Connect the parts of the HTTP front end and apply configurations to them."""

    def __init__(self, kernel: Kernel, settings: AgentSettings) -> None:
        self._kernel = kernel
        self._settings = settings
        clock = time.monotonic
        client = TargetClient(settings.target.streams)
        credentials = make_channel_credentials(settings.tls)
        self.dispatcher = Dispatcher(client, clock, credentials)
        self.ledger_service = LedgerService(self.dispatcher.peers, clock)
        self.request_handler = RequestHandler(
            self.dispatcher, self.ledger_service, clock
        )
        self.http_server = HttpServer(self.request_handler, clock)
        self.peer_server: PeerServer | None = None
        if settings.rpc is not None:
            self.peer_server = PeerServer(
                settings.rpc,
                self.dispatcher,
                self.ledger_service,
                self.request_handler,
                make_server_credentials(settings.tls),
            )
        self._slice: ServiceSlice | None = None
        self._applied_incarnation = 0
        self._tasks = [
            kernel.spawn("requests_tick", self._run_ticks),
            kernel.spawn("requests_views", self.ledger_service.run_view_changes),
        ]

    def update_configuration(self, configuration: Configuration) -> None:
        """Apply the slice of the agent's own service."""
        target_settings = self._settings.target
        for slice_ in configuration.slices.values():
            service = slice_.service
            if (service.business, service.name) == (
                target_settings.business,
                target_settings.service,
            ):
                self._slice = slice_
                self._apply_slice()

    def _run_ticks(self) -> None:
        while True:
            gevent.sleep(TICK_SECONDS)
            announcement = self._kernel.find("announcement")
            if self._applied_incarnation != announcement.incarnation:
                self._apply_slice()
            if announcement.leaving and not self.dispatcher.admission.stopping:
                self.dispatcher.stop()
            if self._slice is not None and self._slice.service.front == FrontKind.HTTP:
                self.dispatcher.tick()

    def _apply_slice(self) -> None:
        announcement = self._kernel.find("announcement")
        slice_ = self._slice
        if slice_ is None or slice_.service.front != FrontKind.HTTP:
            return
        self._applied_incarnation = announcement.incarnation
        service = slice_.service
        self.http_server.policy = service.requests
        local_target = self._find_local_target(slice_, announcement)
        warm_deadline = local_target.warm_deadline if local_target else 0.0
        self.dispatcher.update_service(service.slots, service.requests, warm_deadline)
        if local_target is not None:
            self._update_members(slice_, local_target)

    @staticmethod
    def _find_local_target(slice_: ServiceSlice, announcement: Any) -> Target | None:
        """Return the target of this agent process, or None if the slice lacks it.

        A slice from before a restart contains the previous process of the agent. Its
        ledger is lost, so this process must not act as that replica.
        """
        expected = (announcement.incarnation, announcement.agent_session)
        for target in slice_.targets:
            if (target.incarnation, target.announcement.agent_session) == expected:
                return target
        return None

    def _update_members(self, slice_: ServiceSlice, local_target: Target) -> None:
        addresses = {
            find_agent_incarnation(target): target.announcement.rpc
            for target in slice_.targets
            if target.announcement.rpc is not None
        }
        incarnation = find_agent_incarnation(local_target)
        self.dispatcher.peers.update_addresses(incarnation, addresses)
        self.ledger_service.update_members(
            incarnation,
            slice_.revision,
            list_members(slice_.targets),
            no_departures(slice_),
            slice_.service.requests.retention_ms / 1000,
        )

    def is_ready(self) -> bool:
        """Return whether new requests are accepted."""
        return not self.dispatcher.admission.stopping

    def stop(self) -> None:
        """Finish running requests and refuse the others, within the grace period."""
        self.dispatcher.stop()
        deadline = (
            time.monotonic() + STOP_GRACE_SECONDS - REPLICATION_TIMEOUT_SECONDS - 2.0
        )
        while self._count_active() and time.monotonic() < deadline:
            gevent.sleep(STOP_POLL_SECONDS)
        if self._count_active():
            warn_event("requests_cut", count=self._count_active())
        replication_deadline = time.monotonic() + REPLICATION_TIMEOUT_SECONDS
        while (
            not self.ledger_service.is_safe_to_leave()
            and time.monotonic() < replication_deadline
        ):
            gevent.sleep(STOP_POLL_SECONDS)
        self.http_server.close()
        gevent.killall(self._tasks)
        if self.peer_server is not None:
            self.peer_server.stop()
        self.dispatcher.peers.close()

    def _count_active(self) -> int:
        return self.dispatcher.active_count + self.http_server.active_count

    def list_samples(self) -> Iterable[Sample]:
        """Yield the samples for the metrics page."""
        admission = self.dispatcher.admission
        gauges = {
            "running": len(admission.running),
            "queued": admission.queued,
            "feeds": self.dispatcher.event_streams,
            "ledger_open": int(self.ledger_service.is_open),
            "ledger_bytes": self.ledger_service.used_bytes,
        }
        for name, value in gauges.items():
            yield Sample(f"ibisshunt_requests_{name}", SampleKind.GAUGE, {}, value)
        for outcome, count in self.http_server.outcomes.items():
            labels = {"outcome": outcome}
            name = "ibisshunt_requests_total"
            yield Sample(name, SampleKind.COUNTER, labels, count)

    def dump(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            "ready": self.is_ready(),
            "requests": self.dispatcher.dump(),
            "ledger": self.ledger_service.dump(),
        }


def find_agent_incarnation(target: Target) -> int:
    """Return the incarnation of the agent process that serves a target."""
    return hash_incarnation(target.incarnation, target.announcement.agent_session)


def list_members(targets: Iterable[Target]) -> list[Member]:
    """Return the agents that store outcomes: not leaving, and with an RPC address."""
    return [
        Member(find_agent_incarnation(target), target.name, target.failure_domain)
        for target in targets
        if target.state in REPLICA_STATES and target.announcement.rpc is not None
    ]


def no_departures(slice_: ServiceSlice) -> bool:
    """Return whether no agent has ever left the service."""
    all_active = all(target.state in REPLICA_STATES for target in slice_.targets)
    return all_active and slice_.left_revision == 0


def setup(kernel: Kernel, settings: AgentSettings) -> RequestsComponent:
    """Start the HTTP front end of one agent; register its server as ``front``."""
    requests = RequestsComponent(kernel, settings)
    kernel.find("configuration").subscribe(requests.update_configuration)
    if kernel.has("metrics"):
        kernel.find("metrics").collect(requests.list_samples)
    kernel.register(
        "front",
        requests.http_server,
        unload=requests.stop,
        dump=requests.dump,
        ready=requests.is_ready,
    )
    return requests
