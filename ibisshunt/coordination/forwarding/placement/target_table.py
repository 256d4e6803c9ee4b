"""Track the targets that one balancer knows, and the agents without a status yet."""

from collections.abc import Callable

from ..messages import Status
from .target import RETENTION_SECONDS, Target

# Longest delay of a status on the network.
MAX_STATUS_DELAY_SECONDS = 0.35
# How long after its start a balancer may not know all targets yet: three registrations
# with control hosts and the statuses that follow.
LEARNING_SECONDS = 2.5
# How long a listed agent without a status counts as one whose target may hold a flow.
MAX_EXPECTED_SECONDS = 3.0
# How long a balancer that has just started waits for the statuses of more targets
# before it places flows: from the last new one on, and from the first one on at most.
# All agents send to it at once, and its link takes their statuses one after the other.
SETTLE_QUIET_SECONDS = 0.01
MAX_SETTLE_SECONDS = 0.06


class TargetTable:
    """The targets that agents reported; times are in seconds."""

    def __init__(self, log_event: Callable[..., None], now: float) -> None:
        self.targets: dict[str, Target] = {}
        self._log_event = log_event
        self._learning_until = now + LEARNING_SECONDS
        self._has_agent_list = False
        self._expected: dict[str, float] = {}
        self._has_listed_agents = False
        self._first_status_at = float("inf")
        self._newest_target_at = float("-inf")
        self._by_service: dict[str, list[Target]] = {}

    def list_by_service(self, service: str) -> list[Target]:
        """Return the targets of a service."""
        return self._by_service.get(service, [])

    def expect_agent(self, address: str, now: float) -> None:
        """Record an agent that is listed but has not sent a status yet."""
        self._has_listed_agents = True
        if address not in self.targets:
            self._expected.setdefault(address, now)

    def apply_agent_list(self, listed: frozenset[str]) -> None:
        """Apply the complete list of agents; stop waiting for any others."""
        self._has_agent_list = True
        for address in self._expected.keys() - listed:
            del self._expected[address]

    def is_learning(self, now: float) -> bool:
        """Return whether this balancer may not know all targets yet.

        It has just started, or a listed agent has not sent a status: its target may
        hold a flow that no other target holds, and a reset would break it. The list of
        a control host that has just started as well may lack agents: with one target
        known, and that one leaving, new flows are reset although other targets are
        free.
        """
        if now < self._learning_until and not self._has_all_statuses():
            return True
        return any(
            now - expected_at < MAX_EXPECTED_SECONDS
            for expected_at in self._expected.values()
        )

    def is_settling(self, now: float) -> bool:
        """Return whether the first statuses of targets are still arriving.

        Flows that waited for a fleet to start would all go to the target whose status
        happens to arrive first, from every balancer that gets it.
        """
        if now >= self._learning_until or (
            self._has_listed_agents and not self._expected
        ):
            return False
        is_quiet = now >= self._newest_target_at + SETTLE_QUIET_SECONDS
        return not is_quiet and now < self._first_status_at + MAX_SETTLE_SECONDS

    def update(self, address: str, status: Status, now: float) -> bool:
        """Apply a status; return whether its agent is new, has restarted or changed."""
        target = self.targets.get(address)
        if target is not None and _is_outdated(status, target, now):
            return False
        changed = target is None or _get_identity(target.status) != _get_identity(
            status
        )
        if target is None:
            target = self.targets[address] = Target(address, status, now, now)
            self._expected.pop(address, None)
            self._first_status_at = min(self._first_status_at, now)
            self._newest_target_at = now
        target.update(status, now)
        if changed:
            self._build_index()
            self._log_event(
                "target_learned",
                peer=address,
                service=status.service,
                state=status.state,
                slots=status.slots,
            )
        return changed

    def expire(self, now: float) -> None:
        """Remove agents that were silent, or expected, for too long."""
        for address, expected_at in tuple(self._expected.items()):
            if now - expected_at >= RETENTION_SECONDS:
                del self._expected[address]
        silent = [
            address
            for address, target in self.targets.items()
            if now - target.last_status_at >= RETENTION_SECONDS
        ]
        for address in silent:
            self._log_event("target_forgotten", peer=address)
            del self.targets[address]
        if silent:
            self._build_index()

    def _has_all_statuses(self) -> bool:
        return self._has_agent_list and bool(self.targets) and not self._expected

    def _build_index(self) -> None:
        index: dict[str, list[Target]] = {}
        for target in self.targets.values():
            index.setdefault(target.status.service, []).append(target)
        self._by_service = index


def _get_identity(status: Status) -> tuple[int, int, str, int, bool]:
    """Return the fields that do not change while an agent and its target run on."""
    return (
        status.agent_start_ms,
        status.state,
        status.service,
        status.incarnation,
        status.is_confirmed,
    )


def _is_outdated(status: Status, target: Target, now: float) -> bool:
    if status.agent_start_ms == target.status.agent_start_ms:
        return status.sequence <= target.status.sequence
    # A status with another start is from a successor, whose host's clock may be behind:
    # only while the known agent still sends can it be a late status of a predecessor.
    return (
        status.agent_start_ms < target.status.agent_start_ms
        and now - target.last_status_at < MAX_STATUS_DELAY_SECONDS
    )
