"""Track the flows that an agent's target holds, as far as packets show them."""

from collections.abc import Iterable

from ..messages import Answer, FlowQuery, TargetState
from ..segment import Segment
from .denials import DenialLog, DenialReason
from .local_target import LocalTarget
from .tracked_flow import TrackedFlow

# Age after which a flow may be discarded. An agent that has run for as long has seen
# every flow of its target.
MAX_FLOW_SECONDS = 60.0
# How long a closed flow is remembered for late retransmissions: longer than the
# interval between two of them.
CLOSED_FLOW_SECONDS = 4.0


class FlowTable:
    """The flows of one target that its agent has seen; times are in seconds.

    ``max_flow_seconds`` is the age after which a flow may be discarded. The agent
    starts at ``now``; its target may have accepted flows before.
    """

    def __init__(self, max_flow_seconds: float, now: float) -> None:
        self.by_key: dict[bytes, TrackedFlow] = {}
        self.complete_at = now + max_flow_seconds
        self._max_flow_seconds = max_flow_seconds
        self._denial_log = DenialLog()

    def is_complete(self, now: float) -> bool:
        """Return whether the agent has seen every flow that its target holds."""
        return now >= self.complete_at

    def find(self, key: bytes) -> TrackedFlow | None:
        """Return a flow, None when no packet of it was seen."""
        return self.by_key.get(key)

    def find_or_add(self, key: bytes, now: float) -> TrackedFlow:
        """Return a flow; add it when no packet of it was seen."""
        flow = self.by_key.get(key)
        if flow is None:
            flow = self.by_key[key] = TrackedFlow(None, now)
        return flow

    def drop(self, key: bytes, reason: DenialReason) -> None:
        """Forget a flow."""
        flow = self.by_key.pop(key, None)
        if flow is not None:
            self._denial_log.record_dropped(key, flow, reason)

    def drop_all(self, reason: DenialReason) -> None:
        """Forget all flows."""
        for key in tuple(self.by_key):
            self.drop(key, reason)

    def describe_denial(
        self, key: bytes, acknowledgement: int
    ) -> dict[str, object] | None:
        """Return the log fields of a denied flow; None when it was never open here."""
        return self._denial_log.describe(key, self.by_key.get(key), acknowledgement)

    def may_hold(self, segment: Segment, state: TargetState, now: float) -> bool:
        """Return whether the target may hold the flow of a packet that is no SYN.

        It may hold a flow that the agent has not seen while the agent has run for less
        than the maximum age of a flow.
        """
        flow = self.by_key.get(segment.key)
        if flow is not None:
            return not flow.belongs_to_other_target(segment)
        return not self.is_complete(now) and state != TargetState.GONE

    def answer(self, query: FlowQuery, target: LocalTarget, now: float) -> Answer:
        """Answer whether the target holds a flow."""
        if target.state == TargetState.GONE:
            return Answer.NOT_HELD
        flow = self.by_key.get(query.key)
        if flow is not None and flow.has_target_sent:
            if not flow.has_sent(query.acknowledgement):
                return Answer.NOT_HELD
            return Answer.MAYBE if flow.is_incarnation_unknown else Answer.HELD
        if self.is_complete(now):
            return Answer.NOT_HELD
        if target.state != TargetState.ABSENT:
            return Answer.MAYBE
        return Answer.NOT_HELD if target.has_missed_heartbeats(now) else Answer.UNHEARD

    def drop_previous_incarnation(self, certain_until: float, now: float) -> int:
        """Forget the flows of an incarnation that another one has replaced.

        Flows that opened after ``certain_until`` stay: the new incarnation may have
        accepted them before its own first heartbeat, and a forgotten flow would be
        reset although it is open. The target itself decides whether it holds them.
        Returns how many stay.
        """
        uncertain = {
            key: flow
            for key, flow in self.by_key.items()
            if flow.syn_ack_at > certain_until
        }
        _mark_uncertain(uncertain.values())
        for key in [key for key in self.by_key if key not in uncertain]:
            self.drop(key, DenialReason.REPLACED)
        self.complete_at = now
        return len(uncertain)

    def keep_uncertain(self) -> int:
        """Keep all flows when it is not known which incarnation accepted them.

        Returns how many there are.
        """
        _mark_uncertain(self.by_key.values())
        return len(self.by_key)

    def record_complete(self, now: float) -> None:
        """Record that the agent has seen every flow that its target holds."""
        self.complete_at = min(self.complete_at, now)

    def expect_unknown_flows(self, now: float) -> None:
        """Record that the target may hold flows that the agent does not know."""
        self.complete_at = now + self._max_flow_seconds

    def list_opened_before_heartbeat(self) -> list[bytes]:
        """Return the open flows that the target accepted before its first heartbeat."""
        return [
            key
            for key, flow in self.by_key.items()
            if flow.opened_before_heartbeat and flow.is_open
        ]

    def expire(self, now: float) -> list[bytes]:
        """Forget closed and unused flows; return their keys."""
        expired = [
            key
            for key, flow in self.by_key.items()
            if (flow.closed_at and now - flow.closed_at >= CLOSED_FLOW_SECONDS)
            or now - flow.last_seen_at >= self._max_flow_seconds
        ]
        for key in expired:
            del self.by_key[key]
        return expired


def _mark_uncertain(flows: Iterable[TrackedFlow]) -> None:
    for flow in flows:
        flow.opened_before_heartbeat = flow.is_incarnation_unknown = True
