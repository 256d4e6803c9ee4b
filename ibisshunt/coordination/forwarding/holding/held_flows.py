"""Keep the flows that the target beside an agent holds, as far as packets show them."""

from ..messages import Answer, Ask, TargetState
from ..segment import Segment
from .denials import Denial, Denials
from .held import HeldFlow
from .own_target import OwnTarget

# Flows older than this may be discarded, so an agent that has run for as long has
# seen each flow of its target.
MAX_FLOW_SECONDS = 60.0
# How long an ended flow is remembered, for late copies of its packets: longer than
# the pause between two of them.
ENDED_SECONDS = 4.0


class HeldFlows:
    """Own the flows of one target; times are in seconds.

    ``max_flow_seconds`` is the age after which a flow may be discarded. The agent
    starts at ``now``, and its target may have held flows before.
    """

    def __init__(self, max_flow_seconds: float, now: float) -> None:
        self.by_key: dict[bytes, HeldFlow] = {}
        self.knows_all_at = now + max_flow_seconds
        self._max_flow = max_flow_seconds
        self._denials = Denials()

    def knows_all(self, now: float) -> bool:
        """Tell whether the agent has seen each flow that its target holds."""
        return now >= self.knows_all_at

    def find(self, key: bytes) -> HeldFlow | None:
        """Return a flow, None when nothing was seen of it."""
        return self.by_key.get(key)

    def find_or_add(self, key: bytes, now: float) -> HeldFlow:
        """Return a flow; one that was not seen yet is added."""
        flow = self.by_key.get(key)
        if flow is None:
            flow = self.by_key[key] = HeldFlow(None, now)
        return flow

    def drop(self, key: bytes, why: Denial) -> None:
        """Forget a flow."""
        flow = self.by_key.pop(key, None)
        if flow is not None:
            self._denials.note_forgotten(key, flow, why)

    def drop_all(self, why: Denial) -> None:
        """Forget all flows."""
        for key in tuple(self.by_key):
            self.drop(key, why)

    def describe_denial(
        self, key: bytes, acknowledgement: int
    ) -> dict[str, object] | None:
        """Return the fields of a log line on a denied flow; None for an unknown one."""
        return self._denials.describe(key, self.by_key.get(key), acknowledgement)

    def may_hold(self, segment: Segment, state: TargetState, now: float) -> bool:
        """Tell whether a packet of an open flow may belong to one of the target's.

        One that the agent has not seen may, when the agent is younger than flows get.
        """
        flow = self.by_key.get(segment.key)
        if flow is not None:
            return not flow.is_foreign(segment)
        return not self.knows_all(now) and state != TargetState.GONE

    def answer(self, question: Ask, target: OwnTarget, now: float) -> Answer:
        """Tell whether the target holds a flow."""
        if target.state == TargetState.GONE:
            return Answer.NOT_HELD
        flow = self.by_key.get(question.key)
        if flow is not None and flow.is_answered:
            if not flow.fits(question.acknowledgement):
                return Answer.NOT_HELD
            return Answer.MAYBE if flow.is_unsure else Answer.HELD
        if self.knows_all(now):
            return Answer.NOT_HELD
        if target.state != TargetState.ABSENT:
            return Answer.MAYBE
        return Answer.NOT_HELD if target.is_dead(now) else Answer.UNHEARD

    def replace(self, sure_until: float, now: float) -> int:
        """Forget the flows of an incarnation whose place another one took.

        Flows that opened after ``sure_until`` may be the new one's, which took them
        before its own first heartbeat: forgotten, they would be reset at once, though
        they are open. Its target tells of them. Returns how many these are.
        """
        unsure = {
            key: flow
            for key, flow in self.by_key.items()
            if flow.opened_at > sure_until
        }
        for flow in unsure.values():
            flow.is_early = flow.is_unsure = True
        for key in [key for key in self.by_key if key not in unsure]:
            self.drop(key, Denial.REPLACED)
        self.knows_all_at = now
        return len(unsure)

    def list_early(self) -> list[bytes]:
        """Return the open flows that the target took before its first heartbeat."""
        return [
            key for key, flow in self.by_key.items() if flow.is_early and flow.is_open
        ]

    def forget_old(self, now: float) -> list[bytes]:
        """Forget flows that are over; return their keys."""
        over = [
            key
            for key, flow in self.by_key.items()
            if (flow.ended_at and now - flow.ended_at >= ENDED_SECONDS)
            or now - flow.seen_at >= self._max_flow
        ]
        for key in over:
            del self.by_key[key]
        return over
