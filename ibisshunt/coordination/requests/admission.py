"""Decide which request runs next on one target, and which is refused."""

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from sortedcontainers import SortedDict

from .outcomes import Attempt

# The mean time in a slot that is assumed before the first answer, in seconds.
FIRST_SERVICE_SECONDS: Final = 0.05
SMOOTHING: Final = 0.1


class Refusal(StrEnum):
    """Name why a request is not admitted."""

    TOO_LATE = "deadline can not be met"
    QUEUE_FULL = "queue is full"
    CALLER_SHARE = "caller has its share of the queue"
    STOPPING = "agent is stopping"


@dataclass(frozen=True, slots=True)
class Refused:
    """Refuse a request; ``retry_after`` is in seconds."""

    reason: Refusal
    retry_after: float


@dataclass(frozen=True, slots=True)
class Waiting:
    """Describe a request that has not started."""

    attempt: Attempt
    caller: str
    deadline: float
    rank: tuple[float, int]


class Admission:
    """Hold the slots of one target and the bounded queue before them.

    The nearest deadline goes first. A request of a caller that has others waiting ranks
    as if its deadline were later, by the time that the callers' turns would take: so
    callers with few requests are served in the order of arrival, and one with many
    does not hold them up.
    """

    def __init__(self, slots: int, queue_limit: int) -> None:
        self.slots = slots
        self.queue_limit = queue_limit
        self.stopping = False
        self.running: dict[Attempt, str] = {}
        self.service_seconds = FIRST_SERVICE_SECONDS
        self._waiting: dict[Attempt, Waiting] = {}
        self._order: SortedDict = SortedDict()
        self._callers: Counter[str] = Counter()
        self._arrivals = 0

    @property
    def queued(self) -> int:
        """Count the requests that have not started."""
        return len(self._waiting)

    def count_usable(self, share: float) -> int:
        """Return the slots in use at a share in 0-1; a cold target has at least one."""
        return max(1, round(self.slots * share))

    def estimate_wait(self, share: float = 1.0) -> float:
        """Return the seconds that a new request is likely to wait."""
        usable = self.count_usable(share)
        ahead = len(self.running) + self.queued + 1 - usable
        return max(0, ahead) * self.service_seconds / usable

    def offer(
        self, attempt: Attempt, caller: str, deadline: float, now: float, share: float
    ) -> Refused | None:
        """Queue a request, or refuse it at once.

        A request that cannot make its deadline would take a slot for nothing: under
        overload all slots would serve requests whose callers have given up.
        """
        if refused := self._check(caller, deadline, now, share):
            return refused
        self._arrivals += 1
        rank = (deadline + self._find_handicap(caller), self._arrivals)
        self._waiting[attempt] = Waiting(attempt, caller, deadline, rank)
        self._order[rank] = attempt
        self._callers[caller] += 1
        return None

    def _find_handicap(self, caller: str) -> float:
        """Return the seconds that the caller's waiting requests take in turns."""
        turn = self.service_seconds * max(1, len(self._callers)) / self.slots
        return self._callers[caller] * turn if caller in self._callers else 0.0

    def _check(
        self, caller: str, deadline: float, now: float, share: float
    ) -> Refused | None:
        wait = self.estimate_wait(share)
        retry_after = max(wait, self.service_seconds)
        if self.stopping:
            return Refused(Refusal.STOPPING, retry_after)
        if now + wait + self.service_seconds > deadline:
            return Refused(Refusal.TOO_LATE, retry_after)
        if self.queued == 0 and len(self.running) < self.count_usable(share):
            return None
        if self.queued >= self.queue_limit:
            return Refused(Refusal.QUEUE_FULL, retry_after)
        # One caller alone may fill half of the queue; the rest is for the others.
        mine = self._callers.get(caller, 0)
        if mine * 2 >= self.queue_limit + 1 and self.queue_limit > 1:
            return Refused(Refusal.CALLER_SHARE, retry_after)
        return None

    def start_next(self, now: float, share: float) -> Waiting | None:
        """Give a free slot to the next request, or return None."""
        if len(self.running) >= self.count_usable(share):
            return None
        waiting = self.peek_next()
        if waiting is None:
            return None
        self.withdraw(waiting.attempt)
        self.running[waiting.attempt] = waiting.caller
        return waiting

    def take_next(self) -> Waiting | None:
        """Remove the request that would start next, for an idle agent to run."""
        waiting = self.peek_next()
        if waiting is not None:
            self.withdraw(waiting.attempt)
        return waiting

    def withdraw(self, attempt: Attempt) -> bool:
        """Remove a request that has not started; return whether it was waiting."""
        waiting = self._waiting.pop(attempt, None)
        if waiting is None:
            return False
        del self._order[waiting.rank]
        self._callers[waiting.caller] -= 1
        if not self._callers[waiting.caller]:
            del self._callers[waiting.caller]
        return True

    def list_expired(self, now: float) -> tuple[Attempt, ...]:
        """Return the waiting requests that can no longer make their deadline."""
        latest = now + self.service_seconds / 2
        return tuple(
            attempt
            for attempt, waiting in self._waiting.items()
            if waiting.deadline < latest
        )

    def finish(self, attempt: Attempt, seconds: float | None) -> None:
        """Free the slot; ``seconds`` is the time in it, None when it was cut short."""
        if self.running.pop(attempt, None) is None:
            return
        if seconds is not None:
            change = seconds - self.service_seconds
            self.service_seconds += SMOOTHING * change

    def peek_next(self) -> Waiting | None:
        """Return the request that would start next; it stays in the queue."""
        if not self._order:
            return None
        return self._waiting[self._order.peekitem(0)[1]]
