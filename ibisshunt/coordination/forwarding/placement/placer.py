"""Place, queue or reject new flows."""

from collections.abc import Callable

from ..messages import Deliver, RejectReason, ResetFlow, SendMessage
from ..routes import Route, choose_service, compute_service_tag
from ..search.manager import make_delivery
from ..segment import Segment
from ..state import BalancerState
from .admission import (
    MAX_QUEUE_SECONDS,
    AdmissionDecision,
    compute_request_limit,
    decide_admission,
    get_rejection_age,
    get_slot_wait_limit,
)
from .flow import NO_ATTEMPTS, Attempts, PlacedFlow
from .target import Target, choose_target

# Targets that a new flow is sent to before it is rejected: if that many are full, a
# rejection serves the caller better than another attempt.
MAX_ATTEMPTS = 6

Action = SendMessage | ResetFlow


class FlowPlacer:
    """Place, queue or reject the new flows of one balancer.

    ``suspect`` is called with a target that has not answered a SYN; ``observe_wait``
    with the seconds that a SYN was queued.
    """

    def __init__(
        self,
        state: BalancerState,
        suspect: Callable[[Target, float], None],
        observe_wait: Callable[[float], None],
    ) -> None:
        self.state = state
        self._suspect = suspect
        self._observe_wait = observe_wait

    def retry_pending(self, now: float) -> list[Action]:
        """Retry the queued SYNs; call when a load has changed.

        The youngest is tried first. Once one of a service has to stay queued, no older
        one of it can be placed earlier, and only those whose wait is over are tried.
        """
        actions: list[Action] = []
        busy_services: set[str] = set()
        for pending in self.state.pending_syns.list_youngest_first():
            segment = pending.segment
            route = self.state.routes.find(segment.vip)
            service = choose_service(route, segment.key) if route else ""
            get_age_limit = (
                get_rejection_age if service in busy_services else get_slot_wait_limit
            )
            is_due = now >= pending.expires_at or (
                route is not None and now - pending.first_syn_at >= get_age_limit(route)
            )
            if service in busy_services and not is_due:
                continue
            placement = self.handle_syn(segment, self.state.flows.get(segment.key), now)
            if placement:
                self.state.pending_syns.pop(segment.key)
                actions += placement
                self._observe_wait(now - pending.first_syn_at)
            elif now >= pending.expires_at:
                self.state.pending_syns.pop(segment.key)
                actions += self._reject(
                    segment, service, NO_ATTEMPTS, "no_target_in_time"
                )
            else:
                busy_services.add(service)
        return actions

    def handle_syn(
        self, segment: Segment, flow: PlacedFlow | None, now: float
    ) -> list[Action]:
        """Handle a SYN or a retransmission of one."""
        route = self.state.routes.find(segment.vip)
        if route is None:
            if not self.state.routes.version:
                return self._queue(segment, now)
            return self._reject_unroutable(segment)
        if flow is not None and flow.is_duplicate_syn(segment):
            return []
        if flow is not None and flow.sequence == segment.sequence and flow.is_opening:
            target = self.state.targets.get(flow.address)
            if target is not None and self._accepts_retransmission(target, flow, now):
                flow.last_packet_at = now
                flow.newest_syn_age = segment.syn_age
                return [make_delivery(flow.address, flow.service, segment)]
        if self.state.target_table.is_settling(now):
            return self._queue(segment, now)
        service = choose_service(route, segment.key)
        return self._admit(segment, route, service, NO_ATTEMPTS, now)

    def handle_rejection(
        self,
        address: str,
        reason: int,
        segment: Segment,
        flow: PlacedFlow | None,
        now: float,
    ) -> list[Action]:
        """Place a flow at another target than the one that rejected it."""
        if flow is not None and flow.address != address:
            # A copy of the SYN went to another target meanwhile.
            return []
        if flow is not None and not flow.is_rejected_by(segment):
            return []
        route = self.state.routes.find(segment.vip)
        if route is None:
            return self._reject_unroutable(segment)
        service = choose_service(route, segment.key)
        attempts = flow.attempts if flow else NO_ATTEMPTS
        if reason != RejectReason.COLD:
            # A target that is warming up accepts the flow a little later if no other
            # does before.
            attempts = attempts.add_rejection(address, reason)
        return self._admit(segment, route, service, attempts, now)

    def _accepts_retransmission(
        self, target: Target, flow: PlacedFlow, now: float
    ) -> bool:
        """Return whether a SYN copy goes to the same target as the first one.

        A target answers within some milliseconds. Unless its agent has sent a status
        since, it may have fallen silent, and the caller has one copy left.
        """
        if not target.accepts_new_flows(now):
            return False
        if target.last_status_at >= flow.last_packet_at:
            return True
        self._suspect(target, now)
        return not target.is_suspected

    def _admit(
        self,
        segment: Segment,
        route: Route,
        service: str,
        attempts: Attempts,
        now: float,
    ) -> list[Action]:
        """Place a new flow, queue it, or reject it."""
        target = self._choose_target(service, attempts, now)
        if target is None:
            return self._queue_or_reject(segment, service, attempts, now)
        syn_age = now - self.state.find_first_syn_at(segment, now)
        has_other_pending = self.state.pending_syns.has_others(segment.key)
        decision = decide_admission(target, syn_age, route, has_other_pending, now)
        if decision == AdmissionDecision.HOLD:
            return self._queue(segment, now)
        if decision == AdmissionDecision.REFUSE:
            return self._reject(segment, service, attempts, "overload")
        overload_rejections = len(attempts.overloaded)
        limit = compute_request_limit(
            target, syn_age, route, overload_rejections, has_other_pending, now
        )
        return self._place(segment, service, target, attempts, limit, now)

    def _choose_target(
        self, service: str, attempts: Attempts, now: float
    ) -> Target | None:
        targets = self.state.target_table.list_by_service(service)
        target = None
        if len(attempts.tried) < MAX_ATTEMPTS:
            preferred = frozenset() if attempts.tried else self.state.same_domain_agents
            target = choose_target(
                targets, attempts.tried, self.state.random_fraction, now, preferred
            )
        if target is None and attempts.overloaded:
            # All agents that are left reported more load than assumed, which is no
            # reason to reject the flow: the target itself decides.
            excluded = attempts.tried - attempts.overloaded
            target = choose_target(targets, excluded, self.state.random_fraction, now)
        return target

    def _queue_or_reject(
        self, segment: Segment, service: str, attempts: Attempts, now: float
    ) -> list[Action]:
        """Queue a flow that no target accepts while one may recover, else reject it."""
        untried = [
            target
            for target in self.state.target_table.list_by_service(service)
            if target.address not in attempts.tried
        ]
        deadline = self.state.find_first_syn_at(segment, now) + MAX_QUEUE_SECONDS
        if self._may_recover_in_time(untried, deadline, now):
            return self._queue(segment, now)
        return self._reject(segment, service, attempts, "no_target")

    def _reject(
        self, segment: Segment, service: str, attempts: Attempts, reason: str
    ) -> list[Action]:
        """Reset the flow at once, while its caller has time to try again."""
        self.state.counters.refused += 1
        self.state.flows.pop(segment.key, None)
        self.state.log_event(
            "flow_refused",
            flow=segment.key.hex(),
            service=service,
            reason=reason,
            offered=len(attempts.tried),
            targets=len(self.state.target_table.list_by_service(service)),
        )
        return [ResetFlow(segment, reason)]

    def _reject_unroutable(self, segment: Segment) -> list[Action]:
        """Reset a flow to an address and port without a service."""
        self.state.counters.unroutable += 1
        self.state.log_event("flow_refused", flow=segment.key.hex(), reason="no_route")
        return [ResetFlow(segment, "no_route")]

    def _place(
        self,
        segment: Segment,
        service: str,
        target: Target,
        attempts: Attempts,
        limit: int,
        now: float,
    ) -> list[Action]:
        self.state.counters.placed += 1
        target.record_placement(now)
        self.state.log_event(
            "flow_placed",
            flow=segment.key.hex(),
            peer=target.address,
            load=f"{target.estimate_load(now):.2f}",
            age_ms=int(1000 * (now - target.last_status_at)),
            offered=len(attempts.tried),
            candidates=len(self.state.target_table.list_by_service(service)),
        )
        self.state.record_placement(segment, target, attempts, now)
        self.state.pending_syns.pop(segment.key)
        message = Deliver(compute_service_tag(service), segment.packet, limit)
        return [SendMessage(target.address, message)]

    def _queue(self, segment: Segment, now: float) -> list[Action]:
        """Queue a SYN until a target is known or free.

        A caller that is reset tries again at once, and has used up its attempts some
        milliseconds later, long before a fleet that restarts is back.
        """
        self.state.pending_syns.put(segment, self.state.find_first_syn_at(segment, now))
        self.state.flows.pop(segment.key, None)
        return []

    def _may_recover_in_time(
        self, targets: list[Target], deadline: float, now: float
    ) -> bool:
        """Return whether a target may recover before the caller gives up.

        Targets that drain or are gone will not, nor one that was lost long ago; one
        that backs off while it warms up only if it accepts new flows before
        ``deadline``.
        """
        if self.state.target_table.is_learning(now):
            return True
        return any(
            target.may_recover(now) and target.backoff_until < deadline
            for target in targets
        )
