"""Admit targets, keep their leases and tell the log when one ends."""

import time
from typing import Any, Final

import gevent

from ...const import LEASE_SECONDS, RPC_TIMEOUT_SECONDS
from ...coordination.membership.leases import LeaseBook
from ...coordination.records.commands import (
    AnnounceTarget,
    ChangeTargets,
    TargetOutcome,
    encode_command,
)
from ...coordination.records.targets import find_session
from ...helpers.clock import read_shared_clock
from ...helpers.logging import log_event, warn_event
from ...model.target import Target, TargetState
from ...protocol.messages import AnnounceReply, AnnounceRequest
from .host import Host

SWEEP_SECONDS: Final = 0.5


class LeaseHandler:
    """Own the leases, which live in the memory of the leader alone.

    Renewals do not go through the log: thousands of targets renew every two seconds.
    """

    def __init__(self, host: Host) -> None:
        self.book = LeaseBook()
        self._host = host
        self._leading = False
        self._tracked = 0

    def announce(self, request: AnnounceRequest, context: Any) -> AnnounceReply:
        """Admit a target or renew its lease."""
        self._host.require_leader(context)
        now = time.monotonic()
        self._follow_store(now)
        target = self._find_target(request)
        if target and _is_unchanged(target, request):
            self._renew(target.incarnation, request, now)
            return AnnounceReply(target.incarnation, LEASE_SECONDS)
        known = target.incarnation if target else 0
        hold = self.book.find_hold(request.announcement, known, now)
        if hold and not request.leaving:
            return self._hold_back(request, known, hold, now)
        command = AnnounceTarget(
            request.announcement, request.leaving, read_shared_clock()
        )
        outcome = self._host.state.store.precheck_announcement(command)
        if outcome is None:
            outcome = self._host.propose(command, TargetOutcome, context)
        if outcome.error:
            return AnnounceReply(0, 0.0, outcome.error)
        self._admit(outcome.incarnation, known, request)
        return AnnounceReply(outcome.incarnation, LEASE_SECONDS)

    def run(self) -> None:
        """Look for ended leases for as long as the process runs."""
        while True:
            gevent.sleep(SWEEP_SECONDS)
            now = time.monotonic()
            self._follow_store(now)
            if self._leading:
                self._sweep(now)

    def count_flows(self, incarnation: int) -> int:
        """Return how many flows a target said it holds."""
        lease = self.book.leases.get(incarnation)
        return lease.flows if lease else 0

    def describe(self, target: Target) -> str:
        """Return the state of a target, or "held" when only the crowd rule keeps it."""
        held = self.book.is_held(target.incarnation, time.monotonic())
        if held and target.state == TargetState.READY:
            return "held"
        return target.state.value

    def _follow_store(self, now: float) -> None:
        """Keep the leases in step with the targets and with who leads."""
        leads, store = self._host.is_leader(), self._host.state.store
        if leads and not self._leading:
            log_event("leases_restarted", name=self._host.settings.name)
            self.book.restart(store.list_targets(), now)
        elif leads and store.revision != self._tracked:
            self.book.track(store.list_targets(), now)
        self._leading = leads
        self._tracked = store.revision

    def _sweep(self, now: float) -> None:
        changes = self.book.sweep(now)
        if not changes:
            return
        for change in changes:
            log_event(
                "target_lease_ended",
                service=f"{change.business}/{change.service}",
                incarnation=change.incarnation,
                state=change.state or "removed",
            )
        command = encode_command(ChangeTargets(changes))
        reply = self._host.log.propose(command, RPC_TIMEOUT_SECONDS)
        if fault := reply.swap().value_or(None):
            # The next sweep decides again, from the state as it is then.
            warn_event("lease_change_failed", reason=fault.reason)

    def _find_target(self, request: AnnounceRequest) -> Target | None:
        announced = request.announcement
        key = (announced.business, announced.service)
        return find_session(self._host.state.store.targets.get(key, ()), announced)

    def _hold_back(
        self, request: AnnounceRequest, known: int, hold: float, now: float
    ) -> AnnounceReply:
        reason = f"changed its state too often, is held back for {hold:.1f} s"
        warn_event("target_held_back", target=request.announcement.name, reason=reason)
        if not known:
            return AnnounceReply(0, 0.0, reason)
        # It stays in the table for its flows, and its lease must not end.
        self._renew(known, request, now)
        return AnnounceReply(known, LEASE_SECONDS)

    def _admit(self, incarnation: int, known: int, request: AnnounceRequest) -> None:
        now = time.monotonic()
        self._follow_store(now)
        if incarnation and not known:
            self.book.note_restart(request.announcement, now)
        self._renew(incarnation, request, now)

    def _renew(self, incarnation: int, request: AnnounceRequest, now: float) -> None:
        if request.leaving:
            self.book.note_leaving(incarnation, now)
        self.book.renew(incarnation, request.flows, now)


def _is_unchanged(target: Target, request: AnnounceRequest) -> bool:
    wanted = TargetState.LEAVING if request.leaving else TargetState.READY
    return target.announcement == request.announcement and target.state == wanted
