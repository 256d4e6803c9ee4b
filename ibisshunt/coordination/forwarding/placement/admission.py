"""Decide whether a new flow is placed, queued at the balancer, or rejected.

This handles a fleet that has recovered from an outage, and bursts above the capacity of
the targets. Requests that have waited past their objective are late in any case; placed
at once they would be ahead of all newer ones and make those late as well. So flows that
can still meet the objective go first, and late ones take the slots that are left. A
late flow is placed behind other requests only while no other flow is queued here:
otherwise it would delay all that arrive after it, and its caller would mostly have
given up before its turn.
"""

from collections.abc import Iterator
from enum import IntEnum

import msgspec

from ..messages import NO_LIMIT
from ..routes import Route
from ..segment import Segment
from .target import Target

# Longest time of a SYN in the queue, counted from the caller's first copy: a caller
# gives up a little later.
MAX_QUEUE_SECONDS = 1.0
# Fraction of a route's timeout after which a late flow no longer waits for a free slot;
# the rest is left for the queue of a target and for the answer.
SLOT_WAIT_FRACTION = 0.5
# Fraction of a route's timeout after which a flow is rejected if others are queued; the
# rest is left for another attempt of its caller.
REJECTION_FRACTION = 0.75
# Rejections for overload after which a flow's request limit follows from its objective
# alone: then all targets have more load than their last statuses show.
MAX_OVERLOAD_REJECTIONS = 2
MAX_PENDING_SYNS = 2_000


class AdmissionDecision(IntEnum):
    """What happens to a new flow now.

    PLACE: it goes to a target. HOLD: its SYN is queued at the balancer. REFUSE: it is
    reset.
    """

    PLACE = 0
    HOLD = 1
    REFUSE = 2


class PendingSyn(msgspec.Struct):
    """A queued SYN; ``first_syn_at`` is when its caller sent the first copy.

    Times are in seconds of the balancer's clock.
    """

    segment: Segment
    first_syn_at: float

    @property
    def expires_at(self) -> float:
        """Return when the SYN is rejected if no target has become known."""
        return self.first_syn_at + MAX_QUEUE_SECONDS


class SynQueue:
    """The SYNs that are queued at one balancer."""

    def __init__(self) -> None:
        self._pending: dict[bytes, PendingSyn] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def put(self, segment: Segment, first_syn_at: float) -> None:
        """Queue a SYN or its newest copy; drop it if the queue is full."""
        pending = self._pending.get(segment.key)
        if pending is not None:
            pending.segment = segment
        elif len(self._pending) < MAX_PENDING_SYNS:
            self._pending[segment.key] = PendingSyn(segment, first_syn_at)

    def pop(self, key: bytes) -> PendingSyn | None:
        """Remove a queued SYN and return it, or None."""
        return self._pending.pop(key, None)

    def has_others(self, key: bytes) -> bool:
        """Return whether SYNs of other flows are queued."""
        return len(self._pending) > (key in self._pending)

    def get(self, key: bytes) -> PendingSyn | None:
        """Return the queued SYN of a flow, or None."""
        return self._pending.get(key)

    def list_youngest_first(self) -> Iterator[PendingSyn]:
        """Yield all queued SYNs, the youngest first."""
        yield from sorted(
            self._pending.values(),
            key=lambda pending: pending.first_syn_at,
            reverse=True,
        )


def decide_admission(
    target: Target, syn_age: float, route: Route, has_other_pending: bool, now: float
) -> AdmissionDecision:
    """Decide on a flow whose caller has waited ``syn_age`` seconds.

    ``target`` is the one that it would go to; ``has_other_pending`` tells that SYNs of
    other flows are queued at this balancer.
    """
    wait = target.estimate_wait(now)
    service = target.estimate_service_time(now)
    objective = route.latency_objective_seconds
    # One request may wait at a target, so that its slot does not stay empty until
    # balancers learn that it is free.
    is_next_in_queue = wait * max(1, target.status.slots) <= service
    if is_next_in_queue or syn_age + wait + service <= objective:
        return AdmissionDecision.PLACE
    if syn_age < get_slot_wait_limit(route):
        return AdmissionDecision.HOLD
    if has_other_pending:
        return (
            AdmissionDecision.HOLD
            if syn_age < get_rejection_age(route)
            else AdmissionDecision.REFUSE
        )
    # A target that has not answered any request yet is not known to be slow.
    if wait <= objective or not target.has_service_time():
        return AdmissionDecision.PLACE
    return AdmissionDecision.REFUSE


def compute_request_limit(
    target: Target,
    syn_age: float,
    route: Route,
    overload_rejections: int,
    has_other_pending: bool,
    now: float,
) -> int:
    """Return how many requests may be at a target for it to accept a flow.

    The agent knows the current load, the balancer an older one. A flow within its
    objective is accepted while it can meet it, and for the first attempts only by a
    target that has about the load the balancer assumed. A late flow is accepted while
    at most one request waits for a slot, or in any case when it can wait no longer and
    no other flow is queued here. The one that waits fills the slot until the next
    balancer learns of it: without it slots stay empty for a third of the time.
    """
    if syn_age >= get_slot_wait_limit(route) and not has_other_pending:
        return NO_LIMIT
    slots = max(1, target.status.slots)
    remaining = route.latency_objective_seconds - syn_age
    service = target.estimate_service_time(now)
    limit_in_time = slots + int(max(0.0, remaining - service) * slots / service)
    if overload_rejections >= MAX_OVERLOAD_REJECTIONS:
        return limit_in_time
    return min(limit_in_time, slots + int(target.estimate_requests(now)))


def get_slot_wait_limit(route: Route) -> float:
    """Return the SYN age in seconds at which a late flow stops waiting for a slot."""
    return min(MAX_QUEUE_SECONDS, SLOT_WAIT_FRACTION * route.timeout_ms / 1000)


def get_rejection_age(route: Route) -> float:
    """Return the SYN age in seconds at which a flow is rejected if others wait."""
    return min(MAX_QUEUE_SECONDS, REJECTION_FRACTION * route.timeout_ms / 1000)
