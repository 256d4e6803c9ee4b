"""Grant leases to targets and decide what happens to targets whose lease expires."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Final

from ...const import HEARTBEAT_SECONDS, LEASE_SECONDS, RPC_TIMEOUT_SECONDS
from ...model.target import Announcement, Target, TargetState
from ..records.commands import TargetChange
from .damping import FlapHistory, record_change

# Time after the end of the lease when a suspect target is considered gone, and when it
# is removed from the table. Until then the flows of a target that is alive continue.
GONE_SECONDS: Final = 30.0
REMOVE_SECONDS: Final = 600.0
# Time for agents to find a new leader.
LEADER_SEARCH_SECONDS: Final = 2 * HEARTBEAT_SECONDS
# A longer gap between two sweeps means that this process was suspended.
MAX_SWEEP_GAP_SECONDS: Final = 2.0
# With fewer leases, expiry of most of them does not show that this host is isolated.
MIN_LEASES_FOR_MAJORITY: Final = 4

TargetKey = tuple[str, str, str]


@dataclass(frozen=True, slots=True)
class Lease:
    """Lease of a target; ``deadline`` is in monotonic seconds.

    ``flows`` is the number of flows that the target last reported.
    """

    target: Target
    deadline: float
    flows: int = 0

    @property
    def service(self) -> tuple[str, str]:
        """Return the key of the service."""
        announcement = self.target.announcement
        return (announcement.business, announcement.service)


class LeaseBook:
    """Manage the leases of all targets, in the memory of the leader only."""

    def __init__(self) -> None:
        self.leases: dict[int, Lease] = {}
        self._flaps_by_incarnation: dict[int, FlapHistory] = {}
        self._leaving_deadlines: dict[int, float] = {}
        self._flaps_by_target: dict[TargetKey, FlapHistory] = {}
        self._last_sweep: float | None = None

    def reset(self, targets: Iterable[Target], now: float) -> None:
        """Grant every target a new lease; to be called on a new leader.

        Only the previous leader knew the renewals: without new leases all targets
        would expire at once.
        """
        self.__init__()
        self.track(targets, now)
        self._extend_leases(LEADER_SEARCH_SECONDS)
        self._last_sweep = now
        for lease in self.leases.values():
            if lease.target.state == TargetState.LEAVING:
                self.record_leaving(lease.target.incarnation, now)

    def track(self, targets: Iterable[Target], now: float) -> None:
        """Update the leases to the targets of the record store; add missing leases."""
        before = self.leases
        self.leases = {}
        for target in targets:
            existing = before.get(target.incarnation)
            self.leases[target.incarnation] = (
                replace(existing, target=target)
                if existing
                else Lease(target, now + LEASE_SECONDS)
            )
        for incarnation in before.keys() - self.leases.keys():
            self._flaps_by_incarnation.pop(incarnation, None)
            self._leaving_deadlines.pop(incarnation, None)

    def renew(self, incarnation: int, flows: int, now: float) -> None:
        """Renew the lease of a target that has announced itself with its flow count."""
        if lease := self.leases.get(incarnation):
            self.leases[incarnation] = replace(
                lease, deadline=now + LEASE_SECONDS, flows=flows
            )

    def find_hold_down(
        self, announcement: Announcement, incarnation: int, now: float
    ) -> float:
        """Return the seconds until a target may become ready again, 0.0 for at once.

        ``incarnation`` is 0 for a process that was not seen before.
        """
        history = (
            self._flaps_by_incarnation.get(incarnation)
            if incarnation
            else self._flaps_by_target.get(_make_target_key(announcement))
        )
        deadline = max(
            history.hold_down_deadline if history else now,
            self._leaving_deadlines.get(incarnation, now),
        )
        return max(0.0, deadline - now)

    def record_leaving(self, incarnation: int, now: float) -> None:
        """Record that a target has announced that it is leaving.

        An earlier announcement may still be in transit: if it made the target ready
        again, a target that is about to stop would get new flows. No call is older than
        its timeout.
        """
        self._leaving_deadlines[incarnation] = now + RPC_TIMEOUT_SECONDS

    def record_restart(self, announcement: Announcement, now: float) -> None:
        """Record that a new process of a target was admitted."""
        key = _make_target_key(announcement)
        self._flaps_by_target[key] = record_change(
            self._flaps_by_target.get(key, FlapHistory()), now
        )

    def is_kept_ready(self, incarnation: int, now: float) -> bool:
        """Return whether a target stays ready although its lease has expired."""
        lease = self.leases.get(incarnation)
        return (
            lease is not None
            and now >= lease.deadline
            and lease.target.state == TargetState.READY
        )

    def sweep(self, now: float) -> tuple[TargetChange, ...]:
        """Return the state changes that follow from expired leases."""
        last = now if self._last_sweep is None else self._last_sweep
        self._last_sweep = now
        if now - last > MAX_SWEEP_GAP_SECONDS:
            # This process was suspended and could not receive any renewals.
            self._extend_leases(now - last)
        self._remove_stable(now)
        if self._is_isolated(now):
            return ()
        suspects = self._find_suspects(now)
        for lease in suspects:
            incarnation = lease.target.incarnation
            history = self._flaps_by_incarnation.get(incarnation, FlapHistory())
            self._flaps_by_incarnation[incarnation] = record_change(history, now)
        return (
            *(_make_change(lease, TargetState.SUSPECT) for lease in suspects),
            *self._find_gone(now),
            *self._find_removed(now),
        )

    def _extend_leases(self, seconds: float) -> None:
        self.leases = {
            incarnation: replace(lease, deadline=lease.deadline + seconds)
            for incarnation, lease in self.leases.items()
        }

    def _remove_stable(self, now: float) -> None:
        stable = [
            key
            for key, history in self._flaps_by_target.items()
            if now >= history.stable_deadline
        ]
        for key in stable:
            del self._flaps_by_target[key]

    def _is_isolated(self, now: float) -> bool:
        """Return whether most leases have expired: then this host is isolated."""
        counted = [
            lease
            for lease in self.leases.values()
            if lease.target.state in (TargetState.READY, TargetState.SUSPECT)
        ]
        silent = sum(1 for lease in counted if now >= lease.deadline)
        return len(counted) >= MIN_LEASES_FOR_MAJORITY and silent * 2 > len(counted)

    def _find_suspects(self, now: float) -> list[Lease]:
        """Return ready targets whose lease has expired, the longest silent first.

        A service keeps half of its targets ready whatever their leases say. A failure
        domain that cannot reach the control hosts may still serve its callers; an empty
        table certainly serves none.
        """
        allowed = self._count_allowed_suspects()
        silent = [
            lease
            for lease in self.leases.values()
            if lease.target.state == TargetState.READY and now >= lease.deadline
        ]
        suspects = []
        for lease in sorted(silent, key=_sort_key):
            if allowed[lease.service] <= 0:
                continue
            allowed[lease.service] -= 1
            suspects.append(lease)
        return suspects

    def _count_allowed_suspects(self) -> Counter[tuple[str, str]]:
        """Return for each service how many more targets may become suspect."""
        total: Counter[tuple[str, str]] = Counter()
        unready: Counter[tuple[str, str]] = Counter()
        for lease in self.leases.values():
            if lease.target.state == TargetState.LEAVING:
                continue
            total[lease.service] += 1
            # Gone targets count as well: otherwise the targets of an isolated domain
            # would be removed half by half.
            if lease.target.state != TargetState.READY:
                unready[lease.service] += 1
        return Counter({key: count // 2 - unready[key] for key, count in total.items()})

    def _find_gone(self, now: float) -> tuple[TargetChange, ...]:
        return tuple(
            _make_change(lease, TargetState.GONE)
            for lease in self.leases.values()
            if lease.target.state == TargetState.SUSPECT
            and now >= lease.deadline + GONE_SECONDS
        )

    def _find_removed(self, now: float) -> tuple[TargetChange, ...]:
        reachable_domains = {
            lease.target.failure_domain
            for lease in self.leases.values()
            if now < lease.deadline
        }
        # A domain without any renewal is isolated: its targets stay in the table, so
        # that their flows can continue when it is reachable again.
        return tuple(
            _make_change(lease, None)
            for lease in self.leases.values()
            if lease.target.failure_domain in reachable_domains
            and _is_removable(lease, now)
        )


def _is_removable(lease: Lease, now: float) -> bool:
    """Return whether a target that gets no new flows can be removed."""
    if lease.target.state == TargetState.LEAVING and lease.flows == 0:
        return now >= lease.deadline + GONE_SECONDS
    if lease.target.state in (TargetState.LEAVING, TargetState.GONE):
        return now >= lease.deadline + REMOVE_SECONDS
    return False


def _sort_key(lease: Lease) -> tuple[float, int]:
    return (lease.deadline, lease.target.incarnation)


def _make_target_key(announcement: Announcement) -> TargetKey:
    return (announcement.business, announcement.service, announcement.name)


def _make_change(lease: Lease, state: TargetState | None) -> TargetChange:
    return TargetChange(*lease.service, lease.target.incarnation, state)
