"""Keep what an agent's target says of itself, and tell when it has fallen silent."""

from collections.abc import Callable

from ..messages import TargetState
from .incarnations import Announcement, Incarnations, Word

# A target that has missed so many heartbeats is taken for dead: two may be late
# together, three are not.
MISSED_HEARTBEATS = 2.6
# How late a heartbeat may come, in pauses between two: one that takes longer counts as
# lost, and its sender has sent the next.
LATE_HEARTBEATS = 1.0


class OwnTarget:
    """Own the state of the target beside one agent, from its heartbeats.

    ``heartbeat`` is the seconds between two of them; the agent starts at ``now``.
    ``is_drained`` tells whether its failure domain is drained, None while the agent has
    not heard: an order may be in force, so the target gets no new flow until then.
    """

    def __init__(
        self,
        heartbeat: float,
        now: float,
        tell: Callable[..., None],
        is_drained: bool | None = False,
    ) -> None:
        self.state = TargetState.ABSENT
        self.incarnations = Incarnations()
        self.announced_at = now
        self.is_paused = False
        self.is_drained = is_drained
        self._tell_event = tell
        self._heartbeat = heartbeat
        self._warm_at = now
        # Whether a heartbeat has come since the last order for failure domains.
        self._is_heard_since = True

    @property
    def present(self) -> Announcement | None:
        """Return the last heartbeat of the present incarnation."""
        return self.incarnations.present

    @property
    def is_open(self) -> bool:
        """Tell whether the target would take new flows, and its agent goes on."""
        return self.state == TargetState.OPEN and not self.is_paused

    @property
    def takes_flows(self) -> bool:
        """Tell whether new flows may go to the target."""
        return self.is_open and self.is_drained is False

    def note_drained(self, is_drained: bool) -> bool:
        """Take newer drained domains; return whether the target's own has changed.

        The domain may have been drained and opened again since the former ones.
        """
        if self.is_drained is not None:
            self._is_heard_since = False
        changed = is_drained != self.is_drained
        self.is_drained = is_drained
        return changed

    def classify(self, found: Announcement) -> Word:
        """Tell what a heartbeat is; LATE and UNCLEAR ones are not to be taken."""
        return self.incarnations.classify(found)

    def take(self, found: Announcement, now: float) -> None:
        """Take a heartbeat."""
        self.incarnations.take(found)
        self.announced_at = now
        self._warm_at = now + found.warm_left / 1000
        self._is_heard_since = True
        before = self.state
        self.state = TargetState.DRAINING if found.draining else TargetState.OPEN
        if before != self.state:
            self._tell_event(
                "target_state",
                target=found.name,
                service=found.service,
                before=before.name,
                state=self.state.name,
                number=found.number,
            )

    def end(self, name: str, born: int | None) -> bool:
        """Take a target's last word; return whether it is the present one's."""
        if not self.incarnations.end(name, born):
            return False
        self.state = TargetState.GONE
        return True

    def fall_silent(self, now: float) -> bool:
        """Take the target for absent once it is silent; return whether it is new."""
        if self.state not in (TargetState.OPEN, TargetState.DRAINING):
            return False
        if not self.is_dead(now):
            return False
        self.state = TargetState.ABSENT
        return True

    def pause(self, now: float) -> bool:
        """Note that the agent stops; return whether the target is gone as well.

        A target that fell silent long ago has taken its flows along, and its host may
        go with it. Without that word balancers would wait for a pause to end before
        they tell callers that a flow is over.
        """
        self.is_paused = True
        if self.state != TargetState.ABSENT or not self.is_dead(now):
            return False
        self.state = TargetState.GONE
        return True

    def find_sure_until(self) -> float:
        """Return until when all flows that opened are the present incarnation's.

        Its last heartbeat may have been under way while its successor, unheard yet,
        took flows at the same address.
        """
        return self.announced_at - LATE_HEARTBEATS * self._heartbeat

    def is_dead(self, now: float) -> bool:
        """Tell whether it has missed its heartbeats, since the agent's start too."""
        return now - self.announced_at >= MISSED_HEARTBEATS * self._heartbeat

    def find_told_state(self, has_flows: bool, now: float) -> TargetState:
        """Return what balancers are told of the target."""
        is_heard = self.state in (TargetState.OPEN, TargetState.DRAINING)
        if is_heard and (self.is_paused or self.is_drained is None):
            return TargetState.PAUSED
        if is_heard and self.is_drained:
            return TargetState.DRAINING
        if self.state == TargetState.ABSENT and not has_flows and self.is_dead(now):
            return TargetState.DEAD
        return self.state

    def may_be_cold(self, now: float) -> bool:
        """Tell whether the target is cold as far as the agent knows.

        Targets of a domain that was drained may have turned cold meanwhile, without a
        restart: only a heartbeat that came since tells that one is warm.
        """
        return now < self._warm_at or not self._is_heard_since

    def find_warm_left(self, now: float) -> int:
        """Return for how many milliseconds the target is still cold."""
        return max(0, int(1000 * (self._warm_at - now)))
