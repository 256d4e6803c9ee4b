"""Serve HTTP requests of one target: once, whole, and fairly shared."""

import time
from collections.abc import Iterable
from typing import Any, Final

import gevent

from ...const import STOP_GRACE_SECONDS
from ...coordination.requests.holders import Member, find_incarnation
from ...core import Kernel
from ...helpers.logging import warn_event
from ...helpers.metrics import Sample, SampleKind
from ...helpers.tls import make_channel_credentials, make_server_credentials
from ...model.configuration import Configuration, ServiceSlice
from ...model.record import FrontKind
from ...model.target import Target, TargetState
from ...settings import AgentSettings
from .client import TargetClient
from .desk import Desk
from .dispatcher import Dispatcher
from .front import Front
from .intake import Intake
from .keeper import Keeper

TICK_SECONDS: Final = 0.02
STOP_POLL_SECONDS: Final = 0.02
# How long the other agents get to copy the outcomes that are kept here.
LINGER_SECONDS: Final = 3.0
HOLDING_STATES = (TargetState.READY, TargetState.SUSPECT)


class Requests:
    """Tie the parts of the front together and follow the configuration."""

    def __init__(self, kernel: Kernel, settings: AgentSettings) -> None:
        self._kernel = kernel
        self._settings = settings
        clock = time.monotonic
        client = TargetClient(settings.target.streams)
        credentials = make_channel_credentials(settings.tls)
        self.dispatcher = Dispatcher(client, clock, credentials)
        self.keeper = Keeper(self.dispatcher.peers, clock)
        self.desk = Desk(self.dispatcher, self.keeper, clock)
        self.front = Front(self.desk, clock)
        self.intake: Intake | None = None
        if settings.rpc is not None:
            self.intake = Intake(
                settings.rpc,
                self.dispatcher,
                self.keeper,
                self.desk,
                make_server_credentials(settings.tls),
            )
        self._part: ServiceSlice | None = None
        self._followed = 0
        self._tasks = [
            kernel.spawn("requests_tick", self._run_ticks),
            kernel.spawn("requests_views", self.keeper.open_views),
        ]

    def follow(self, configuration: Configuration) -> None:
        """Note the slice of the agent's own service."""
        wanted = self._settings.target
        for part in configuration.slices.values():
            service = part.service
            if (service.business, service.name) == (wanted.business, wanted.service):
                self._part = part
                self._apply()

    def _run_ticks(self) -> None:
        while True:
            gevent.sleep(TICK_SECONDS)
            announcement = self._kernel.find("announcement")
            if self._followed != announcement.incarnation:
                self._apply()
            if announcement.leaving and not self.dispatcher.admission.stopping:
                self.dispatcher.stop()
            if self._part is not None and self._part.service.front == FrontKind.HTTP:
                self.dispatcher.tick()

    def _apply(self) -> None:
        announcement = self._kernel.find("announcement")
        part = self._part
        if part is None or part.service.front != FrontKind.HTTP:
            return
        self._followed = announcement.incarnation
        service = part.service
        self.front.policy = service.requests
        own = self._find_own(part, announcement)
        warm_deadline = own.warm_deadline if own else 0.0
        self.dispatcher.follow(service.slots, service.requests, warm_deadline)
        if own is not None:
            self._join(part, own)

    @staticmethod
    def _find_own(part: ServiceSlice, announcement: Any) -> Target | None:
        """Return this process as the slice knows it, or None until it does.

        A slice from before a restart holds the target with the former process: what
        that one kept is lost, so this process must not answer in its name.
        """
        wanted = (announcement.incarnation, announcement.agent_session)
        for target in part.targets:
            if (target.incarnation, target.announcement.agent_session) == wanted:
                return target
        return None

    def _join(self, part: ServiceSlice, own: Target) -> None:
        addresses = {
            identify(one): one.announcement.rpc
            for one in part.targets
            if one.announcement.rpc is not None
        }
        incarnation = identify(own)
        self.dispatcher.peers.follow(incarnation, addresses)
        self.keeper.follow(
            incarnation,
            part.revision,
            list_members(part.targets),
            is_founding(part),
            part.service.requests.retention_ms / 1000,
        )

    def is_ready(self) -> bool:
        """Tell whether new requests are taken."""
        return not self.dispatcher.admission.stopping

    def stop(self) -> None:
        """Finish what has started, refuse the rest, within the grace time."""
        self.dispatcher.stop()
        deadline = time.monotonic() + STOP_GRACE_SECONDS - LINGER_SECONDS - 2.0
        while self._count_busy() and time.monotonic() < deadline:
            gevent.sleep(STOP_POLL_SECONDS)
        if self._count_busy():
            warn_event("requests_cut", count=self._count_busy())
        linger_deadline = time.monotonic() + LINGER_SECONDS
        while not self.keeper.is_handed_over() and time.monotonic() < linger_deadline:
            gevent.sleep(STOP_POLL_SECONDS)
        self.front.close()
        gevent.killall(self._tasks)
        if self.intake is not None:
            self.intake.stop()
        self.dispatcher.peers.close()

    def _count_busy(self) -> int:
        return self.dispatcher.busy + self.front.busy

    def list_samples(self) -> Iterable[Sample]:
        """Return the counters for the metrics page."""
        admission = self.dispatcher.admission
        gauges = {
            "running": len(admission.running),
            "queued": admission.queued,
            "feeds": self.dispatcher.feeds,
            "ledger_open": int(self.keeper.is_open),
            "ledger_bytes": self.keeper.used_bytes,
        }
        for name, value in gauges.items():
            yield Sample(f"ibisshunt_requests_{name}", SampleKind.GAUGE, {}, value)
        for outcome, count in self.front.outcomes.items():
            labels = {"outcome": outcome}
            name = "ibisshunt_requests_total"
            yield Sample(name, SampleKind.COUNTER, labels, count)

    def dump(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            "ready": self.is_ready(),
            "requests": self.dispatcher.dump(),
            "ledger": self.keeper.dump(),
        }


def identify(target: Target) -> int:
    """Return the number of the agent's process beside a target."""
    return find_incarnation(target.incarnation, target.announcement.agent_session)


def list_members(targets: Iterable[Target]) -> list[Member]:
    """Return the agents that keep outcomes: those that stay and can be called."""
    return [
        Member(identify(one), one.name, one.failure_domain)
        for one in targets
        if one.state in HOLDING_STATES and one.announcement.rpc is not None
    ]


def is_founding(part: ServiceSlice) -> bool:
    """Tell whether no agent of the service has ever left."""
    stays = all(target.state in HOLDING_STATES for target in part.targets)
    return stays and part.left_revision == 0


def setup(kernel: Kernel, settings: AgentSettings) -> Requests:
    """Start the front of one agent; register it as ``front``."""
    requests = Requests(kernel, settings)
    kernel.find("configuration").subscribe(requests.follow)
    if kernel.has("metrics"):
        kernel.find("metrics").collect(requests.list_samples)
    kernel.register(
        "front",
        requests.front,
        unload=requests.stop,
        dump=requests.dump,
        ready=requests.is_ready,
    )
    return requests
