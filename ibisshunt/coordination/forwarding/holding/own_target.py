"""Keep what an agent's target says of itself, and tell when it has fallen silent."""

from collections.abc import Callable

from ..messages import TargetState
from .incarnations import Announcement, Incarnations, Word

# A target that has missed so many heartbeats is taken for dead: two may be late
# together, three are not.
MISSED_HEARTBEATS = 2.6


class OwnTarget:
    """Own the state of the target beside one agent, from its heartbeats.

    ``heartbeat`` is the seconds between two of them; the agent starts at ``now``.
    """

    def __init__(self, heartbeat: float, now: float, tell: Callable[..., None]) -> None:
        self.state = TargetState.ABSENT
        self.incarnations = Incarnations()
        self.announced_at = now
        self.is_paused = False
        self._tell_event = tell
        self._heartbeat = heartbeat
        self._warm_at = now

    @property
    def present(self) -> Announcement | None:
        """Return the last heartbeat of the present incarnation."""
        return self.incarnations.present

    @property
    def takes_flows(self) -> bool:
        """Tell whether new flows may go to the target."""
        return self.state == TargetState.OPEN and not self.is_paused

    def classify(self, found: Announcement) -> Word:
        """Tell what a heartbeat is; LATE and UNCLEAR ones are not to be taken."""
        return self.incarnations.classify(found)

    def take(self, found: Announcement, now: float) -> None:
        """Take a heartbeat."""
        self.incarnations.take(found)
        self.announced_at = now
        self._warm_at = now + found.warm_left / 1000
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

    def is_dead(self, now: float) -> bool:
        """Tell whether it has missed its heartbeats, since the agent's start too."""
        return now - self.announced_at >= MISSED_HEARTBEATS * self._heartbeat

    def find_told_state(self, has_flows: bool, now: float) -> TargetState:
        """Return what balancers are told of the target."""
        is_heard = self.state in (TargetState.OPEN, TargetState.DRAINING)
        if self.is_paused and is_heard:
            return TargetState.PAUSED
        if self.state == TargetState.ABSENT and not has_flows and self.is_dead(now):
            return TargetState.DEAD
        return self.state

    def find_warm_left(self, now: float) -> int:
        """Return for how many milliseconds the target is still cold."""
        return max(0, int(1000 * (self._warm_at - now)))
