"""Track the state of an agent's target, and detect when its heartbeats stop."""

from collections.abc import Callable

from ..messages import TargetState
from .candidates import Candidate, Candidates
from .incarnations import Heartbeat, HeartbeatKind, Incarnations

# Heartbeat intervals without a heartbeat after which a target counts as dead: two
# heartbeats may be late together, three are not.
MISSED_HEARTBEAT_INTERVALS = 2.6
# How late a heartbeat may arrive, in heartbeat intervals: one that takes longer counts
# as lost, and its sender has sent the next one.
LATE_HEARTBEAT_INTERVALS = 1.0
# Heartbeat intervals within which a living target is heard for the first time.
FIRST_HEARTBEAT_INTERVALS = 1.3
# Heartbeat intervals for which a candidate was heard before it may replace a silent
# incarnation: one heartbeat proves nothing, and late ones arrive together.
CANDIDATE_INTERVALS = 0.5


class LocalTarget:
    """State of an agent's target, according to its heartbeats.

    While two incarnations are heard, only one of them is alive. The current one stays
    until it has left, or until it is silent and a candidate was heard repeatedly. A
    candidate determines the state, but not the flows, while the current one is silent.

    ``heartbeat_seconds`` is the heartbeat interval; the agent starts at ``now``.
    ``is_drained`` tells whether the target's failure domain is drained. It is None
    while the agent does not know: a drain may be in effect, so until then the target
    gets no new flow.
    """

    def __init__(
        self,
        heartbeat_seconds: float,
        now: float,
        log_event: Callable[..., None],
        is_drained: bool | None = False,
    ) -> None:
        self.state = TargetState.ABSENT
        self.incarnations = Incarnations()
        self.candidates = Candidates()
        # When the current incarnation was last heard, or the agent's start.
        self.last_heartbeat_at = now
        # Whether the current incarnation was the only one heard for so long that no
        # other one can be alive.
        self.is_established = False
        self.is_paused = False
        self.is_drained = is_drained
        self._log_event = log_event
        self._heartbeat_seconds = heartbeat_seconds
        self._warm_at = now
        # Since when no other incarnation than the current one was heard.
        self._only_one_since = now
        # Whether a heartbeat has arrived since the last change of the drained domains.
        self._has_heartbeat_since_drain = True

    @property
    def current_heartbeat(self) -> Heartbeat | None:
        """Return the last heartbeat of the current incarnation."""
        return self.incarnations.current

    @property
    def is_open(self) -> bool:
        """Return whether the target accepts new flows and its agent is not stopping.

        A drain of its failure domain is not taken into account.
        """
        return self.state == TargetState.OPEN and not self.is_paused

    @property
    def accepts_flows(self) -> bool:
        """Return whether new flows may go to the target."""
        return self.is_open and self.is_drained is False

    def update_drained(self, is_drained: bool) -> bool:
        """Record whether the target's domain is drained; return whether it changed.

        The domain may have been drained and reopened since the last update.
        """
        if self.is_drained is not None:
            self._has_heartbeat_since_drain = False
        changed = is_drained != self.is_drained
        self.is_drained = is_drained
        return changed

    def classify(self, heartbeat: Heartbeat, now: float) -> HeartbeatKind:
        """Classify a heartbeat; STALE and MISSING_START ones are to be ignored."""
        kind = self.incarnations.classify(heartbeat)
        if kind != HeartbeatKind.CANDIDATE:
            return kind
        if self.candidates.is_overtaken(heartbeat):
            return HeartbeatKind.STALE
        if self._may_replace_current(heartbeat.name, now):
            return HeartbeatKind.NEW_INCARNATION
        return HeartbeatKind.CANDIDATE

    def handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Update the state from a heartbeat of the current or a new incarnation."""
        kind = self.incarnations.classify(heartbeat)
        if kind not in (HeartbeatKind.FIRST, HeartbeatKind.CURRENT):
            self.is_established = False
            self._only_one_since = now
        self.candidates.remove(heartbeat.name)
        self.incarnations.accept(heartbeat)
        self.last_heartbeat_at = now
        if self._only_one_since <= self._compute_silent_since(now):
            self.is_established = True
        self._warm_at = now + heartbeat.warmup_left_ms / 1000
        self._has_heartbeat_since_drain = True
        self._set_state(heartbeat, heartbeat.is_draining)

    def handle_candidate(self, heartbeat: Heartbeat, now: float) -> bool:
        """Update the state from a candidate's heartbeat; return whether it is new.

        As long as the current one is heard too, the target counts as draining and as
        warming up if one of them says so: a draining target must get no new flow. A
        candidate that the current one had replaced is most probably late.
        """
        is_new = self.candidates.record(heartbeat, now)
        self._only_one_since = now
        warm_at = now + heartbeat.warmup_left_ms / 1000
        if self.is_current_silent(now):
            self._warm_at = warm_at
            self._set_state(heartbeat, heartbeat.is_draining)
            return is_new
        if self.incarnations.was_replaced(heartbeat.name):
            return is_new
        self._warm_at = max(self._warm_at, warm_at)
        was_draining = self.state == TargetState.DRAINING
        self._set_state(heartbeat, was_draining or heartbeat.is_draining)
        return is_new

    def _may_replace_current(self, name: str, now: float) -> bool:
        """Return whether a candidate may replace the current incarnation."""
        candidate = self.candidates.find(name)
        if candidate is None or not self.is_current_silent(now):
            return False
        heard_seconds = now - candidate.first_heard_at
        return heard_seconds >= CANDIDATE_INTERVALS * self._heartbeat_seconds

    def _set_state(self, heartbeat: Heartbeat, is_draining: bool) -> None:
        previous_state = self.state
        self.state = TargetState.DRAINING if is_draining else TargetState.OPEN
        if previous_state != self.state:
            self._log_event(
                "target_state",
                target=heartbeat.name,
                service=heartbeat.service,
                before=previous_state.name,
                state=self.state.name,
                number=heartbeat.sequence,
            )

    def handle_leave(self, name: str, start_time_ms: int | None) -> bool:
        """Handle a leave message; return whether the current target has left.

        Unless it was established, another one may be alive that was not heard yet.
        """
        if not self.incarnations.record_leave(name, start_time_ms):
            self.candidates.remove(name)
            return False
        self.state = TargetState.GONE if self.is_established else TargetState.ABSENT
        return True

    def detect_departure(self, now: float) -> bool:
        """Set the state to GONE if no other target was heard after a leave message.

        Return whether it changed.
        """
        if self.state != TargetState.ABSENT or not self.incarnations.has_current_ended:
            return False
        if not self.has_missed_heartbeats(now):
            return False
        self.state = TargetState.GONE
        return True

    def detect_absence(self, now: float) -> bool:
        """Set the state to ABSENT if heartbeats are missing; return if it changed."""
        if self.state not in (TargetState.OPEN, TargetState.DRAINING):
            return False
        if not self.has_missed_heartbeats(now):
            return False
        self.state = TargetState.ABSENT
        return True

    def pause(self, now: float) -> bool:
        """Record that the agent stops; return whether the target is gone as well.

        A target that stopped sending heartbeats has lost its flows, and its host may be
        switched off next. Without that state balancers would wait until the pause is
        over before they reset those flows.
        """
        self.is_paused = True
        has_ended = self.incarnations.has_current_ended or self.has_missed_heartbeats(
            now
        )
        if self.state != TargetState.ABSENT or not has_ended:
            return False
        self.state = TargetState.GONE
        return True

    def compute_certain_until(self) -> float:
        """Return the time up to which new flows certainly went to this incarnation.

        Its last heartbeat may have been in flight while its successor, whose own first
        heartbeat had not arrived, accepted flows at the same address. A heartbeat that
        arrived after a candidate's may have been delayed for any time.
        """
        heard_at = min(self.last_heartbeat_at, self.candidates.first_heard_at)
        return heard_at - LATE_HEARTBEAT_INTERVALS * self._heartbeat_seconds

    def is_confirmed(self, now: float) -> bool:
        """Return whether another living incarnation would have been heard by now."""
        heard_alone_seconds = now - self._only_one_since
        limit = FIRST_HEARTBEAT_INTERVALS * self._heartbeat_seconds
        return self.is_established or heard_alone_seconds >= limit

    def has_missed_heartbeats(self, now: float) -> bool:
        """Return whether heartbeats are missing, also since the agent's start.

        A candidate's heartbeat shows that some incarnation is alive.
        """
        last_heard_at = max(self.last_heartbeat_at, self.candidates.last_heard_at)
        return last_heard_at <= self._compute_silent_since(now)

    def is_current_silent(self, now: float) -> bool:
        """Return whether heartbeats of the current incarnation are missing."""
        return self.last_heartbeat_at <= self._compute_silent_since(now)

    def remove_silent_candidates(self, now: float) -> list[Candidate]:
        """Forget and return the candidates whose heartbeats have stopped."""
        return self.candidates.remove_silent(self._compute_silent_since(now))

    def _compute_silent_since(self, now: float) -> float:
        return now - MISSED_HEARTBEAT_INTERVALS * self._heartbeat_seconds

    def compute_reported_state(self, has_flows: bool, now: float) -> TargetState:
        """Return the state that is reported to balancers."""
        is_alive = self.state in (TargetState.OPEN, TargetState.DRAINING)
        if is_alive and (self.is_paused or self.is_drained is None):
            return TargetState.PAUSED
        if is_alive and self.is_drained:
            return TargetState.DRAINING
        if (
            self.state == TargetState.ABSENT
            and not has_flows
            and self.has_missed_heartbeats(now)
        ):
            return TargetState.DEAD
        return self.state

    def may_be_warming_up(self, now: float) -> bool:
        """Return whether the target may be warming up, as far as the agent knows.

        A target of a domain that was drained may need another warm-up without having
        restarted: only a later heartbeat shows that it is warm.
        """
        return now < self._warm_at or not self._has_heartbeat_since_drain

    def compute_warmup_left_ms(self, now: float) -> int:
        """Return for how many milliseconds the target still warms up."""
        return max(0, int(1000 * (self._warm_at - now)))
