"""Choose the target of a new flow by the loads that agents report."""

from collections.abc import Callable, Iterable
from math import ceil

import msgspec

from ..messages import Status, TargetState

# Silence, of three status intervals, after which a target gets no new flows.
SILENT_SECONDS = 1.3
# Time after a status in which a target is not suspected: pings would show nothing
# newer.
RECENT_STATUS_SECONDS = 0.1
# Silence, of one and a half status intervals, after which an agent is pinged even if no
# caller retransmits.
PING_AFTER_SECONDS = 0.6
# Silence, of four status intervals, after which a target is lost unless its agent
# announced a pause.
LOST_SECONDS = 1.7
# Longest announced pause: the stop and the start of an agent.
MAX_PAUSE_SECONDS = 9.0
# How long to queue flows for a target that is silent or absent.
RECOVERY_SECONDS = 4.0
# How long a silent agent is kept for flows that its target may still hold.
RETENTION_SECONDS = 20.0
# Load of an open flow without a request, in requests.
IDLE_FLOW_LOAD = 0.1
# Service time assumed of a target that has not answered any request yet.
DEFAULT_SERVICE_SECONDS = 0.03
# How long a placed flow may not be counted in its target's status yet.
STATUS_LAG_SECONDS = 0.02
# Fraction of a target's speed that goes into the queue of its last status; the rest
# goes to requests that arrived since.
QUEUE_DRAIN_FRACTION = 0.5
# Extra load, in requests per slot, up to which a target in the balancer's own failure
# domain is still preferred: ten idle flows.
SAME_DOMAIN_EXTRA_LOAD = 1.0
# Load factor of a target that is still warming up.
COLD_LOAD_FACTOR = 1.8


# Percentage of failures, above twice the median of the service, that keeps new flows
# away: more than one failure in the last ten answers, which may be chance.
FAILING_PERCENT = 15


class Target(msgspec.Struct):
    """State of one target as a balancer knows it; times are seconds of its clock.

    ``load`` is the number of requests at ``load_at``. Statuses arrive every 0.1-0.4 s,
    in which a target serves many requests, so the load is assumed to drain meanwhile.
    It is not if ``is_load_reported``: the agent rejected a flow, and reports on its own
    when a slot is free. ``recent_placements`` are the times of flows that the next
    status may not count yet. ``incarnation`` is the id of the target's last known
    incarnation. ``is_suspected`` tells that its agent is being pinged,
    ``is_unresponsive`` that it missed pings that others answered; its next status
    clears both. Until ``backoff_until`` it is warming up and accepts no new flow.
    """

    address: str
    status: Status
    last_status_at: float
    warm_at: float
    load: float = 0.0
    load_at: float = 0.0
    is_load_reported: bool = False
    recent_placements: list[float] = msgspec.field(default_factory=list)
    incarnation: int = 0
    is_suspected: bool = False
    is_unresponsive: bool = False
    backoff_until: float = 0.0

    def update(self, status: Status, now: float) -> None:
        """Apply a newer status; flows placed just now are not counted in it yet."""
        self.recent_placements = [
            at for at in self.recent_placements if now - at < STATUS_LAG_SECONDS
        ]
        self.status = status
        self.last_status_at = now
        self.warm_at = now + status.warmup_left_ms / 1000
        self.load, self.load_at = (
            status.active_requests + len(self.recent_placements),
            now,
        )
        self.is_load_reported = False
        self.is_suspected = self.is_unresponsive = False
        self.incarnation = status.incarnation or self.incarnation

    def is_ended_by(self, status: Status) -> bool:
        """Return whether a newer status shows that this incarnation has ended.

        An agent without a heartbeat since its own start cannot tell.
        """
        if status.state == TargetState.GONE:
            return True
        known_incarnation = self.incarnation
        return bool(
            known_incarnation
            and status.incarnation
            and status.incarnation != known_incarnation
        )

    def apply_reported_load(self, load: int, now: float) -> None:
        """Apply the load that the agent reported when it rejected a flow."""
        self.load, self.load_at = load, now
        self.is_load_reported = True
        self.recent_placements = []

    def record_placement(self, now: float) -> None:
        """Count a flow that was sent to the target."""
        self.load, self.load_at = self.estimate_requests(now) + 1, now
        self.recent_placements.append(now)

    def accepts_new_flows(self, now: float) -> bool:
        """Return whether new flows may go to the target."""
        is_open = self.status.state == TargetState.OPEN
        return is_open and now >= self.backoff_until and not self.is_silent(now)

    def is_silent(self, now: float) -> bool:
        """Return whether its agent has missed statuses, or has not answered pings."""
        return self.is_unresponsive or now - self.last_status_at >= SILENT_SECONDS

    def is_lost(self, now: float) -> bool:
        """Return whether the target counts as lost, and its flows with it."""
        is_paused = self.status.state == TargetState.PAUSED
        limit = MAX_PAUSE_SECONDS if is_paused else LOST_SECONDS
        return now - self.last_status_at >= limit

    def is_unreachable(self, now: float) -> bool:
        """Return whether a caller that may retry is served sooner elsewhere."""
        return self.is_unresponsive or self.is_lost(now)

    def can_be_suspected(self, now: float) -> bool:
        """Return whether its silence is unexpected and long enough to ping its agent.

        An agent that announced its restart or its end is silent for that reason.
        """
        is_expected = self.status.state in (TargetState.PAUSED, TargetState.GONE)
        is_decided = self.is_suspected or self.is_unresponsive or is_expected
        return not is_decided and now - self.last_status_at >= RECENT_STATUS_SECONDS

    def can_relay(self, now: float) -> bool:
        """Return whether its agent can query others on behalf of a balancer."""
        is_leaving = self.status.state in (TargetState.GONE, TargetState.PAUSED)
        return not is_leaving and not self.is_silent(now)

    def may_recover(self, now: float) -> bool:
        """Return whether it may accept new flows again within a second or two."""
        state = self.status.state
        if state in (TargetState.DRAINING, TargetState.GONE):
            return False
        return now - self.last_status_at < RECOVERY_SECONDS

    def estimate_requests(self, now: float) -> float:
        """Return the estimated number of requests that it serves or queues."""
        if self.is_load_reported:
            return self.load
        slots = max(1, self.status.slots)
        drained = QUEUE_DRAIN_FRACTION * (now - self.load_at) * slots
        return max(0.0, self.load - drained / self.estimate_service_time(now))

    def estimate_queue_rounds(self, now: float) -> int:
        """Return how often its requests fill all slots; 0 if a slot is free."""
        slots = max(1, self.status.slots)
        return ceil(self._get_load_factor(now) * self.estimate_requests(now)) // slots

    def estimate_load(self, now: float) -> float:
        """Return the requests per slot if a new flow is added."""
        load = self.estimate_requests(now) + IDLE_FLOW_LOAD * self.status.flows
        return self._get_load_factor(now) * (load + 1) / max(1, self.status.slots)

    def estimate_wait(self, now: float) -> float:
        """Return the seconds that a request of a new flow would wait for a slot."""
        slots = max(1, self.status.slots)
        queued = max(0.0, self.estimate_requests(now) + 1 - slots)
        return self.estimate_service_time(now) * queued / slots

    def estimate_service_time(self, now: float) -> float:
        """Return the seconds that a request takes once it has a slot."""
        service = self.status.mean_service_us / 1e6 or DEFAULT_SERVICE_SECONDS
        return self._get_load_factor(now) * service

    def has_service_time(self) -> bool:
        """Return whether a service time was measured."""
        return self.status.mean_service_us > 0

    def _get_load_factor(self, now: float) -> float:
        return COLD_LOAD_FACTOR if now < self.warm_at else 1.0


def exclude_failing(targets: list[Target]) -> list[Target]:
    """Return the targets that do not fail much more often than the others.

    A target whose requests fail at once is always idle: without this it would get every
    new flow. At least half of the targets stay, those up to the median, so that a
    service whose targets all fail loses none.
    """
    percents = sorted(target.status.failure_percent for target in targets)
    limit = FAILING_PERCENT + 2 * percents[(len(percents) - 1) // 2]
    if percents[-1] <= limit:
        return targets
    return [target for target in targets if target.status.failure_percent <= limit]


def choose_target(
    targets: Iterable[Target],
    excluded: frozenset[str],
    random_fraction: Callable[[], float],
    now: float,
    preferred: frozenset[str] = frozenset(),
) -> Target | None:
    """Return a target with a short queue that is not excluded, or None.

    Targets with a free slot go first, then those with the shortest queue in rounds of
    all slots. Two of these are drawn and the less loaded is taken (power of two
    choices): many balancers get the same statuses, and would all choose the target that
    looks best until the next ones arrive. ``preferred`` are the addresses of the
    balancer's failure domain: one of these is chosen while it has about as little load
    as one from anywhere, so that callers have fewer round trips between domains and
    links there carry less.
    """
    candidates = [
        target
        for target in targets
        if target.address not in excluded and target.accepts_new_flows(now)
    ]
    if not candidates:
        return None
    unsuspected = [target for target in candidates if not target.is_suspected]
    candidates = exclude_failing(unsuspected or candidates)
    queue_rounds = [target.estimate_queue_rounds(now) for target in candidates]
    shortest = min(queue_rounds)
    best = [
        target
        for target, rounds in zip(candidates, queue_rounds, strict=True)
        if rounds == shortest
    ]
    if shortest == 0:
        preferred_best = [target for target in best if target.address in preferred]
        if preferred_best:
            return _choose_preferred(preferred_best, best, random_fraction, now)
    return _choose_less_loaded(best, random_fraction, now)


def _choose_preferred(
    preferred_best: list[Target],
    best: list[Target],
    random_fraction: Callable[[], float],
    now: float,
) -> Target:
    chosen = _choose_less_loaded(preferred_best, random_fraction, now)
    other = best[int(random_fraction() * len(best))]
    limit = other.estimate_load(now) + SAME_DOMAIN_EXTRA_LOAD
    return chosen if chosen.estimate_load(now) <= limit else other


def _choose_less_loaded(
    best: list[Target], random_fraction: Callable[[], float], now: float
) -> Target:
    drawn = [best[int(random_fraction() * len(best))] for _ in range(2)]
    return min(drawn, key=lambda target: target.estimate_load(now))
