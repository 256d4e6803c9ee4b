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
    arrival: int


class Admission:
    """Hold the slots of one target and the bounded queue before them.

    Of the callers that wait, the one with the fewest requests in slots goes first,
    then the one that was served least recently; within a caller the nearest deadline.
    """

    def __init__(self, slots: int, queue_limit: int) -> None:
        self.slots = slots
        self.queue_limit = queue_limit
        self.stopping = False
        self.running: dict[Attempt, str] = {}
        self.service_seconds = FIRST_SERVICE_SECONDS
        self._waiting: dict[Attempt, Waiting] = {}
        self._by_caller: dict[str, SortedDict] = {}
        self._served: dict[str, int] = {}
        self._turn = 0
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
        waiting = Waiting(attempt, caller, deadline, self._arrivals)
        self._waiting[attempt] = waiting
        queue = self._by_caller.setdefault(caller, SortedDict())
        queue[(deadline, self._arrivals)] = attempt
        return None

    def _check(
        self, caller: str, deadline: float, now: float, share: float
    ) -> Refused | None:
        wait = self.estimate_wait(share)
        retry_after = max(wait, self.service_seconds)
        if self.stopping:
            return Refused(Refusal.STOPPING, retry_after)
        if now + wait + self.service_seconds > deadline:
            return Refused(Refusal.TOO_LATE, retry_after)
        if self.queued >= self.queue_limit:
            return Refused(Refusal.QUEUE_FULL, retry_after)
        # One caller alone may fill half of the queue; the rest is for the others.
        mine = len(self._by_caller.get(caller, ()))
        if mine * 2 >= self.queue_limit + 1 and self.queue_limit > 1:
            return Refused(Refusal.CALLER_SHARE, retry_after)
        return None

    def start_next(self, now: float, share: float) -> Waiting | None:
        """Give a free slot to the next request, or return None."""
        if len(self.running) >= self.count_usable(share):
            return None
        waiting = self._pick()
        if waiting is None:
            return None
        self.withdraw(waiting.attempt)
        self._turn += 1
        self._served[waiting.caller] = self._turn
        self._forget_idle_callers()
        self.running[waiting.attempt] = waiting.caller
        return waiting

    def take_next(self) -> Waiting | None:
        """Remove the request that would start next, for an idle agent to run."""
        waiting = self._pick()
        if waiting is not None:
            self.withdraw(waiting.attempt)
        return waiting

    def withdraw(self, attempt: Attempt) -> bool:
        """Remove a request that has not started; return whether it was waiting."""
        waiting = self._waiting.pop(attempt, None)
        if waiting is None:
            return False
        queue = self._by_caller[waiting.caller]
        del queue[(waiting.deadline, waiting.arrival)]
        if not queue:
            del self._by_caller[waiting.caller]
        return True

    def list_expired(self, now: float) -> tuple[Attempt, ...]:
        """Return the waiting requests that can no longer make their deadline."""
        latest = now + self.service_seconds / 2
        return tuple(
            attempt
            for queue in self._by_caller.values()
            for (deadline, _), attempt in queue.items()
            if deadline < latest
        )

    def finish(self, attempt: Attempt, seconds: float | None) -> None:
        """Free the slot; ``seconds`` is the time in it, None when it was cut short."""
        if self.running.pop(attempt, None) is None:
            return
        if seconds is not None:
            change = seconds - self.service_seconds
            self.service_seconds += SMOOTHING * change

    def _pick(self) -> Waiting | None:
        if not self._by_caller:
            return None
        busy = Counter(self.running.values())
        caller = min(
            self._by_caller,
            key=lambda name: (
                busy[name],
                self._served.get(name, 0),
                self._by_caller[name].peekitem(0)[0],
            ),
        )
        return self._waiting[self._by_caller[caller].peekitem(0)[1]]

    def _forget_idle_callers(self) -> None:
        """Bound the memory of who was served when."""
        if len(self._served) > 4 * self.queue_limit + 64:
            kept = sorted(self._served.items(), key=lambda item: item[1])
            self._served = dict(kept[len(kept) // 2 :])
