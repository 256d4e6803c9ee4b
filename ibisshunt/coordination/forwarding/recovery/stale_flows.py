"""Find the open flows that have ended with their targets, and reset them."""

from ..messages import ResetFlow, SendMessage, Status, TargetState
from ..placement.flow import SuspectFlows, make_placeholder_segment
from ..placement.target import Target
from ..search.manager import SearchManager
from ..search.search import STATES_WITHOUT_FLOWS, SearchCause, Trigger
from ..state import BalancerState
from .checkpoint import ENDED, FlowEntry, RecoveredFlows

# Searches for suspect flows at each tick, limited for the balancer's link.
SEARCHES_PER_TICK = 5
# Flows of the previous run that are reset at each tick.
RESETS_PER_TICK = 20
# How long after a target's leave message its flows are neither searched nor reset: it
# stops after that message was answered, and a flow must not be reset while its target
# runs.
LEAVE_GRACE_SECONDS = 0.5

Action = SendMessage | ResetFlow


class StaleFlows:
    """Flows of one balancer that may have ended with their target."""

    def __init__(self, state: BalancerState, searches: SearchManager) -> None:
        self.state = state
        self.searches = searches
        self.suspects = SuspectFlows()
        self.recovered = RecoveredFlows()

    def has_pending_work(self) -> bool:
        """Return whether a tick would search or reset flows."""
        return bool(self.suspects or self.recovered.ended)

    def advance(self, now: float) -> list[Action]:
        """Reset the next ended flows, and search for the next suspect ones."""
        return self._reset_ended() + self._search_suspects(now)

    def suspect_flows(self, address: str, status: Status, now: float) -> None:
        """Suspect the open flows of a target that has ended, or restarted.

        A caller that keeps an idle flow there would notice its end only by the silence
        after its next request; a request that must not be sent twice is lost then.
        If the flow is reset before, the caller opens a new one for the request.
        """
        is_leaving = status.state == TargetState.GONE
        due_at = now + LEAVE_GRACE_SECONDS if is_leaving else now
        self.suspects.add(self.state.list_open_flows(address), due_at)

    def clear_suspicion(self, address: str) -> None:
        """Clear the flows of a target whose agent has sent a status again."""
        self.suspects.remove(self.state.list_open_flows(address))

    def suspect_flows_of_silent(self, target: Target, now: float) -> None:
        """Suspect the open flows of a target whose agent has fallen silent.

        Their callers can still be served elsewhere. This is not so for a caller that
        waits for an answer and may not retry: its flow stays until the caller has given
        up.
        """
        for key in self.state.list_open_flows(target.address):
            self.suspects.add((key,), self._get_search_time(key, now))

    def _get_search_time(self, key: bytes, now: float) -> float:
        if self.state.may_retry(key):
            return now
        route = self.state.routes.find(key[6:])
        return max(now, self.state.flows[key].newest_data_at + route.timeout_ms / 1000)

    def recover(self, entries: list[FlowEntry], now: float) -> None:
        """Add flows of the previous run; those whose target has ended will be reset.

        The incarnation of a flow's target shows whether it still holds the flow. The
        entry waits until the target's agent has received a heartbeat, and until that
        incarnation is confirmed if it is another one.
        """
        for entry in entries:
            self.recovered.add(entry, now)
        for address in {entry.address for entry in entries}:
            self.resolve_recovered(address, now)

    def resolve_recovered(self, address: str, now: float) -> None:
        """Resolve the recovered flows of a target by its agent's status."""
        target = self.state.targets.get(address)
        if target is None:
            return
        is_gone = target.status.state in STATES_WITHOUT_FLOWS
        if not is_gone and not target.status.incarnation:
            return
        current = ENDED if is_gone else target.status.incarnation
        resolve = self.recovered.resolve
        if not is_gone and not target.status.is_confirmed:
            resolve = self.recovered.resolve_open
        for entry in resolve(address, current):
            if not self.searches.is_running(entry.key):
                self.state.record_reported_flow(entry.key, target, now)

    def _reset_ended(self) -> list[Action]:
        """Reset the next recovered flows whose target has ended.

        One that is in the flow table again is another flow of the same caller and port,
        or was found at a target that got a copy of its SYN.
        """
        actions: list[Action] = []
        for entry in self.recovered.pop_ended(RESETS_PER_TICK):
            if entry.key in self.state.flows or self.state.pending_syns.get(entry.key):
                continue
            segment = self.searches.cancel(entry.key)
            segment = segment or make_placeholder_segment(
                entry.key, entry.acknowledgement
            )
            self.state.counters.reset += 1
            self.state.log_event(
                "flow_reset", flow=entry.key.hex(), reason="target_ended"
            )
            actions.append(ResetFlow(segment, "target_ended"))
        return actions

    def _search_suspects(self, now: float) -> list[Action]:
        """Search for the holders of the next suspect flows.

        The target that has restarted may hold one of them, and so may another target
        whose answer to the SYN the caller accepted. A flow that no target holds is
        reset.
        """
        actions: list[Action] = []
        for key in self.suspects.pop_due(SEARCHES_PER_TICK, now):
            flow = self.state.flows.get(key)
            if flow is None or flow.acknowledgement is None:
                continue
            del self.state.flows[key]
            holders = self.state.list_possible_holders(key, True)
            placeholder = make_placeholder_segment(key, flow.acknowledgement)
            cause = SearchCause(Trigger.ENDED, flow.address)
            actions += self.searches.start(
                placeholder, holders, (), frozenset(), now, True, cause
            )
        return actions
