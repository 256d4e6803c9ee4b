"""Schedule the requests of one target and refuse those beyond its capacity."""

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from sortedcontainers import SortedDict

from .messages import Attempt

# The mean service time that is assumed before the first response.
INITIAL_SERVICE_SECONDS: Final = 0.05
SMOOTHING_FACTOR: Final = 0.1


class RefusalReason(StrEnum):
    """Reason for which a request is not admitted."""

    TOO_LATE = "deadline can not be met"
    QUEUE_FULL = "queue is full"
    CALLER_SHARE = "caller has its share of the queue"
    STOPPING = "agent is stopping"


@dataclass(frozen=True, slots=True)
class Refused:
    """Refusal of a request; ``retry_after`` is in seconds."""

    reason: RefusalReason
    retry_after: float


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A queued request; the lowest ``rank`` starts first."""

    attempt: Attempt
    caller: str
    deadline: float
    rank: tuple[float, int]


class Admission:
    """Manage the slots of one target and a bounded queue in front of them.

    The request with the nearest deadline starts first. A request of a caller that has
    others in the queue ranks as if its deadline were later, by the time that a round
    robin over the callers would take. So a caller with many requests does not delay
    those with few, which are served in order of arrival.
    """

    def __init__(self, slots: int, queue_limit: int) -> None:
        self.slots = slots
        self.queue_limit = queue_limit
        self.stopping = False
        self.running: dict[Attempt, str] = {}
        self.service_seconds = INITIAL_SERVICE_SECONDS
        self._queue: dict[Attempt, QueuedRequest] = {}
        self._attempts_by_rank: SortedDict = SortedDict()
        self._queued_by_caller: Counter[str] = Counter()
        self._arrival_count = 0

    @property
    def queued(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    def count_usable_slots(self, share: float) -> int:
        """Return the usable slots at a slow-start share in 0-1; at least one."""
        return max(1, round(self.slots * share))

    def estimate_wait(self, share: float = 1.0) -> float:
        """Return the seconds that a new request is expected to wait."""
        usable = self.count_usable_slots(share)
        ahead = len(self.running) + self.queued + 1 - usable
        return max(0, ahead) * self.service_seconds / usable

    def offer(
        self, attempt: Attempt, caller: str, deadline: float, now: float, share: float
    ) -> Refused | None:
        """Queue a request, or refuse it immediately.

        A request that will miss its deadline is refused: under overload all slots would
        otherwise serve requests whose callers have timed out.
        """
        if refused := self._find_refusal(caller, deadline, now, share):
            return refused
        self._arrival_count += 1
        rank = (deadline + self._compute_penalty(caller), self._arrival_count)
        self._queue[attempt] = QueuedRequest(attempt, caller, deadline, rank)
        self._attempts_by_rank[rank] = attempt
        self._queued_by_caller[caller] += 1
        return None

    def _compute_penalty(self, caller: str) -> float:
        """Return the seconds that a round robin takes for the caller's queue."""
        round_seconds = (
            self.service_seconds * max(1, len(self._queued_by_caller)) / self.slots
        )
        return (
            self._queued_by_caller[caller] * round_seconds
            if caller in self._queued_by_caller
            else 0.0
        )

    def _find_refusal(
        self, caller: str, deadline: float, now: float, share: float
    ) -> Refused | None:
        wait = self.estimate_wait(share)
        retry_after = max(wait, self.service_seconds)
        if self.stopping:
            return Refused(RefusalReason.STOPPING, retry_after)
        if now + wait + self.service_seconds > deadline:
            return Refused(RefusalReason.TOO_LATE, retry_after)
        if self.queued == 0 and len(self.running) < self.count_usable_slots(share):
            return None
        if self.queued >= self.queue_limit:
            return Refused(RefusalReason.QUEUE_FULL, retry_after)
        # A single caller may fill half of the queue; the rest is for the others.
        queued_of_caller = self._queued_by_caller.get(caller, 0)
        if queued_of_caller * 2 >= self.queue_limit + 1 and self.queue_limit > 1:
            return Refused(RefusalReason.CALLER_SHARE, retry_after)
        return None

    def start_next(self, now: float, share: float) -> QueuedRequest | None:
        """Start the next request; return None if no slot is free or none is queued."""
        if len(self.running) >= self.count_usable_slots(share):
            return None
        request = self.peek_next()
        if request is None:
            return None
        self.withdraw(request.attempt)
        self.running[request.attempt] = request.caller
        return request

    def pop_next(self) -> QueuedRequest | None:
        """Remove and return the next request, for an idle agent to run."""
        request = self.peek_next()
        if request is not None:
            self.withdraw(request.attempt)
        return request

    def withdraw(self, attempt: Attempt) -> bool:
        """Remove a request from the queue; return whether it was queued."""
        request = self._queue.pop(attempt, None)
        if request is None:
            return False
        del self._attempts_by_rank[request.rank]
        self._queued_by_caller[request.caller] -= 1
        if not self._queued_by_caller[request.caller]:
            del self._queued_by_caller[request.caller]
        return True

    def list_expired(self, now: float) -> tuple[Attempt, ...]:
        """Return the queued requests that can no longer meet their deadlines."""
        latest = now + self.service_seconds / 2
        return tuple(
            attempt
            for attempt, request in self._queue.items()
            if request.deadline < latest
        )

    def finish(self, attempt: Attempt, seconds: float | None) -> None:
        """Free the slot; ``seconds`` is the service time, None after a cancellation."""
        if self.running.pop(attempt, None) is None:
            return
        if seconds is not None:
            change = seconds - self.service_seconds
            self.service_seconds += SMOOTHING_FACTOR * change

    def peek_next(self) -> QueuedRequest | None:
        """Return the next request and leave it in the queue."""
        if not self._attempts_by_rank:
            return None
        return self._queue[self._attempts_by_rank.peekitem(0)[1]]
