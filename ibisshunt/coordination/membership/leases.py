"""Decide which targets lost their lease."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Final

from ...const import HEARTBEAT_SECONDS, LEASE_SECONDS, RPC_TIMEOUT_SECONDS
from ...model.target import Announcement, Target, TargetState
from ..records.commands import TargetChange
from .damping import Flaps, note_change

# After the end of the lease, in seconds: a suspect target is held for gone, and later
# leaves the table. Until then the flows of one that is alive after all go on.
GONE_SECONDS: Final = 30.0
REMOVE_SECONDS: Final = 600.0
# Time for agents to find a new leader, in seconds.
SEARCH_SECONDS: Final = 2 * HEARTBEAT_SECONDS
# A sweep that comes later than this means that this process stood still.
PAUSE_SECONDS: Final = 2.0
# Below this number of leases a majority of them says nothing about control itself.
MIN_CROWD: Final = 4

NameKey = tuple[str, str, str]


@dataclass(frozen=True, slots=True)
class Lease:
    """Hold until when a target counts as alive, in monotonic seconds.

    ``flows`` is what it last said to hold.
    """

    target: Target
    deadline: float
    flows: int = 0

    @property
    def service(self) -> tuple[str, str]:
        """Return the key of the service."""
        announced = self.target.announcement
        return (announced.business, announced.service)


class LeaseBook:
    """Hold the leases of all targets in the memory of the leader."""

    def __init__(self) -> None:
        self.leases: dict[int, Lease] = {}
        self._flips: dict[int, Flaps] = {}
        self._leaving: dict[int, float] = {}
        self._restarts: dict[NameKey, Flaps] = {}
        self._last_sweep: float | None = None

    def restart(self, targets: Iterable[Target], now: float) -> None:
        """Give every target a fresh lease, as a new leader must.

        The old leader knew the renewals, this one knows none: without fresh leases
        all targets would expire together.
        """
        self.__init__()
        self.track(targets, now)
        self._extend(SEARCH_SECONDS)
        self._last_sweep = now
        for lease in self.leases.values():
            if lease.target.state == TargetState.LEAVING:
                self.note_leaving(lease.target.incarnation, now)

    def track(self, targets: Iterable[Target], now: float) -> None:
        """Take over the targets of the store; new ones get a fresh lease."""
        before = self.leases
        self.leases = {}
        for target in targets:
            held = before.get(target.incarnation)
            self.leases[target.incarnation] = (
                replace(held, target=target)
                if held
                else Lease(target, now + LEASE_SECONDS)
            )
        for incarnation in before.keys() - self.leases.keys():
            self._flips.pop(incarnation, None)
            self._leaving.pop(incarnation, None)

    def renew(self, incarnation: int, flows: int, now: float) -> None:
        """Note that a target announced itself and how many flows it holds."""
        if lease := self.leases.get(incarnation):
            self.leases[incarnation] = replace(
                lease, deadline=now + LEASE_SECONDS, flows=flows
            )

    def find_hold(self, announced: Announcement, known: int, now: float) -> float:
        """Return for how many seconds a target may not come back yet, 0.0 for none.

        ``known`` is its incarnation, or 0 for a process that was not seen before.
        """
        flaps = (
            self._flips.get(known)
            if known
            else self._restarts.get(_name_key(announced))
        )
        deadline = max(
            flaps.hold_deadline if flaps else now, self._leaving.get(known, now)
        )
        return max(0.0, deadline - now)

    def note_leaving(self, incarnation: int, now: float) -> None:
        """Note that a target said it leaves.

        An announcement from before may still be on its way: taken as a return it
        would send new work to a target that is about to go. No call is older than
        its timeout.
        """
        self._leaving[incarnation] = now + RPC_TIMEOUT_SECONDS

    def note_restart(self, announced: Announcement, now: float) -> None:
        """Note that a new process of a target was admitted."""
        key = _name_key(announced)
        self._restarts[key] = note_change(self._restarts.get(key, Flaps()), now)

    def is_held(self, incarnation: int, now: float) -> bool:
        """Tell whether a target counts as ready although its lease has ended."""
        lease = self.leases.get(incarnation)
        return (
            lease is not None
            and now >= lease.deadline
            and lease.target.state == TargetState.READY
        )

    def sweep(self, now: float) -> tuple[TargetChange, ...]:
        """Return what the end of leases changes."""
        last = now if self._last_sweep is None else self._last_sweep
        self._last_sweep = now
        if now - last > PAUSE_SECONDS:
            # This process stood still and heard nobody: the silence was its own.
            self._extend(now - last)
        self._forget_quiet(now)
        if self._is_cut_off(now):
            return ()
        suspects = self._find_suspects(now)
        for lease in suspects:
            incarnation = lease.target.incarnation
            flaps = self._flips.get(incarnation, Flaps())
            self._flips[incarnation] = note_change(flaps, now)
        return (
            *(_change(lease, TargetState.SUSPECT) for lease in suspects),
            *self._find_gone(now),
            *self._find_removed(now),
        )

    def _extend(self, seconds: float) -> None:
        self.leases = {
            incarnation: replace(lease, deadline=lease.deadline + seconds)
            for incarnation, lease in self.leases.items()
        }

    def _forget_quiet(self, now: float) -> None:
        quiet = [
            key for key, found in self._restarts.items() if now >= found.quiet_deadline
        ]
        for key in quiet:
            del self._restarts[key]

    def _is_cut_off(self, now: float) -> bool:
        """Tell whether most targets fell silent: then this host is the lonely one."""
        counted = [
            lease
            for lease in self.leases.values()
            if lease.target.state in (TargetState.READY, TargetState.SUSPECT)
        ]
        silent = sum(1 for lease in counted if now >= lease.deadline)
        return len(counted) >= MIN_CROWD and silent * 2 > len(counted)

    def _find_suspects(self, now: float) -> list[Lease]:
        """Return ready targets whose lease ended, longest silent first.

        A service keeps half of its targets ready whatever their leases say. When a
        failure domain is cut off from control it may still serve; an empty table
        serves nobody for certain.
        """
        spare = self._count_spare()
        silent = [
            lease
            for lease in self.leases.values()
            if lease.target.state == TargetState.READY and now >= lease.deadline
        ]
        suspects = []
        for lease in sorted(silent, key=_order):
            if spare[lease.service] <= 0:
                continue
            spare[lease.service] -= 1
            suspects.append(lease)
        return suspects

    def _count_spare(self) -> Counter[tuple[str, str]]:
        """Count for each service how many more targets may become suspect."""
        known: Counter[tuple[str, str]] = Counter()
        lost: Counter[tuple[str, str]] = Counter()
        for lease in self.leases.values():
            if lease.target.state == TargetState.LEAVING:
                continue
            known[lease.service] += 1
            # Gone targets count too: else those of a domain that is cut off would be
            # taken away half by half.
            if lease.target.state != TargetState.READY:
                lost[lease.service] += 1
        return Counter({key: count // 2 - lost[key] for key, count in known.items()})

    def _find_gone(self, now: float) -> tuple[TargetChange, ...]:
        return tuple(
            _change(lease, TargetState.GONE)
            for lease in self.leases.values()
            if lease.target.state == TargetState.SUSPECT
            and now >= lease.deadline + GONE_SECONDS
        )

    def _find_removed(self, now: float) -> tuple[TargetChange, ...]:
        heard = {
            lease.target.failure_domain
            for lease in self.leases.values()
            if now < lease.deadline
        }
        # Nothing at all is heard of a domain that is cut off: its targets stay in the
        # table, so that their flows have a way when it comes back.
        return tuple(
            _change(lease, None)
            for lease in self.leases.values()
            if lease.target.failure_domain in heard and _is_over(lease, now)
        )


def _is_over(lease: Lease, now: float) -> bool:
    """Tell whether a target that takes no new work has no flow left either."""
    if lease.target.state == TargetState.LEAVING and lease.flows == 0:
        return now >= lease.deadline + GONE_SECONDS
    if lease.target.state in (TargetState.LEAVING, TargetState.GONE):
        return now >= lease.deadline + REMOVE_SECONDS
    return False


def _order(lease: Lease) -> tuple[float, int]:
    return (lease.deadline, lease.target.incarnation)


def _name_key(announced: Announcement) -> NameKey:
    return (announced.business, announced.service, announced.name)


def _change(lease: Lease, state: TargetState | None) -> TargetChange:
    return TargetChange(*lease.service, lease.target.incarnation, state)
