"""Define the state of one balancer that its parts share."""

from collections.abc import Callable

from .counters import Counters
from .messages import TargetState
from .placement.admission import SynQueue
from .placement.flow import NO_ATTEMPTS, Attempts, PlacedFlow
from .placement.target import Target
from .placement.target_table import TargetTable
from .recovery.checkpoint import CheckpointQueue
from .routes import RouteTable
from .segment import Segment

MAX_FLOWS = 200_000


class BalancerState:
    """The routes, targets, flows and pending SYNs of one balancer."""

    def __init__(
        self,
        random_fraction: Callable[[], float],
        log_event: Callable[..., None],
        now: float,
    ) -> None:
        self.routes = RouteTable()
        self.target_table = TargetTable(log_event, now)
        self.targets = self.target_table.targets
        # Addresses of the agents in the balancer's own failure domain.
        self.same_domain_agents: frozenset[str] = frozenset()
        self.flows: dict[bytes, PlacedFlow] = {}
        self.pending_syns = SynQueue()
        self.checkpoint = CheckpointQueue()
        self.counters = Counters()
        self.random_fraction = random_fraction
        self.log_event = log_event

    def may_retry(self, key: bytes) -> bool:
        """Return whether a flow's caller may send its request again on another flow."""
        route = self.routes.find(key[6:])
        return route is None or route.retryable

    def list_open_flows(self, address: str) -> list[bytes]:
        """Return the keys of a target's open flows, except those closed by callers."""
        return [
            key
            for key, flow in self.flows.items()
            if flow.address == address
            and not flow.is_opening
            and not flow.is_closed_by_caller
        ]

    def list_possible_holders(self, key: bytes, may_retry: bool) -> list[Target]:
        """Return all targets that may hold a flow, those of its service first.

        A flow stays at its target when its route changes, so a target of any service
        may hold it. Targets that are gone hold none; their agents, remembered for a
        while, do not answer, and every search would wait for them. When the caller may
        retry its request, unresponsive targets are left out too: a retry elsewhere is
        faster.
        """
        route = self.routes.find(key[6:])
        expected = (
            {weighted.service for weighted in route.weighted_services}
            if route
            else set()
        )
        targets = [
            target
            for target in self.targets.values()
            if target.status.state != TargetState.GONE
            and not (may_retry and target.is_unresponsive)
        ]
        return sorted(targets, key=lambda target: target.status.service not in expected)

    def find_first_syn_at(self, segment: Segment, now: float) -> float:
        """Return when the caller sent its first SYN of an opening flow."""
        pending = self.pending_syns.get(segment.key)
        if pending is not None:
            return pending.first_syn_at
        flow = self.flows.get(segment.key)
        if flow is not None and flow.is_opening and flow.sequence == segment.sequence:
            return flow.first_syn_at
        return now - segment.syn_age

    def record_placement(
        self, segment: Segment, target: Target, attempts: Attempts, now: float
    ) -> None:
        """Record where a new flow was placed."""
        self._store_flow(segment, target, self.find_first_syn_at(segment, now), now)
        flow = self.flows[segment.key]
        flow.is_opening, flow.attempts = True, attempts
        flow.newest_syn_age = segment.syn_age

    def record_found_flow(self, segment: Segment, target: Target, now: float) -> None:
        """Record where an open flow was found, or is still presumed to be."""
        self._store_flow(segment, target, now, now)

    def record_reported_flow(self, key: bytes, target: Target, now: float) -> None:
        """Record where another node reports an open flow, unless it is known here."""
        if key not in self.flows and len(self.flows) < MAX_FLOWS:
            service = target.status.service
            self.flows[key] = PlacedFlow(target.address, service, 0, False, now, now)

    def checkpoint_due_flows(self, now: float) -> None:
        """Add the flows that are old enough to the checkpoint for the next run."""
        for key in self.checkpoint.pop_due(now):
            flow = self.flows.get(key)
            if flow is not None and not flow.is_opening:
                self._checkpoint_flow(key, flow)

    def update_checkpoint(self, segment: Segment, flow: PlacedFlow) -> None:
        """Update the checkpoint of a flow from a caller's packet, or record its end."""
        flow.acknowledgement = segment.acknowledgement
        if segment.is_fin or segment.is_rst:
            flow.is_closed_by_caller = True
            self.checkpoint.record_end(segment.key, flow)
        elif flow.checkpointed_acknowledgement is not None:
            self._checkpoint_flow(segment.key, flow)

    def _checkpoint_flow(self, key: bytes, flow: PlacedFlow) -> None:
        target = self.targets.get(flow.address)
        if target is not None:
            self.checkpoint.record(key, flow, target.incarnation)

    def _store_flow(
        self, segment: Segment, target: Target, first_syn_at: float, now: float
    ) -> None:
        self.checkpoint.schedule(segment.key, now)
        if len(self.flows) >= MAX_FLOWS:
            self.flows.pop(next(iter(self.flows)))
        service = target.status.service
        flow = PlacedFlow(
            target.address,
            service,
            segment.sequence,
            False,
            now,
            first_syn_at,
            NO_ATTEMPTS,
        )
        if segment.is_ack:
            # The flow may be of another incarnation than its checkpoint records.
            flow.acknowledgement = segment.acknowledgement
        self.flows[segment.key] = flow
