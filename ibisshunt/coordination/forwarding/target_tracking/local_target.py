"""Track the state of an agent's target, and detect when its heartbeats stop."""

from collections.abc import Callable

from ..messages import TargetState
from .incarnations import Heartbeat, HeartbeatKind, Incarnations

# Heartbeat intervals without a heartbeat after which a target counts as dead: two
# heartbeats may be late together, three are not.
MISSED_HEARTBEAT_INTERVALS = 2.6
# How late a heartbeat may arrive, in heartbeat intervals: one that takes longer counts
# as lost, and its sender has sent the next one.
LATE_HEARTBEAT_INTERVALS = 1.0


class LocalTarget:
    """State of an agent's target, according to its heartbeats.

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
        self.last_heartbeat_at = now
        self.is_paused = False
        self.is_drained = is_drained
        self._log_event = log_event
        self._heartbeat_seconds = heartbeat_seconds
        self._warm_at = now
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

    def classify(self, heartbeat: Heartbeat) -> HeartbeatKind:
        """Classify a heartbeat; STALE and MISSING_START ones are to be ignored."""
        return self.incarnations.classify(heartbeat)

    def handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Update the state from a heartbeat."""
        self.incarnations.accept(heartbeat)
        self.last_heartbeat_at = now
        self._warm_at = now + heartbeat.warmup_left_ms / 1000
        self._has_heartbeat_since_drain = True
        previous_state = self.state
        self.state = TargetState.DRAINING if heartbeat.is_draining else TargetState.OPEN
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
        """Handle a leave message; return whether the current target has left."""
        if not self.incarnations.record_leave(name, start_time_ms):
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
        if self.state != TargetState.ABSENT or not self.has_missed_heartbeats(now):
            return False
        self.state = TargetState.GONE
        return True

    def compute_certain_until(self) -> float:
        """Return the time up to which new flows certainly went to this incarnation.

        Its last heartbeat may have been in flight while its successor, whose own first
        heartbeat had not arrived, accepted flows at the same address.
        """
        return (
            self.last_heartbeat_at - LATE_HEARTBEAT_INTERVALS * self._heartbeat_seconds
        )

    def has_missed_heartbeats(self, now: float) -> bool:
        """Return whether heartbeats are missing, also since the agent's start."""
        return (
            now - self.last_heartbeat_at
            >= MISSED_HEARTBEAT_INTERVALS * self._heartbeat_seconds
        )

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
