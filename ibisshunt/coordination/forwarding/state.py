"""Hold what one balancer knows, for the parts that decide by it."""

from collections.abc import Callable

from .counters import Counters
from .messages import TargetState
from .placing.admission import Openings
from .placing.placed import NO_OFFERS, Flow, Offers
from .placing.placement import Target
from .placing.targets import KnownTargets
from .restart.checkpoint import Checkpoint
from .routes import RouteTable
from .segment import Segment

MAX_FLOWS = 200_000


class BalancerState:
    """Own the routes, targets, flows and waiting openings of one balancer."""

    def __init__(
        self, draw: Callable[[], float], tell: Callable[..., None], now: float
    ) -> None:
        self.routes = RouteTable()
        self.known = KnownTargets(tell, now)
        self.targets = self.known.targets
        # Addresses of the agents in the balancer's own failure domain.
        self.near: frozenset[str] = frozenset()
        self.flows: dict[bytes, Flow] = {}
        self.openings = Openings()
        self.checkpoint = Checkpoint()
        self.counters = Counters()
        self.draw = draw
        self.tell_event = tell

    def may_repeat(self, key: bytes) -> bool:
        """Tell whether a flow's caller may send its request again on another one."""
        route = self.routes.find(key[6:])
        return route is None or route.repeatable

    def list_flows(self, address: str) -> list[bytes]:
        """Return the keys of a target's open flows that no caller has ended."""
        return [
            key
            for key, flow in self.flows.items()
            if flow.address == address and not flow.opening and not flow.caller_ended
        ]

    def list_holders(self, key: bytes, may_repeat: bool) -> list[Target]:
        """Return all targets that may hold a flow, those of its service first.

        A flow stays where it is when its route changes, so any service may hold it.
        Targets that have gone hold none: while their agents are remembered, each search
        would wait for answers that do not come. A caller that may repeat its request
        is better off without those that have fallen silent.
        """
        route = self.routes.find(key[6:])
        likely = {share.service for share in route.shares} if route else set()
        targets = [
            target
            for target in self.targets.values()
            if target.status.state != TargetState.GONE
            and not (may_repeat and target.is_deaf)
        ]
        return sorted(targets, key=lambda found: found.status.service not in likely)

    def find_began(self, segment: Segment, now: float) -> float:
        """Return when the caller sent the first copy of an opening packet."""
        opening = self.openings.find(segment.key)
        if opening is not None:
            return opening.began
        flow = self.flows.get(segment.key)
        if flow is not None and flow.opening and flow.sequence == segment.sequence:
            return flow.began
        return now - segment.waited

    def place(
        self, segment: Segment, target: Target, offers: Offers, now: float
    ) -> None:
        """Remember where a new flow was sent."""
        self._remember(segment, target, self.find_began(segment, now), now)
        flow = self.flows[segment.key]
        flow.opening, flow.offers = True, offers
        flow.copied_after = segment.waited

    def note_found(self, segment: Segment, target: Target, now: float) -> None:
        """Remember where an open flow was found, or is still believed to be."""
        self._remember(segment, target, now, now)

    def note_flow(self, key: bytes, target: Target, now: float) -> None:
        """Remember where an open flow is, when nothing is known of it here."""
        if key not in self.flows and len(self.flows) < MAX_FLOWS:
            service = target.status.service
            self.flows[key] = Flow(target.address, service, 0, False, now, now)

    def note_flows(self, now: float) -> None:
        """Note the flows that have become old enough, for the next run."""
        for key in self.checkpoint.take_due(now):
            flow = self.flows.get(key)
            if flow is not None and not flow.opening:
                self._note(key, flow)

    def follow(self, segment: Segment, flow: Flow) -> None:
        """Note a flow again that was noted before, or its end."""
        flow.acknowledgement = segment.acknowledgement
        if segment.finishes or segment.resets:
            flow.caller_ended = True
            self.checkpoint.end(segment.key, flow)
        elif flow.noted is not None:
            self._note(segment.key, flow)

    def _note(self, key: bytes, flow: Flow) -> None:
        target = self.targets.get(flow.address)
        if target is not None:
            self.checkpoint.note(key, flow, target.incarnation)

    def _remember(
        self, segment: Segment, target: Target, began: float, now: float
    ) -> None:
        self.checkpoint.watch(segment.key, now)
        if len(self.flows) >= MAX_FLOWS:
            self.flows.pop(next(iter(self.flows)))
        service = target.status.service
        flow = Flow(
            target.address, service, segment.sequence, False, now, began, NO_OFFERS
        )
        if segment.acknowledges:
            # A flow that is found again may be another incarnation's than was noted.
            flow.acknowledgement = segment.acknowledgement
        self.flows[segment.key] = flow
