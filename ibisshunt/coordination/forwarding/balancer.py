"""Decide what a balancer does with the packets of callers."""

from collections.abc import Callable

from .failure_detection.failure_detector import FailureDetector
from .messages import (
    FLOWS_PER_MESSAGE,
    AggregatedAnswers,
    Answer,
    FlowLocations,
    LocationQuery,
    RejectedPacket,
    RejectReason,
    ResetFlow,
    SendMessage,
    Status,
)
from .placement.flow import PlacedFlow
from .placement.placer import FlowPlacer
from .placement.target import Target
from .recovery.checkpoint import FlowEntry
from .recovery.stale_flows import StaleFlows
from .routes import RouteTable
from .search.manager import SearchManager, make_delivery
from .search.search import CAUSE_UNKNOWN_FLOW, SearchCause, Trigger
from .segment import Segment
from .state import BalancerState

# How long a flow without packets is remembered. Later packets are not lost: the
# balancer queries the agents again.
FLOW_IDLE_SECONDS = 30.0

Action = SendMessage | ResetFlow


class Balancer:
    """Route packets by the flows and targets that one balancer knows.

    ``random_fraction`` returns random numbers in [0, 1), ``log_event`` logs an event,
    and ``observe_wait`` gets how many seconds a SYN was pending. Times are in seconds
    of one clock; the balancer starts at ``now``.
    """

    def __init__(
        self,
        random_fraction: Callable[[], float],
        log_event: Callable[..., None] = lambda event, **fields: None,
        now: float = float("-inf"),
        observe_wait: Callable[[float], None] = lambda seconds: None,
    ) -> None:
        self.state = BalancerState(random_fraction, log_event, now)
        # Balancers of the same failure domain: routers move the flows of a lost one to
        # these.
        self.peers: tuple[str, ...] = ()
        self.searches = SearchManager(self.state, now)
        self.failure_detector = FailureDetector(self.state)
        self.stale_flows = StaleFlows(self.state, self.searches)
        self._placer = FlowPlacer(
            self.state, self.failure_detector.suspect, observe_wait
        )
        self._expire_at = 0.0

    @property
    def routes(self) -> RouteTable:
        """Return the active configuration."""
        return self.state.routes

    @property
    def targets(self) -> dict[str, Target]:
        """Return the targets that agents have reported, by address."""
        return self.state.targets

    @property
    def flows(self) -> dict[bytes, PlacedFlow]:
        """Return the flows that this balancer knows, by key."""
        return self.state.flows

    # Configuration, agents and periodic work.

    def update_routes(self, routes: RouteTable) -> bool:
        """Use a configuration if it is newer; return whether it is."""
        if routes.version <= self.state.routes.version:
            return False
        self.state.routes = routes
        return True

    def expect_agent(self, address: str, now: float) -> None:
        """Record that an agent exists that has not sent a status yet."""
        self.state.target_table.expect_agent(address, now)

    def apply_agent_list(self, listed: frozenset[str]) -> None:
        """Record the complete list of agents; stop waiting for any others."""
        self.state.target_table.apply_agent_list(listed)

    def is_learning(self, now: float) -> bool:
        """Return whether this balancer may not know all targets yet."""
        return self.state.target_table.is_learning(now)

    def handle_status(self, address: str, status: Status, now: float) -> bool:
        """Handle a status; return whether agent or target are new or have changed."""
        target = self.targets.get(address)
        has_ended = target is not None and target.is_ended_by(status)
        was_unresponsive = target is not None and target.is_unresponsive
        changed = self.state.target_table.update(address, status, now)
        self.failure_detector.suspect_pinger.clear_suspect(address)
        if was_unresponsive and not has_ended:
            self.stale_flows.clear_suspicion(address)
        if changed and has_ended:
            self.stale_flows.suspect_flows(address, status, now)
        if changed:
            # The agent may have restarted: query it now about the flows that are
            # searched for, not only when unanswered queries are repeated.
            self.searches.add_agent(address, status.service)
            self.stale_flows.resolve_recovered(address, now)
        return changed

    def handle_pong(self, address: str, sequence: int, now: float) -> None:
        """Handle an agent's answer to a ping."""
        self.failure_detector.handle_pong(address, sequence, now)

    def recover_flows(self, entries: list[FlowEntry], now: float) -> None:
        """Restore flows of the previous run from a control host's checkpoint."""
        self.stale_flows.recover(entries, now)

    def tick(self, now: float) -> list[Action]:
        """Run periodic work; call it several times a second."""
        actions = self.retry_pending(now)
        for target in self.failure_detector.detect_unresponsive(now):
            self.stale_flows.suspect_flows_of_silent(target, now)
        actions += self.failure_detector.make_pings(now)
        actions += self.stale_flows.advance(now)
        actions += self.searches.advance(now)
        if now >= self._expire_at:
            self._expire_at = now + 1.0
            self._expire(now)
        return actions

    def has_pending_work(self) -> bool:
        """Return whether periodic work is pending, so that it should run more often."""
        pending = (
            self.searches,
            self.state.pending_syns,
            self.failure_detector.suspect_pinger,
        )
        return any(pending) or self.stale_flows.has_pending_work()

    def can_place_flows(self, now: float) -> bool:
        """Return whether this balancer could place a flow."""
        return bool(self.routes.version) and any(
            target.accepts_new_flows(now) for target in self.targets.values()
        )

    # Packets.

    def handle_packet(self, segment: Segment, now: float) -> list[Action]:
        """Handle a caller's packet."""
        flow = self.flows.get(segment.key)
        if segment.is_syn and not segment.is_ack:
            return self._placer.handle_syn(segment, flow, now)
        # The flow is open: a copy of its SYN that is still pending here would be placed
        # at a second target.
        self.state.pending_syns.pop(segment.key)
        if flow is not None:
            return self._forward(segment, flow, now)
        return self._search(segment, frozenset(), now)

    def handle_rejected_packet(
        self, address: str, message: RejectedPacket, segment: Segment, now: float
    ) -> list[Action]:
        """Handle a packet that an agent rejected instead of delivering it."""
        self.state.counters.returned += 1
        flow = self.flows.get(segment.key)
        self.state.log_event(
            "packet_returned",
            flow=segment.key.hex(),
            peer=address,
            reason=RejectReason(message.reason).name,
            opens=segment.is_syn,
        )
        if segment.is_syn:
            self._correct_load(address, message, now)
            return self._placer.handle_rejection(
                address, message.reason, segment, flow, now
            )
        is_searched = self.searches.is_running(segment.key)
        if flow is not None and flow.address == address and not is_searched:
            return self._search_elsewhere(segment, flow, Trigger.RETURNED, now)
        if is_searched:
            return self.searches.handle_answer(
                address, segment.key, Answer.NOT_HELD, now
            )
        cause = SearchCause(Trigger.RETURNED, address)
        return self._search(segment, frozenset((address,)), now, cause)

    def _correct_load(self, address: str, message: RejectedPacket, now: float) -> None:
        """Update a target's load from a packet that its agent rejected."""
        target = self.targets.get(address)
        if target is None:
            return
        if message.reason == RejectReason.FULL:
            target.apply_reported_load(message.active_requests, now)
        elif message.reason == RejectReason.COLD:
            target.backoff_until = now + message.retry_after_ms / 1000

    def retry_pending(self, now: float) -> list[Action]:
        """Try to place the pending SYNs; call it when a load has changed."""
        return self._placer.retry_pending(now)

    def handle_aggregated_answers(
        self, message: AggregatedAnswers, now: float
    ) -> list[Action]:
        """Handle what agents answered about a flow."""
        return self.searches.handle_aggregated_answers(message, now)

    # Packets of open flows.

    def _forward(self, segment: Segment, flow: PlacedFlow, now: float) -> list[Action]:
        flow.last_packet_at = now
        flow.is_opening = False
        self.state.update_checkpoint(segment, flow)
        target = self.targets.get(flow.address)
        if target is None:
            return self._search_elsewhere(segment, flow, Trigger.LOST, now)
        if segment.data and flow.record_data(segment.sequence, now):
            self.failure_detector.suspect(target, now)
        if self._is_target_lost(target, segment.key, now):
            return self._search_elsewhere(segment, flow, Trigger.LOST, now)
        return [make_delivery(flow.address, flow.service, segment)]

    def _is_target_lost(self, target: Target, key: bytes, now: float) -> bool:
        """Return whether a flow's target counts as lost, given the needs of its caller.

        A caller that may not retry loses its request with the flow, so its target
        counts as lost later: an agent that restarts recovers before the caller gives
        up.
        """
        if self.state.may_retry(key):
            return target.is_unreachable(now)
        return target.is_lost(now)

    def _search_elsewhere(
        self, segment: Segment, flow: PlacedFlow, trigger: Trigger, now: float
    ) -> list[Action]:
        """Search for a flow whose target does not hold it, or is lost.

        Another target may hold it: a caller whose SYN went to two targets may have
        accepted the other one's answer. This is possible even if no packet was rejected
        so far, because the rejection may have been lost. A reset without a search would
        break such a flow.
        """
        del self.flows[segment.key]
        cause = SearchCause(trigger, flow.address)
        return self._search(segment, frozenset((flow.address,)), now, cause)

    def _search(
        self,
        segment: Segment,
        excluded: frozenset[str],
        now: float,
        cause: SearchCause = CAUSE_UNKNOWN_FLOW,
    ) -> list[Action]:
        """Search for the target of a flow that this balancer does not know."""
        may_retry = self.state.may_retry(segment.key)
        holders = self.state.list_possible_holders(segment.key, may_retry)
        return self.searches.start(
            segment, holders, self.peers, excluded, now, may_retry, cause
        )

    # Messages between balancers.

    def answer_location_query(
        self, message: LocationQuery, now: float
    ) -> FlowLocations | None:
        """Return where a flow is, None when this balancer does not know."""
        flow = self.flows.get(message.key)
        if flow is None or flow.is_opening or flow.address not in self.targets:
            return None
        return FlowLocations(((message.key, flow.address),))

    def handle_flow_locations(self, message: FlowLocations, now: float) -> list[Action]:
        """Handle another node's message about where flows are.

        It may be wrong: then the target's agent rejects the packets.
        """
        actions: list[Action] = []
        for key, address in message.flows:
            target = self.targets.get(address)
            if target is None:
                continue
            if self.searches.is_running(key):
                actions += self.searches.handle_answer(address, key, Answer.HELD, now)
            else:
                self.state.record_reported_flow(key, target, now)
        return actions

    def export_flow_locations(self) -> list[FlowLocations]:
        """Return all open flows, for the balancers that take over at a stop."""
        flows = [
            (key, flow.address)
            for key, flow in self.flows.items()
            if not flow.is_opening
        ]
        return [
            FlowLocations(tuple(flows[first : first + FLOWS_PER_MESSAGE]))
            for first in range(0, len(flows), FLOWS_PER_MESSAGE)
        ]

    def _expire(self, now: float) -> None:
        self.state.target_table.expire(now)
        self.stale_flows.recovered.expire(now)
        idle = [
            key
            for key, flow in self.flows.items()
            if now - flow.last_packet_at >= FLOW_IDLE_SECONDS
        ]
        for key in idle:
            del self.flows[key]
