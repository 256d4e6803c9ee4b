"""Admit targets, keep their leases and record expired ones in the log."""

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
from ...coordination.records.targets import find_target_by_session
from ...helpers.clock import read_wall_clock
from ...helpers.logging import log_event, warn_event
from ...model.target import Target, TargetState
from ...protocol.messages import AnnounceReply, AnnounceRequest
from .host import ControlHost

SWEEP_INTERVAL_SECONDS: Final = 0.5


class LeaseHandler:
    """Manage the leases, which exist only in the memory of the leader.

    Renewals are not replicated: thousands of targets renew every two seconds.
    """

    def __init__(self, host: ControlHost) -> None:
        self.book = LeaseBook()
        self._host = host
        self._is_leading = False
        self._tracked_revision = 0

    def handle_announce(self, request: AnnounceRequest, context: Any) -> AnnounceReply:
        """Admit a target or renew its lease."""
        self._host.require_leader(context)
        now = time.monotonic()
        self._sync_with_store(now)
        target = self._find_target(request)
        if target and _is_unchanged(target, request):
            self._renew(target.incarnation, request, now)
            return AnnounceReply(target.incarnation, LEASE_SECONDS)
        known_incarnation = target.incarnation if target else 0
        hold_down_seconds = self.book.find_hold_down(
            request.announcement, known_incarnation, now
        )
        if hold_down_seconds and not request.leaving:
            return self._apply_hold_down(
                request, known_incarnation, hold_down_seconds, now
            )
        command = AnnounceTarget(
            request.announcement, request.leaving, read_wall_clock()
        )
        outcome = self._host.state.store.precheck_announcement(command)
        if outcome is None:
            outcome = self._host.propose(command, TargetOutcome, context)
        if outcome.error:
            return AnnounceReply(0, 0.0, outcome.error)
        self._record_admission(outcome.incarnation, known_incarnation, request)
        return AnnounceReply(outcome.incarnation, LEASE_SECONDS)

    def run(self) -> None:
        """Expire leases periodically until killed."""
        while True:
            gevent.sleep(SWEEP_INTERVAL_SECONDS)
            now = time.monotonic()
            self._sync_with_store(now)
            if self._is_leading:
                self._sweep(now)

    def count_flows(self, incarnation: int) -> int:
        """Return how many flows a target has reported."""
        lease = self.book.leases.get(incarnation)
        return lease.flows if lease else 0

    def get_state_text(self, target: Target) -> str:
        """Return a target's state, "held" if only the majority rule keeps it ready."""
        is_kept_ready = self.book.is_kept_ready(target.incarnation, time.monotonic())
        if is_kept_ready and target.state == TargetState.READY:
            return "held"
        return target.state.value

    def _sync_with_store(self, now: float) -> None:
        """Update the leases after a change of the targets or of leadership."""
        is_leader, store = self._host.is_leader(), self._host.state.store
        if is_leader and not self._is_leading:
            log_event("leases_restarted", name=self._host.settings.name)
            self.book.reset(store.list_targets(), now)
        elif is_leader and store.revision != self._tracked_revision:
            self.book.track(store.list_targets(), now)
        self._is_leading = is_leader
        self._tracked_revision = store.revision

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
            # The next sweep computes the changes again from the state at that time.
            warn_event("lease_change_failed", reason=fault.reason)

    def _find_target(self, request: AnnounceRequest) -> Target | None:
        announcement = request.announcement
        key = (announcement.business, announcement.service)
        return find_target_by_session(
            self._host.state.store.targets.get(key, ()), announcement
        )

    def _apply_hold_down(
        self,
        request: AnnounceRequest,
        known_incarnation: int,
        hold_down_seconds: float,
        now: float,
    ) -> AnnounceReply:
        reason = (
            f"changed its state too often, is held back for {hold_down_seconds:.1f} s"
        )
        warn_event("target_held_back", target=request.announcement.name, reason=reason)
        if not known_incarnation:
            return AnnounceReply(0, 0.0, reason)
        # The target keeps its flows, so its lease must not expire.
        self._renew(known_incarnation, request, now)
        return AnnounceReply(known_incarnation, LEASE_SECONDS)

    def _record_admission(
        self, incarnation: int, known_incarnation: int, request: AnnounceRequest
    ) -> None:
        now = time.monotonic()
        self._sync_with_store(now)
        if incarnation and not known_incarnation:
            self.book.record_restart(request.announcement, now)
        self._renew(incarnation, request, now)

    def _renew(self, incarnation: int, request: AnnounceRequest, now: float) -> None:
        if request.leaving:
            self.book.record_leaving(incarnation, now)
        self.book.renew(incarnation, request.flows, now)


def _is_unchanged(target: Target, request: AnnounceRequest) -> bool:
    expected_state = TargetState.LEAVING if request.leaving else TargetState.READY
    return (
        target.announcement == request.announcement and target.state == expected_state
    )
