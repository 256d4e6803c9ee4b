"""Find the open flows that have ended with their targets, and tell their callers."""

from ..messages import Reset, Send, Status, TargetState
from ..placing.placed import DoubtfulFlows, recall
from ..placing.placement import Target
from ..searching.search import WITHOUT_FLOWS, Cause, Trigger
from ..searching.searches import Searches
from ..state import BalancerState
from .checkpoint import ENDED, FlowEntry, FormerFlows

# How many flows of a target that has ended are asked for at each sweep, for the
# balancer's link.
DOUBTS_PER_SWEEP = 5
# How many flows of the former run are reset at each sweep.
RESETS_PER_SWEEP = 20
# How long after its last word the flows of a target are left alone: it ends after that
# word has been answered, and a flow must not be reset while its target runs.
LEAVING_SECONDS = 0.5

Action = Send | Reset


class EndedFlows:
    """Own what one balancer has to ask, or to tell, about flows that may be over."""

    def __init__(self, state: BalancerState, searches: Searches) -> None:
        self.state = state
        self.searches = searches
        self.doubtful = DoubtfulFlows()
        self.former = FormerFlows()

    def is_busy(self) -> bool:
        """Tell whether a sweep would go on with something."""
        return bool(self.doubtful or self.former.over)

    def sweep(self, now: float) -> list[Action]:
        """Reset, and ask for, the next flows."""
        return self._reset_over() + self._ask_doubtful(now)

    def doubt_flows(self, address: str, status: Status, now: float) -> None:
        """Doubt the open flows of a target that has ended, or has started anew.

        A caller that keeps an idle flow there hears of its end by the silence after its
        next request; one that must not be sent twice is lost then. Told before, it
        opens a new flow for it.
        """
        is_leaving = status.state == TargetState.GONE
        due_at = now + LEAVING_SECONDS if is_leaving else now
        self.doubtful.add(self.state.list_flows(address), due_at)

    def trust_flows(self, address: str) -> None:
        """Doubt the flows of a target no more, whose agent was heard again."""
        self.doubtful.forget(self.state.list_flows(address))

    def leave_silent(self, target: Target, now: float) -> None:
        """Doubt the open flows of a target whose agent has fallen silent.

        Their callers can still be served elsewhere. Not so one that waits for an answer
        and may not ask twice: its flow stays until it has given up.
        """
        for key in self.state.list_flows(target.address):
            self.doubtful.add((key,), self._find_reset_at(key, now))

    def _find_reset_at(self, key: bytes, now: float) -> float:
        if self.state.may_repeat(key):
            return now
        route = self.state.routes.find(key[6:])
        return max(now, self.state.flows[key].asked_at + route.timeout / 1000)

    def take_former(self, entries: list[FlowEntry], now: float) -> None:
        """Take flows of the former run; those whose target has ended will be reset.

        The target that a flow went to says by its incarnation whether it still holds
        it. Until its agent has heard it, the entry waits.
        """
        for entry in entries:
            self.former.add(entry, now)
        for address in {entry.address for entry in entries}:
            self.settle_former(address, now)

    def settle_former(self, address: str, now: float) -> None:
        """Take the word that a target's agent has given."""
        target = self.state.targets.get(address)
        if target is None:
            return
        has_gone = target.status.state in WITHOUT_FLOWS
        if not has_gone and not target.status.incarnation:
            return
        present = ENDED if has_gone else target.status.incarnation
        for entry in self.former.settle(address, present):
            if not self.searches.is_open(entry.key):
                self.state.note_flow(entry.key, target, now)

    def _reset_over(self) -> list[Action]:
        """Reset the next flows of the former run whose target has ended.

        One that is known again is another flow of the same caller and port, or was
        found where a copy of its opening packet had gone.
        """
        actions: list[Action] = []
        for entry in self.former.take_over(RESETS_PER_SWEEP):
            if entry.key in self.state.flows or self.state.openings.find(entry.key):
                continue
            last = self.searches.drop(entry.key)
            last = last or recall(entry.key, entry.acknowledgement)
            self.state.counters.reset += 1
            self.state.tell_event(
                "flow_reset", flow=entry.key.hex(), reason="target_ended"
            )
            actions.append(Reset(last, "target_ended"))
        return actions

    def _ask_doubtful(self, now: float) -> list[Action]:
        """Ask who holds the next flows whose target has ended; nobody: they are reset.

        The target that has started anew may hold one of them, and so may another one
        whose answer to the opening packet the caller took.
        """
        actions: list[Action] = []
        for key in self.doubtful.take(DOUBTS_PER_SWEEP, now):
            flow = self.state.flows.get(key)
            if flow is None or flow.acknowledgement is None:
                continue
            del self.state.flows[key]
            holders = self.state.list_holders(key, True)
            found = recall(key, flow.acknowledgement)
            cause = Cause(Trigger.ENDED, flow.address)
            actions += self.searches.begin(
                found, holders, (), frozenset(), now, True, cause
            )
        return actions
