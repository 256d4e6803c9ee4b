"""Decide which new flows an agent hands over to its target.

The load it answers: balancers that all heard of a free slot send their flows together,
before the first shows in a status; and a target that is cold, or whose failure domain
is drained, is offered flows by balancers that have not heard so yet. The agent sees
each opening packet for its target, so what it refuses reaches the target from nowhere.
"""

from collections.abc import Callable

import msgspec

from ..messages import Reason
from ..placing.waiting import WaitingLine
from .cold_limit import ColdLimit
from .own_target import OwnTarget
from .requests import RequestLog

# How long a flow that has opened counts as a request that is about to come: the
# handshake and the request take two round trips to the caller.
OPENING_SECONDS = 0.03


class Refusal(msgspec.Struct, frozen=True):
    """Tell why an opening packet goes back.

    ``load`` is how many requests are at the target, ``wait`` for how many seconds it
    takes no new flow.
    """

    reason: Reason
    load: int = 0
    wait: float = 0.0


class Intake:
    """Own the flows that have just opened and the balancers that wait for a slot.

    ``find_quota`` returns how many new flows a cold target may get in a second, None
    for any number. Times are in seconds.
    """

    def __init__(
        self,
        target: OwnTarget,
        requests: RequestLog,
        find_quota: Callable[[], int | None],
        now: float,
    ) -> None:
        self._target = target
        self._requests = requests
        self._find_quota = find_quota
        self._opening: dict[bytes, float] = {}
        self._line = WaitingLine()
        self._cold = ColdLimit(now)

    def refuse(self, origin: str, key: bytes, limit: int, now: float) -> Refusal | None:
        """Return why a new flow of the balancer at ``origin`` goes back, or None.

        ``limit`` is how many requests may be at the target for it to take the flow.
        """
        if self._target.is_drained and self._target.is_open:
            return Refusal(Reason.DRAINED)
        if not self._target.takes_flows:
            return Refusal(Reason.NOT_OPEN)
        if wait := self._find_cold_wait(now):
            return Refusal(Reason.COLD, self.count_load(now), wait)
        self._line.note_offer(origin)
        load = self.count_load(now)
        if key not in self._opening and load > limit:
            self._line.join(origin, now)
            return Refusal(Reason.FULL, load)
        return None

    def take(self, key: bytes, now: float) -> None:
        """Count a flow whose opening packet is handed over."""
        self._opening[key] = now
        self._cold.note(now)

    def end(self, key: bytes) -> None:
        """Count a flow no more: its request has come, or its target did not take it."""
        self._opening.pop(key, None)

    def clear(self) -> None:
        """Count no flow any more: another target is there, or none."""
        self._opening.clear()

    def count_load(self, now: float) -> int:
        """Return the requests at the target and the flows that have just opened."""
        while self._opening:
            key = next(iter(self._opening))
            if now - self._opening[key] < OPENING_SECONDS:
                break
            del self._opening[key]
        return self._requests.active + len(self._opening)

    def take_waiting(self, now: float) -> str | None:
        """Return the balancer to tell of a free slot, None when no one waits for it."""
        if not self._target.takes_flows or self._find_cold_wait(now):
            return None
        room = self._requests.slots - self.count_load(now)
        return self._line.take(room, now)

    def _find_cold_wait(self, now: float) -> float:
        if not self._target.may_be_cold(now):
            return 0.0
        return self._cold.find_wait(self._find_quota(), now)
