"""Decide which new flows an agent admits to its target.

Balancers cannot prevent overload by themselves: all that were notified of a free slot
send their flows at the same time, before a status counts the first of them, and a
balancer that does not know yet that a target is warming up or that its failure domain
is drained still sends it flows. The agent sees every SYN before its target, so no SYN
that it rejects can reach the target by another path.
"""

from collections.abc import Callable

import msgspec

from ..messages import RejectReason
from ..placement.slot_waiters import SlotWaiters
from .local_target import LocalTarget
from .request_tracker import RequestTracker
from .warmup_limiter import WarmupLimiter

# How long a delivered SYN counts as a request that is about to arrive: the handshake
# and the request take two round trips to the caller.
HANDSHAKE_SECONDS = 0.03


class Rejection(msgspec.Struct, frozen=True):
    """Reason why an agent rejects a packet.

    ``active_requests`` is how many requests are at the target, ``retry_after`` for how
    many seconds the target accepts no new flow.
    """

    reason: RejectReason
    active_requests: int = 0
    retry_after: float = 0.0


class FlowAdmission:
    """Decide on new flows by the handshakes in progress, load, warm-up and drains.

    It also tracks the balancers that wait for a slot.

    ``find_quota`` returns how many new flows a target may get in a second while it
    warms up, None for no limit. Times are in seconds.
    """

    def __init__(
        self,
        target: LocalTarget,
        requests: RequestTracker,
        find_quota: Callable[[], int | None],
        now: float,
    ) -> None:
        self._target = target
        self._requests = requests
        self._find_quota = find_quota
        self._handshakes: dict[bytes, float] = {}
        self._waiting = SlotWaiters()
        self._warmup_limiter = WarmupLimiter(now)

    def find_rejection(
        self, balancer: str, key: bytes, max_requests: int, now: float
    ) -> Rejection | None:
        """Return why a balancer's new flow is rejected, None when it is admitted.

        ``max_requests`` is how many requests may be at the target for it to be
        admitted.
        """
        if self._target.is_drained and self._target.is_open:
            return Rejection(RejectReason.DRAINED)
        if not self._target.accepts_flows:
            return Rejection(RejectReason.NOT_OPEN)
        if wait := self._compute_warmup_wait(now):
            return Rejection(RejectReason.COLD, self.count_load(now), wait)
        self._waiting.record_arrival(balancer)
        load = self.count_load(now)
        if key not in self._handshakes and load > max_requests:
            self._waiting.add(balancer, now)
            return Rejection(RejectReason.FULL, load)
        return None

    def start_handshake(self, key: bytes, now: float) -> None:
        """Count a flow whose SYN is delivered."""
        self._handshakes[key] = now
        self._warmup_limiter.record(now)

    def end_handshake(self, key: bytes) -> None:
        """Stop counting a flow: its request has arrived, or the target rejected it."""
        self._handshakes.pop(key, None)

    def clear(self) -> None:
        """Stop counting all flows: the target was replaced, or has left."""
        self._handshakes.clear()

    def count_load(self, now: float) -> int:
        """Return the requests at the target plus the handshakes in progress."""
        while self._handshakes:
            key = next(iter(self._handshakes))
            if now - self._handshakes[key] < HANDSHAKE_SECONDS:
                break
            del self._handshakes[key]
        return self._requests.active_count + len(self._handshakes)

    def pop_waiting_balancer(self, now: float) -> str | None:
        """Return the balancer to notify of a free slot, None when none waits."""
        if not self._target.accepts_flows or self._compute_warmup_wait(now):
            return None
        free_slots = self._requests.slots - self.count_load(now)
        return self._waiting.pop_next(free_slots, now)

    def _compute_warmup_wait(self, now: float) -> float:
        if not self._target.may_be_warming_up(now):
            return 0.0
        return self._warmup_limiter.compute_wait(self._find_quota(), now)
