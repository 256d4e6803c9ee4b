"""Choose the target of a new flow from what agents told of their loads."""

from collections.abc import Callable, Iterable
from math import ceil

import msgspec

from ..messages import Status, TargetState

# A target whose agent was silent this long, for three statuses, gets new flows only
# when there is nobody else.
SILENT_SECONDS = 1.3
# A target whose agent was heard within this time is not doubted: pings would tell
# nothing newer.
FRESH_SECONDS = 0.1
# A target whose agent was silent this long is pinged though no caller complains: one
# status and a half.
QUIET_SECONDS = 0.6
# A target whose agent was silent this long, for four statuses, and said nothing of a
# pause is lost.
LOST_SECONDS = 1.7
# How long a pause that was announced may last, the stop and the start of an agent.
PAUSE_SECONDS = 9.0
# How long a target that is silent or absent is worth waiting for.
RETURN_SECONDS = 4.0
# How long a silent agent is remembered at all, for flows that it may still hold.
FORGET_SECONDS = 20.0
# What an open flow without a request adds to a target's load, in requests.
IDLE_FLOW_LOAD = 0.1
# Time of service assumed of a target that has answered nothing yet.
UNKNOWN_SERVICE_SECONDS = 0.03
# How long a flow that was placed may not show in its target's word yet.
UNTOLD_SECONDS = 0.02
# How much of a target's speed goes into the queue that its last word told of; the rest
# goes to requests that came since.
DRAIN_SHARE = 0.5
# How much more load a target in the balancer's own failure domain may have than another
# and still be preferred, in requests per slot: ten idle flows.
NEAR_EXTRA_LOAD = 1.0
# Factor on the load of a target that is still cold.
COLD_FACTOR = 1.8


# Which share of failures, above twice the median of the service, keeps new flows away:
# more than one failure in the last ten answers, which is chance.
FAILING_PERCENT = 15


class Target(msgspec.Struct):
    """Hold what a balancer knows of one target; times are seconds of its clock.

    ``load`` is how many requests were there at ``load_at``. Words come each 0.1-0.4 s,
    in which a target serves many requests: the load is taken to drain meanwhile, except
    ``corrected``, when the agent refused a flow and tells on its own when a slot is
    free. ``incarnation`` is the tag of the target's last known incarnation.
    ``is_doubted`` tells that its agent is being pinged, ``is_deaf`` that it did not
    answer pings that others did; its next word ends both. Until ``rests_until`` it is
    cold and takes no new flow.
    """

    address: str
    status: Status
    heard_at: float
    warm_at: float
    load: float = 0.0
    load_at: float = 0.0
    corrected: bool = False
    placed: list[float] = msgspec.field(default_factory=list)
    incarnation: int = 0
    is_doubted: bool = False
    is_deaf: bool = False
    rests_until: float = 0.0

    def take(self, status: Status, now: float) -> None:
        """Take a newer word; flows placed just now are not in it yet."""
        self.placed = [at for at in self.placed if now - at < UNTOLD_SECONDS]
        self.status = status
        self.heard_at = now
        self.warm_at = now + status.warm_left / 1000
        self.load, self.load_at = status.active + len(self.placed), now
        self.corrected = False
        self.is_doubted = self.is_deaf = False
        self.incarnation = status.incarnation or self.incarnation

    def has_ended_by(self, status: Status) -> bool:
        """Tell whether a newer word says that this incarnation of the target is over.

        An agent that has not heard its target since its own start does not know.
        """
        if status.state == TargetState.GONE:
            return True
        known = self.incarnation
        return bool(known and status.incarnation and status.incarnation != known)

    def correct(self, load: int, now: float) -> None:
        """Take the load that the agent told when it refused a flow."""
        self.load, self.load_at = load, now
        self.corrected = True
        self.placed = []

    def place(self, now: float) -> None:
        """Count a flow that was sent there."""
        self.load, self.load_at = self.count_requests(now) + 1, now
        self.placed.append(now)

    def is_candidate(self, now: float) -> bool:
        """Tell whether new flows may go there."""
        is_open = self.status.state == TargetState.OPEN
        return is_open and now >= self.rests_until and not self.is_silent(now)

    def is_silent(self, now: float) -> bool:
        """Tell whether its agent has missed its statuses, or has not answered pings."""
        return self.is_deaf or now - self.heard_at >= SILENT_SECONDS

    def is_lost(self, now: float) -> bool:
        """Tell whether its agent can be taken for dead, and its flows with it."""
        paused = self.status.state == TargetState.PAUSED
        limit = PAUSE_SECONDS if paused else LOST_SECONDS
        return now - self.heard_at >= limit

    def is_unreachable(self, now: float) -> bool:
        """Tell whether a caller that may ask again is served sooner elsewhere."""
        return self.is_deaf or self.is_lost(now)

    def may_be_doubted(self, now: float) -> bool:
        """Tell whether its silence would mean something, and has lasted a little.

        One that has said that it restarts, or goes, is silent for good reason.
        """
        is_meant = self.status.state in (TargetState.PAUSED, TargetState.GONE)
        is_settled = self.is_doubted or self.is_deaf or is_meant
        return not is_settled and now - self.heard_at >= FRESH_SECONDS

    def may_relay(self, now: float) -> bool:
        """Tell whether its agent can ask others on behalf of a balancer."""
        is_leaving = self.status.state in (TargetState.GONE, TargetState.PAUSED)
        return not is_leaving and not self.is_silent(now)

    def may_return(self, now: float) -> bool:
        """Tell whether new flows may go there again within a second or two."""
        state = self.status.state
        if state in (TargetState.DRAINING, TargetState.GONE):
            return False
        return now - self.heard_at < RETURN_SECONDS

    def count_requests(self, now: float) -> float:
        """Return the requests that are likely at work or waiting there."""
        if self.corrected:
            return self.load
        slots = max(1, self.status.slots)
        drained = DRAIN_SHARE * (now - self.load_at) * slots
        return max(0.0, self.load - drained / self.estimate_service(now))

    def count_rounds(self, now: float) -> int:
        """Return how often all slots are taken by what is there; 0 when one is free."""
        slots = max(1, self.status.slots)
        return ceil(self._slow_down(now) * self.count_requests(now)) // slots

    def estimate_load(self, now: float) -> float:
        """Return the requests per slot that a new flow would find and be."""
        load = self.count_requests(now) + IDLE_FLOW_LOAD * self.status.flows
        return self._slow_down(now) * (load + 1) / max(1, self.status.slots)

    def estimate_wait(self, now: float) -> float:
        """Return the seconds that a request of a new flow would wait for a slot."""
        slots = max(1, self.status.slots)
        before = max(0.0, self.count_requests(now) + 1 - slots)
        return self.estimate_service(now) * before / slots

    def estimate_service(self, now: float) -> float:
        """Return the seconds that a request takes once it has a slot."""
        service = self.status.service_us / 1e6 or UNKNOWN_SERVICE_SECONDS
        return self._slow_down(now) * service

    def is_measured(self) -> bool:
        """Tell whether its time of service is known."""
        return self.status.service_us > 0

    def _slow_down(self, now: float) -> float:
        return COLD_FACTOR if now < self.warm_at else 1.0


def leave_failing_out(targets: list[Target]) -> list[Target]:
    """Return the targets that do not fail much more often than the others.

    A target that fails at once is always idle: without this it gets every new flow. At
    least half of the targets stay, those up to the median, so that a service whose
    targets all fail loses none.
    """
    shares = sorted(target.status.failing for target in targets)
    limit = FAILING_PERCENT + 2 * shares[(len(shares) - 1) // 2]
    if shares[-1] <= limit:
        return targets
    return [target for target in targets if target.status.failing <= limit]


def choose_target(
    targets: Iterable[Target],
    tried: frozenset[str],
    draw: Callable[[], float],
    now: float,
    near: frozenset[str] = frozenset(),
) -> Target | None:
    """Return a target with a short queue that has not refused this flow, or None.

    Targets with a free slot go first, then those with the shortest queue in rounds of
    all slots. Of these two are drawn and the less loaded is taken: many balancers hear
    the same statuses, and all would else choose the one target that looks best until
    the next ones. ``near`` are the addresses of the balancer's failure domain: one of
    these is preferred while it is about as loaded as one from anywhere, so that callers
    wait for fewer ways between domains and links there carry less.
    """
    fresh = [
        target
        for target in targets
        if target.address not in tried and target.is_candidate(now)
    ]
    if not fresh:
        return None
    trusted = [target for target in fresh if not target.is_doubted]
    fresh = leave_failing_out(trusted or fresh)
    rounds = [target.count_rounds(now) for target in fresh]
    least = min(rounds)
    best = [
        target for target, found in zip(fresh, rounds, strict=True) if found == least
    ]
    if least == 0:
        close = [target for target in best if target.address in near]
        if close:
            return _prefer_near(close, best, draw, now)
    return _draw_less_loaded(best, draw, now)


def _prefer_near(
    close: list[Target], best: list[Target], draw: Callable[[], float], now: float
) -> Target:
    found = _draw_less_loaded(close, draw, now)
    other = best[int(draw() * len(best))]
    limit = other.estimate_load(now) + NEAR_EXTRA_LOAD
    return found if found.estimate_load(now) <= limit else other


def _draw_less_loaded(
    best: list[Target], draw: Callable[[], float], now: float
) -> Target:
    drawn = [best[int(draw() * len(best))] for _ in range(2)]
    return min(drawn, key=lambda target: target.estimate_load(now))
