"""Decide whether a new flow is placed, waits at the balancer, or is refused.

The load it answers: a fleet is back after an outage, or a burst is above what the
targets can do. Requests that have waited are late whatever is done; handed over at
once they stand in front of all that come after them, which are then late as well. So
young flows go first, late ones take the slots that are left. Behind a queue a late one
is placed only while no other flow waits here: else it would make late all that come
after it, and its caller would mostly have left before its turn.
"""

from collections.abc import Iterator
from enum import IntEnum

import msgspec

from ..messages import NO_LIMIT
from ..routes import Route
from ..segment import Segment
from .placement import Target

# How long an opening packet waits at most, counted from the caller's first copy: a
# caller gives an opening up a little later.
HOLD_SECONDS = 1.0
# The share of a route's timeout after which a late flow waits no more for a free slot;
# the rest is left for the queue of a target and for the answer.
LATE_SHARE = 0.5
# The share of a route's timeout after which a flow that others wait before is refused;
# the rest is left for another try of its caller.
LAST_SHARE = 0.75
# How many agents may refuse a young flow because their load is above what was believed:
# after that, all targets are loaded more than their last words say.
MAX_CORRECTIONS = 2
MAX_HELD_OPENINGS = 2_000


class Verdict(IntEnum):
    """Tell what becomes of a new flow now."""

    PLACE = 0
    HOLD = 1
    REFUSE = 2


class Opening(msgspec.Struct):
    """Hold an opening packet that waits; ``began`` is when its caller sent the first.

    Times are in seconds of the balancer's clock.
    """

    segment: Segment
    began: float

    @property
    def deadline(self) -> float:
        """Return when it is refused if no target has become known."""
        return self.began + HOLD_SECONDS


class Openings:
    """Own the opening packets that wait at one balancer."""

    def __init__(self) -> None:
        self._held: dict[bytes, Opening] = {}

    def __len__(self) -> int:
        return len(self._held)

    def keep(self, segment: Segment, began: float) -> None:
        """Keep a packet, or its newest copy; leave it out when there are too many."""
        opening = self._held.get(segment.key)
        if opening is not None:
            opening.segment = segment
        elif len(self._held) < MAX_HELD_OPENINGS:
            self._held[segment.key] = Opening(segment, began)

    def drop(self, key: bytes) -> Opening | None:
        """Forget a packet that waits; return it."""
        return self._held.pop(key, None)

    def has_others(self, key: bytes) -> bool:
        """Tell whether other flows than this one wait."""
        return len(self._held) > (key in self._held)

    def find(self, key: bytes) -> Opening | None:
        """Return the packet of a flow that waits, or None."""
        return self._held.get(key)

    def list_young_first(self) -> Iterator[Opening]:
        """Yield all that wait, from the youngest to the oldest."""
        yield from sorted(
            self._held.values(), key=lambda opening: opening.began, reverse=True
        )


def judge_opening(
    best: Target, age: float, route: Route, is_crowded: bool, now: float
) -> Verdict:
    """Decide on a flow whose caller has waited ``age`` seconds.

    ``best`` is the target that it would go to, ``is_crowded`` tells that other flows
    wait at this balancer.
    """
    wait = best.estimate_wait(now)
    service = best.estimate_service(now)
    objective = route.objective_seconds
    # One request may wait at a target, so that its slot is not empty until balancers
    # hear of it.
    is_next = wait * max(1, best.status.slots) <= service
    if is_next or age + wait + service <= objective:
        return Verdict.PLACE
    if age < find_patience(route):
        return Verdict.HOLD
    if is_crowded:
        return Verdict.HOLD if age < find_last_moment(route) else Verdict.REFUSE
    # A target that has answered nothing yet is not known to be slow.
    if wait <= objective or not best.is_measured():
        return Verdict.PLACE
    return Verdict.REFUSE


def limit_requests(
    best: Target,
    age: float,
    route: Route,
    corrections: int,
    is_crowded: bool,
    now: float,
) -> int:
    """Return how many requests may be at a target for it to take a flow.

    Its agent knows the present load, the balancer a former one. A young flow is taken
    while it can be in time, and the first few only by a target that is about as loaded
    as was believed; a late one while nobody or one request waits for a slot, or, when
    it can wait no more and nobody waits here, in any case. The one that waits fills the
    time until the next balancer hears of the slot: without it slots stood empty for a
    third of the time.
    """
    if age >= find_patience(route) and not is_crowded:
        return NO_LIMIT
    slots = max(1, best.status.slots)
    left = route.objective_seconds - age
    service = best.estimate_service(now)
    in_time = slots + int(max(0.0, left - service) * slots / service)
    if corrections >= MAX_CORRECTIONS:
        return in_time
    return min(in_time, slots + int(best.count_requests(now)))


def find_patience(route: Route) -> float:
    """Return the age in seconds at which a late flow waits no more for a free slot."""
    return min(HOLD_SECONDS, LATE_SHARE * route.timeout / 1000)


def find_last_moment(route: Route) -> float:
    """Return the age in seconds at which a flow is refused that others wait before."""
    return min(HOLD_SECONDS, LAST_SHARE * route.timeout / 1000)
