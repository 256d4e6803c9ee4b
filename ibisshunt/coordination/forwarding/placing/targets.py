"""Keep what one balancer knows of the targets, and whom it has yet to hear."""

from collections.abc import Callable

from ..messages import Status
from .placement import FORGET_SECONDS, Target

# How late a status may be.
LATE_SECONDS = 0.35
# How long after its start a balancer may not yet know all targets: three introductions
# to control and the statuses that they bring.
LEARN_SECONDS = 2.5
# How long a target that was listed, but has not spoken, counts as one that may hold a
# flow.
EXPECT_SECONDS = 3.0
# How long a balancer that has just started waits for the words of more targets before
# it places flows: from the last new one on, and from the first one on at most. All
# agents speak to it at once, and its link takes them one after the other.
GATHER_QUIET_SECONDS = 0.01
GATHER_SECONDS = 0.06


class KnownTargets:
    """Own the targets that agents told of; times are in seconds."""

    def __init__(self, tell: Callable[..., None], now: float) -> None:
        self.targets: dict[str, Target] = {}
        self._tell_event = tell
        self._learned_at = now + LEARN_SECONDS
        self._is_listed = False
        self._expected: dict[str, float] = {}
        self._is_told = False
        self._first_at = float("inf")
        self._newest_at = float("-inf")
        self._by_service: dict[str, list[Target]] = {}

    def list_of(self, service: str) -> list[Target]:
        """Return the targets of a service."""
        return self._by_service.get(service, [])

    def expect(self, address: str, now: float) -> None:
        """Take the word that an agent is there, which has yet to speak."""
        self._is_told = True
        if address not in self.targets:
            self._expected.setdefault(address, now)

    def finish_list(self, named: frozenset[str]) -> None:
        """Take the list of all agents; others are not waited for any more."""
        self._is_listed = True
        for address in self._expected.keys() - named:
            del self._expected[address]

    def is_learning(self, now: float) -> bool:
        """Tell whether this balancer may not know all targets yet.

        It started just now, or an agent was listed that has not spoken: a flow that
        nobody else holds may be there, and a reset would break it. The list of a
        control host that started just now as well lacks agents: with one target known,
        and that one leaving, new flows were reset though others were free.
        """
        if now < self._learned_at and not self._has_met_all():
            return True
        return any(now - at < EXPECT_SECONDS for at in self._expected.values())

    def is_gathering(self, now: float) -> bool:
        """Tell whether the first words of targets are still coming in.

        Flows that waited for a fleet to start would all go to the target that happens
        to speak first, from every balancer that hears it.
        """
        if now >= self._learned_at or (self._is_told and not self._expected):
            return False
        is_quiet = now >= self._newest_at + GATHER_QUIET_SECONDS
        return not is_quiet and now < self._first_at + GATHER_SECONDS

    def learn(self, address: str, status: Status, now: float) -> bool:
        """Take an agent's word; return whether it is new, has restarted or changed."""
        known = self.targets.get(address)
        if known is not None and _is_older(status, known, now):
            return False
        changed = known is None or _identify(known.status) != _identify(status)
        if known is None:
            known = self.targets[address] = Target(address, status, now, now)
            self._expected.pop(address, None)
            self._first_at = min(self._first_at, now)
            self._newest_at = now
        known.take(status, now)
        if changed:
            self._index()
            self._tell_event(
                "target_learned",
                peer=address,
                service=status.service,
                state=status.state,
                slots=status.slots,
            )
        return changed

    def forget(self, now: float) -> None:
        """Forget agents that were silent, or expected, for too long."""
        for address, at in tuple(self._expected.items()):
            if now - at >= FORGET_SECONDS:
                del self._expected[address]
        silent = [
            address
            for address, target in self.targets.items()
            if now - target.heard_at >= FORGET_SECONDS
        ]
        for address in silent:
            self._tell_event("target_forgotten", peer=address)
            del self.targets[address]
        if silent:
            self._index()

    def _has_met_all(self) -> bool:
        return self._is_listed and bool(self.targets) and not self._expected

    def _index(self) -> None:
        found: dict[str, list[Target]] = {}
        for target in self.targets.values():
            found.setdefault(target.status.service, []).append(target)
        self._by_service = found


def _identify(status: Status) -> tuple[int, int, str, int]:
    """Return what does not change while an agent and its target just go on."""
    return status.start, status.state, status.service, status.incarnation


def _is_older(status: Status, known: Target, now: float) -> bool:
    if status.start == known.status.start:
        return status.number <= known.status.number
    # Another start is a successor, whose host may count from a later point: only
    # while the known one still speaks can it be a late word of a predecessor.
    return status.start < known.status.start and now - known.heard_at < LATE_SECONDS
