"""Decide where a new flow goes, what waits and what is refused."""

from collections.abc import Callable

from ..messages import Deliver, Reason, Reset, Send
from ..routes import Route, choose_service, make_tag
from ..searching.searches import deliver
from ..segment import Segment
from ..state import BalancerState
from .admission import (
    HOLD_SECONDS,
    Verdict,
    find_last_moment,
    find_patience,
    judge_opening,
    limit_requests,
)
from .placed import NO_OFFERS, Flow, Offers
from .placement import Target, choose_target

# How many targets a new flow is offered before it is refused: more than this are only
# full together, when a refusal serves the caller better than another try.
MAX_OFFERS = 6

Action = Send | Reset


class Opener:
    """Own the decisions on new flows of one balancer.

    ``doubt`` is told of a target that has not answered an opening packet; ``observe``
    how many seconds one has waited here.
    """

    def __init__(
        self,
        state: BalancerState,
        doubt: Callable[[Target, float], None],
        observe: Callable[[float], None],
    ) -> None:
        self.state = state
        self._doubt = doubt
        self._observe = observe

    def open_again(self, now: float) -> list[Action]:
        """Offer the opening packets that wait; call when a load has changed.

        The first of a service that must go on waiting is the youngest, and all behind
        it are worse off.
        """
        actions: list[Action] = []
        stuck: set[str] = set()
        for opening in self.state.openings.list_young_first():
            segment = opening.segment
            route = self.state.routes.find(segment.place)
            service = choose_service(route, segment.key) if route else ""
            find_limit = find_last_moment if service in stuck else find_patience
            is_over = now >= opening.deadline or (
                route is not None and now - opening.began >= find_limit(route)
            )
            if service in stuck and not is_over:
                continue
            found = self.open(segment, self.state.flows.get(segment.key), now)
            if found:
                self.state.openings.drop(segment.key)
                actions += found
                self._observe(now - opening.began)
            elif now >= opening.deadline:
                self.state.openings.drop(segment.key)
                actions += self._refuse(
                    segment, service, NO_OFFERS, "no_target_in_time"
                )
            else:
                stuck.add(service)
        return actions

    def open(self, segment: Segment, flow: Flow | None, now: float) -> list[Action]:
        """Take an opening packet, or another copy of one."""
        route = self.state.routes.find(segment.place)
        if route is None:
            if not self.state.routes.version:
                return self._hold(segment, now)
            return self._refuse_unroutable(segment)
        if flow is not None and flow.is_late_copy(segment):
            return []
        if flow is not None and flow.sequence == segment.sequence and flow.opening:
            target = self.state.targets.get(flow.address)
            if target is not None and self._is_trusted(target, flow, now):
                flow.seen_at = now
                flow.copied_after = segment.waited
                return [deliver(flow.address, flow.service, segment)]
        if self.state.known.is_gathering(now):
            return self._hold(segment, now)
        service = choose_service(route, segment.key)
        return self._admit(segment, route, service, NO_OFFERS, now)

    def offer_again(
        self,
        address: str,
        reason: int,
        segment: Segment,
        flow: Flow | None,
        now: float,
    ) -> list[Action]:
        """Offer a flow to another target than the one that sent it back."""
        if flow is not None and flow.address != address:
            # A copy of the opening packet went elsewhere meanwhile.
            return []
        if flow is not None and not flow.is_refused_by(segment):
            return []
        route = self.state.routes.find(segment.place)
        if route is None:
            return self._refuse_unroutable(segment)
        service = choose_service(route, segment.key)
        offers = flow.offers if flow else NO_OFFERS
        if reason != Reason.COLD:
            # A cold target takes the flow a little later, when no other does before.
            offers = offers.add(address, reason)
        return self._admit(segment, route, service, offers, now)

    def _is_trusted(self, target: Target, flow: Flow, now: float) -> bool:
        """Tell whether a copy of an opening packet goes where the first one went.

        A target answers within some milliseconds. Unless its agent was heard since,
        it may have fallen silent, and the caller has one copy left.
        """
        if not target.is_candidate(now):
            return False
        if target.heard_at >= flow.seen_at:
            return True
        self._doubt(target, now)
        return not target.is_doubted

    def _admit(
        self,
        segment: Segment,
        route: Route,
        service: str,
        offers: Offers,
        now: float,
    ) -> list[Action]:
        """Place a new flow, keep it for a while, or refuse it."""
        target = self._choose(service, offers, now)
        if target is None:
            return self._go_without(segment, service, offers, now)
        age = now - self.state.find_began(segment, now)
        is_crowded = self.state.openings.has_others(segment.key)
        verdict = judge_opening(target, age, route, is_crowded, now)
        if verdict == Verdict.HOLD:
            return self._hold(segment, now)
        if verdict == Verdict.REFUSE:
            return self._refuse(segment, service, offers, "overload")
        corrections = len(offers.corrected)
        limit = limit_requests(target, age, route, corrections, is_crowded, now)
        return self._place(segment, service, target, offers, limit, now)

    def _choose(self, service: str, offers: Offers, now: float) -> Target | None:
        targets = self.state.known.list_of(service)
        target = None
        if len(offers.tried) < MAX_OFFERS:
            near = frozenset() if offers.tried else self.state.near
            target = choose_target(targets, offers.tried, self.state.draw, now, near)
        if target is None and offers.corrected:
            # The agents left are all more loaded than was believed, which is no
            # reason to refuse the flow: the target itself decides.
            refused = offers.tried - offers.corrected
            target = choose_target(targets, refused, self.state.draw, now)
        return target

    def _go_without(
        self, segment: Segment, service: str, offers: Offers, now: float
    ) -> list[Action]:
        """Keep a flow that no target can take while one may be back, or refuse it."""
        untried = [
            found
            for found in self.state.known.list_of(service)
            if found.address not in offers.tried
        ]
        deadline = self.state.find_began(segment, now) + HOLD_SECONDS
        if self._is_worth_waiting(untried, deadline, now):
            return self._hold(segment, now)
        return self._refuse(segment, service, offers, "no_target")

    def _refuse(
        self, segment: Segment, service: str, offers: Offers, reason: str
    ) -> list[Action]:
        """Tell the caller at once, while it has time to try again."""
        self.state.counters.refused += 1
        self.state.flows.pop(segment.key, None)
        self.state.tell_event(
            "flow_refused",
            flow=segment.key.hex(),
            service=service,
            reason=reason,
            offered=len(offers.tried),
            targets=len(self.state.known.list_of(service)),
        )
        return [Reset(segment, reason)]

    def _refuse_unroutable(self, segment: Segment) -> list[Action]:
        """Tell the caller that no service is at this address and port."""
        self.state.counters.unroutable += 1
        self.state.tell_event("flow_refused", flow=segment.key.hex(), reason="no_route")
        return [Reset(segment, "no_route")]

    def _place(
        self,
        segment: Segment,
        service: str,
        target: Target,
        offers: Offers,
        limit: int,
        now: float,
    ) -> list[Action]:
        self.state.counters.placed += 1
        target.place(now)
        self.state.tell_event(
            "flow_placed",
            flow=segment.key.hex(),
            peer=target.address,
            load=f"{target.estimate_load(now):.2f}",
            age_ms=int(1000 * (now - target.heard_at)),
            offered=len(offers.tried),
            candidates=len(self.state.known.list_of(service)),
        )
        self.state.place(segment, target, offers, now)
        self.state.openings.drop(segment.key)
        message = Deliver(make_tag(service), segment.raw, limit)
        return [Send(target.address, message)]

    def _hold(self, segment: Segment, now: float) -> list[Action]:
        """Keep an opening packet until a target is known or free.

        A caller that is reset tries again at once, and has used up its tries some
        milliseconds later, long before a fleet that restarts is back.
        """
        self.state.openings.keep(segment, self.state.find_began(segment, now))
        self.state.flows.pop(segment.key, None)
        return []

    def _is_worth_waiting(
        self, targets: list[Target], deadline: float, now: float
    ) -> bool:
        """Tell whether a target may be back before the caller gives up.

        Targets that drain or have gone will not; one that was lost long ago neither,
        and a cold one only when it takes new flows again before ``deadline``.
        """
        if self.state.known.is_learning(now):
            return True
        return any(
            target.may_return(now) and target.rests_until < deadline
            for target in targets
        )
