"""Serve HTTP requests of one target: once, whole, and fairly shared."""

import time
from collections.abc import Iterable
from typing import Any, Final

import gevent

from ...const import STOP_GRACE_SECONDS
from ...coordination.requests.holders import Member
from ...core import Kernel
from ...helpers.logging import warn_event
from ...model.configuration import Configuration, ServiceSlice
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
        self.dispatcher = Dispatcher(TargetClient(settings.target.streams), clock)
        self.keeper = Keeper(self.dispatcher.peers, clock)
        self.desk = Desk(self.dispatcher, self.keeper, clock)
        self.front = Front(self.desk, clock)
        self.intake: Intake | None = None
        if settings.rpc is not None:
            self.intake = Intake(settings.rpc, self.dispatcher, self.keeper, self.desk)
        self._part: ServiceSlice | None = None
        self._followed: tuple[int, int] = (0, 0)
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
            if self._followed[0] != announcement.incarnation:
                self._apply()
            if announcement.leaving and not self.dispatcher.admission.stopping:
                self.dispatcher.stop()
            self.dispatcher.tick()

    def _apply(self) -> None:
        incarnation = self._kernel.find("announcement").incarnation
        part = self._part
        if part is None or incarnation == 0:
            return
        self._followed = (incarnation, part.revision)
        self.front.policy = part.service.requests
        addresses = {
            one.incarnation: one.announcement.rpc
            for one in part.targets
            if one.announcement.rpc is not None
        }
        self.dispatcher.peers.follow(incarnation, addresses)
        own = [one for one in part.targets if one.incarnation == incarnation]
        warm_deadline = own[0].warm_deadline if own else 0.0
        service = part.service
        self.dispatcher.follow(service.slots, service.requests, warm_deadline)
        self.keeper.follow(
            incarnation,
            part.revision,
            list_members(part.targets),
            part.left_revision == 0,
            service.requests.retention_ms / 1000,
        )

    def is_ready(self) -> bool:
        """Tell whether new requests are taken."""
        return self._part is not None and not self.dispatcher.admission.stopping

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
        gevent.killall(self._tasks)
        if self.intake is not None:
            self.intake.stop()
        self.dispatcher.peers.close()

    def _count_busy(self) -> int:
        return self.dispatcher.busy + self.front.busy

    def dump(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            "ready": self.is_ready(),
            "requests": self.dispatcher.dump(),
            "ledger": self.keeper.dump(),
        }


def list_members(targets: Iterable[Target]) -> list[Member]:
    """Return the agents that keep outcomes: those that stay and can be called."""
    return [
        Member(one.incarnation, one.name, one.failure_domain)
        for one in targets
        if one.state in HOLDING_STATES and one.announcement.rpc is not None
    ]


def setup(kernel: Kernel, settings: AgentSettings) -> Requests:
    """Start the front of one agent; register it as ``front``."""
    requests = Requests(kernel, settings)
    kernel.find("configuration").subscribe(requests.follow)
    kernel.register("front", requests.front, unload=requests.stop, dump=requests.dump)
    return requests
