"""Decide what a balancer does with each packet of a caller."""

from collections.abc import Callable

from .admission import (
    Openings,
    Verdict,
    find_patience,
    judge_opening,
    limit_requests,
)
from .checkpoint import ENDED, Checkpoint, FlowEntry, FormerFlows
from .messages import (
    Answer,
    Deliver,
    Gathered,
    Known,
    Reason,
    Reset,
    Returned,
    Seek,
    Send,
    Status,
    TargetState,
)
from .placed import NO_OFFERS, DoubtfulFlows, Flow, Offers, recall
from .placement import QUIET_SECONDS, Target, choose_target
from .routes import Route, RouteTable, choose_service, make_tag
from .search import WITHOUT_FLOWS
from .searching import Counters, Searches, deliver
from .segment import Segment
from .suspicion import CONTROLS, Suspicions
from .targets import KnownTargets

# How long a flow without packets is remembered. Unit: seconds. Source: twice the
# longest pause after which a flow may be discarded (15 s); the agents know it anyway.
FLOW_IDLE_SECONDS = 30.0
MAX_FLOWS = 200_000
# How many targets a new flow is offered before it is refused. Unit: targets. Source:
# each costs the caller a round trip of some milliseconds; more than this are only
# full together, when a refusal serves the caller better than another try.
MAX_OFFERS = 6
# How many flows of a target that has ended are asked for at each sweep. Unit: flows.
# Source: 50 sweeps a second while any are asked for, so 250 flows a second; each costs
# a question and an answer of some 100 bytes on the balancer's link.
DOUBTS_PER_SWEEP = 5
# How many flows of the former run are reset at each sweep. Unit: flows. Source: 50
# sweeps a second while any are left, so 1,000 flows a second; a reset has 31 bytes.
RESETS_PER_SWEEP = 20
# How long after its last word the flows of a target are left alone. Unit: seconds.
# Source: it ends after that word has been answered, and a flow must not be reset while
# its target runs; a process ends within some tens of milliseconds.
LEAVING_SECONDS = 0.5
# Flows in one message between balancers. Source: what fits a packet of usual size.
FLOWS_PER_MESSAGE = 40

Action = Send | Reset


class Balancer:
    """Own the flows and targets that one balancer knows."""

    def __init__(
        self,
        draw: Callable[[], float],
        tell: Callable[..., None] = lambda event, **fields: None,
        now: float = float("-inf"),
        observe: Callable[[float], None] = lambda seconds: None,
    ) -> None:
        self.routes = RouteTable()
        self.openings = Openings()
        self.known = KnownTargets(tell, now)
        self.targets = self.known.targets
        # Balancers of the same failure domain, which routers fall back on.
        self.peers: tuple[str, ...] = ()
        self.flows: dict[bytes, Flow] = {}
        self.doubtful = DoubtfulFlows()
        self.checkpoint = Checkpoint()
        self.former = FormerFlows()
        self.suspicions = Suspicions()
        self.counters = Counters()
        self.searches = Searches(
            self.known, self.counters, draw, tell, self._note_found, now
        )
        self._draw = draw
        self._observe = observe
        self._tell_event = tell
        self._sweep_at = 0.0

    # What the node learns.

    def take_routes(self, routes: RouteTable) -> bool:
        """Put a newer configuration in force; return whether it is newer."""
        if routes.version <= self.routes.version:
            return False
        self.routes = routes
        return True

    def expect(self, address: str, now: float) -> None:
        """Take the word that an agent is there, which has yet to speak."""
        self.known.expect(address, now)

    def finish_list(self, named: frozenset[str]) -> None:
        """Take the list of all agents; others are not waited for any more."""
        self.known.finish_list(named)

    def is_learning(self, now: float) -> bool:
        """Tell whether this balancer may not know all targets yet."""
        return self.known.is_learning(now)

    def learn(self, address: str, status: Status, now: float) -> bool:
        """Take an agent's word; return whether it is new, has restarted or changed."""
        target = self.targets.get(address)
        has_ended = target is not None and target.has_ended_by(status)
        was_deaf = target is not None and target.is_deaf
        changed = self.known.learn(address, status, now)
        self.suspicions.end(address)
        if was_deaf and not has_ended:
            self.doubtful.forget(self._list_flows(address))
        if changed and has_ended:
            self._doubt(address, status, now)
        if changed:
            # It may be back from a restart: what is looked for need not wait until
            # silent agents are asked again.
            self.searches.add(address, status.service)
            self._settle_former(address, now)
        return changed

    def sweep(self, now: float) -> list[Action]:
        """Go on with searches and forget what is over; call some times a second."""
        actions = self.open_again(now)
        actions += self._watch_silence(now)
        actions += self._reset_over()
        actions += self._ask_doubtful(now)
        actions += self.searches.go_on_all(now)
        if now >= self._sweep_at:
            self._sweep_at = now + 1.0
            self._forget(now)
        return actions

    def is_busy(self) -> bool:
        """Tell whether something waits that a sweep would go on with."""
        waiting = self.searches, self.openings, self.doubtful, self.former.over
        return any(waiting) or bool(self.suspicions)

    def is_usable(self, now: float) -> bool:
        """Tell whether this balancer could place a flow."""
        return bool(self.routes.version) and any(
            target.is_candidate(now) for target in self.targets.values()
        )

    # What packets ask for.

    def take(self, segment: Segment, now: float) -> list[Action]:
        """Take a caller's packet."""
        flow = self.flows.get(segment.key)
        if segment.opens and not segment.acknowledges:
            return self._open(segment, flow, now)
        if flow is not None:
            return self._go_along(segment, flow, now)
        return self._search(segment, frozenset(), now)

    def take_returned(
        self, address: str, message: Returned, segment: Segment, now: float
    ) -> list[Action]:
        """Take a packet that an agent could not hand over."""
        self.counters.returned += 1
        flow = self.flows.get(segment.key)
        self._tell_event(
            "packet_returned",
            flow=segment.key.hex(),
            peer=address,
            reason=Reason(message.reason).name,
            opens=segment.opens,
        )
        if segment.opens:
            if message.reason == Reason.FULL and address in self.targets:
                self.targets[address].correct(message.load, now)
            return self._offer_again(address, message.reason, segment, flow, now)
        is_searched = self.searches.is_open(segment.key)
        if flow is not None and flow.address == address and not is_searched:
            return self._leave(segment, flow, now)
        if is_searched:
            return self.searches.answer(address, segment.key, Answer.NOT_HELD, now)
        return self._search(segment, frozenset((address,)), now)

    def open_again(self, now: float) -> list[Action]:
        """Offer the opening packets that wait; call when a load has changed.

        The first of a service that must go on waiting is the youngest, and all behind
        it are worse off.
        """
        actions: list[Action] = []
        stuck: set[str] = set()
        for opening in self.openings.list_young_first():
            segment = opening.segment
            route = self.routes.find(segment.place)
            service = choose_service(route, segment.key) if route else ""
            is_over = now >= opening.deadline or (
                route is not None and now - opening.began >= find_patience(route)
            )
            if service in stuck and not is_over:
                continue
            found = self._open(segment, self.flows.get(segment.key), now)
            if found:
                self.openings.drop(segment.key)
                actions += found
                self._observe(now - opening.began)
            elif now >= opening.deadline:
                self.openings.drop(segment.key)
                self.counters.refused += 1
                actions.append(Reset(segment, "no_target_in_time"))
            else:
                stuck.add(service)
        return actions

    def take_gathered(self, message: Gathered, now: float) -> list[Action]:
        """Take what agents answered about a flow."""
        return self.searches.take_gathered(message, now)

    # How a flow opens.

    def _open(self, segment: Segment, flow: Flow | None, now: float) -> list[Action]:
        route = self.routes.find(segment.place)
        if route is None:
            if not self.routes.version:
                return self._hold(segment, now)
            self.counters.unroutable += 1
            return [Reset(segment, "no_route")]
        if flow is not None and flow.sequence == segment.sequence and flow.opening:
            target = self.targets.get(flow.address)
            if target is not None and self._is_trusted(target, flow, now):
                flow.seen_at = now
                return [deliver(flow.address, flow.service, segment)]
        service = choose_service(route, segment.key)
        return self._admit(segment, route, service, NO_OFFERS, now)

    def _is_trusted(self, target: Target, flow: Flow, now: float) -> bool:
        """Tell whether a copy of an opening packet goes where the first one went.

        A target answers within some milliseconds. Unless its agent was heard since,
        it may have fallen silent, and the caller has one copy left.
        """
        if not target.is_candidate(now):
            return False
        if target.heard_at >= flow.seen_at:
            return True
        self._doubt_target(target, now)
        return not target.is_doubted

    def _find_began(self, segment: Segment, now: float) -> float:
        """Return when the caller sent the first copy of an opening packet."""
        opening = self.openings.find(segment.key)
        if opening is not None:
            return opening.began
        flow = self.flows.get(segment.key)
        if flow is not None and flow.opening and flow.sequence == segment.sequence:
            return flow.began
        return now - segment.waited

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
        age = now - self._find_began(segment, now)
        verdict = judge_opening(target, age, route, now)
        if verdict == Verdict.HOLD:
            return self._hold(segment, now)
        if verdict == Verdict.REFUSE:
            return self._refuse(segment, service, offers, "overload")
        limit = limit_requests(target, age, route, len(offers.corrected), now)
        return self._place(segment, service, target, offers, limit, now)

    def _choose(self, service: str, offers: Offers, now: float) -> Target | None:
        targets = self.known.list_of(service)
        target = None
        if len(offers.tried) < MAX_OFFERS:
            target = choose_target(targets, offers.tried, self._draw, now)
        if target is None and offers.corrected:
            # The agents left are all more loaded than was believed, which is no
            # reason to refuse the flow: the target itself decides.
            refused = offers.tried - offers.corrected
            target = choose_target(targets, refused, self._draw, now)
        return target

    def _go_without(
        self, segment: Segment, service: str, offers: Offers, now: float
    ) -> list[Action]:
        """Keep a flow that no target can take while one may be back, or refuse it."""
        untried = [
            found
            for found in self.known.list_of(service)
            if found.address not in offers.tried
        ]
        if self._is_worth_waiting(untried, now):
            return self._hold(segment, now)
        return self._refuse(segment, service, offers, "no_target")

    def _refuse(
        self, segment: Segment, service: str, offers: Offers, reason: str
    ) -> list[Action]:
        """Tell the caller at once, while it has time to try again."""
        self.counters.refused += 1
        self.flows.pop(segment.key, None)
        self._tell_event(
            "flow_refused",
            flow=segment.key.hex(),
            service=service,
            reason=reason,
            offered=len(offers.tried),
            targets=len(self.known.list_of(service)),
        )
        return [Reset(segment, reason)]

    def _place(
        self,
        segment: Segment,
        service: str,
        target: Target,
        offers: Offers,
        limit: int,
        now: float,
    ) -> list[Action]:
        self.counters.placed += 1
        target.place(now)
        self._tell_event(
            "flow_placed",
            flow=segment.key.hex(),
            peer=target.address,
            load=f"{target.estimate_load(now):.2f}",
            age_ms=int(1000 * (now - target.heard_at)),
            offered=len(offers.tried),
            candidates=len(self.known.list_of(service)),
        )
        self._remember(segment, target, True, offers, now)
        self.openings.drop(segment.key)
        message = Deliver(make_tag(service), segment.raw, limit)
        return [Send(target.address, message)]

    def _hold(self, segment: Segment, now: float) -> list[Action]:
        """Keep an opening packet until a target is known or free.

        A caller that is reset tries again at once, and has used up its tries some
        milliseconds later, long before a fleet that restarts is back.
        """
        self.openings.keep(segment, self._find_began(segment, now))
        self.flows.pop(segment.key, None)
        return []

    def _is_worth_waiting(self, targets: list[Target], now: float) -> bool:
        """Tell whether a target may be back before the caller gives up.

        Targets that drain or have gone will not; one that was lost long ago neither.
        """
        if self.is_learning(now):
            return True
        return any(target.may_return(now) for target in targets)

    def _offer_again(
        self,
        address: str,
        reason: int,
        segment: Segment,
        flow: Flow | None,
        now: float,
    ) -> list[Action]:
        if flow is not None and flow.address != address:
            # A copy of the opening packet went elsewhere meanwhile.
            return []
        route = self.routes.find(segment.place)
        if route is None:
            return [Reset(segment, "no_route")]
        service = choose_service(route, segment.key)
        offers = (flow.offers if flow else NO_OFFERS).add(address, reason)
        return self._admit(segment, route, service, offers, now)

    def _remember(
        self,
        segment: Segment,
        target: Target,
        opening: bool,
        offers: Offers,
        now: float,
    ) -> None:
        began = self._find_began(segment, now) if opening else now
        self.checkpoint.watch(segment.key, now)
        if len(self.flows) >= MAX_FLOWS:
            self.flows.pop(next(iter(self.flows)))
        self.flows[segment.key] = Flow(
            target.address,
            target.status.service,
            segment.sequence,
            opening,
            now,
            began,
            offers,
        )

    # How a flow goes on.

    def _go_along(self, segment: Segment, flow: Flow, now: float) -> list[Action]:
        flow.seen_at = now
        flow.opening = False
        flow.acknowledgement = segment.acknowledgement
        self._follow(segment, flow)
        target = self.targets.get(flow.address)
        is_repeat = bool(segment.data) and flow.note_data(segment.sequence, now)
        if is_repeat and target is not None:
            self._doubt_target(target, now)
        if target is None or self._has_lost(target, segment.key, now):
            return self._leave(segment, flow, now)
        return [deliver(flow.address, flow.service, segment)]

    def _has_lost(self, target: Target, key: bytes, now: float) -> bool:
        """Tell whether a flow's caller is better off without the target.

        A caller that may not ask again loses its request with the flow, so more is
        asked for: an agent that is started again is back before its caller gives up.
        """
        if self._may_repeat(key):
            return target.is_unreachable(now)
        return target.is_lost(now)

    def _may_repeat(self, key: bytes) -> bool:
        route = self.routes.find(key[6:])
        return route is None or route.repeatable

    def _leave(self, segment: Segment, flow: Flow, now: float) -> list[Action]:
        """Go on with a flow that its target does not hold, or is lost with.

        Somebody else may hold it: a caller whose opening packet went to two targets
        took the other one. That packets did not come back is no proof, their return may
        have been lost; a reset without asking broke such a flow.
        """
        del self.flows[segment.key]
        return self._search(segment, frozenset((flow.address,)), now)

    def _follow(self, segment: Segment, flow: Flow) -> None:
        """Note a flow again that was noted before, or its end."""
        if segment.finishes or segment.resets:
            self.checkpoint.end(segment.key, flow)
        elif flow.noted is not None:
            self._note(segment.key, flow)

    def _note(self, key: bytes, flow: Flow) -> None:
        target = self.targets.get(flow.address)
        if target is not None:
            self.checkpoint.note(key, flow, target.incarnation)

    def note_flows(self, now: float) -> None:
        """Note the flows that have become old enough, for the next run."""
        for key in self.checkpoint.take_due(now):
            flow = self.flows.get(key)
            if flow is not None and not flow.opening:
                self._note(key, flow)

    def take_former(self, entries: list[FlowEntry], now: float) -> None:
        """Take flows of the former run; those whose target has ended will be reset.

        The target that a flow went to says by its incarnation whether it still holds
        it. Until its agent has heard it, the entry waits.
        """
        for entry in entries:
            self.former.add(entry, now)
        for address in {entry.address for entry in entries}:
            self._settle_former(address, now)

    def _settle_former(self, address: str, now: float) -> None:
        target = self.targets.get(address)
        if target is None:
            return
        has_gone = target.status.state in WITHOUT_FLOWS
        if not has_gone and not target.status.incarnation:
            return
        present = ENDED if has_gone else target.status.incarnation
        for entry in self.former.settle(address, present):
            if not self.searches.is_open(entry.key):
                self._note_flow(entry.key, target, now)

    def _reset_over(self) -> list[Action]:
        """Reset the next flows of the former run whose target has ended.

        One that is known again is another flow of the same caller and port, or was
        found where a copy of its opening packet had gone.
        """
        actions: list[Action] = []
        for entry in self.former.take_over(RESETS_PER_SWEEP):
            if entry.key in self.flows or self.openings.find(entry.key):
                continue
            last = self.searches.drop(entry.key)
            last = last or recall(entry.key, entry.acknowledgement)
            self.counters.reset += 1
            self._tell_event("flow_reset", flow=entry.key.hex(), reason="target_ended")
            actions.append(Reset(last, "target_ended"))
        return actions

    def _doubt_target(self, target: Target, now: float) -> None:
        """Ping the agent of a target whose caller has got no answer."""
        if not self.suspicions.has_room() or not target.may_be_doubted(now):
            return
        others = [
            found.address
            for found in self.targets.values()
            if found is not target and found.may_relay(now)
        ]
        if not others:
            return
        first = int(self._draw() * len(others))
        controls = (others[first:] + others[:first])[:CONTROLS]
        target.is_doubted = True
        self.suspicions.begin(target.address, controls, now)
        self._tell_event(
            "target_doubted",
            peer=target.address,
            silent_ms=int(1000 * (now - target.heard_at)),
        )

    def take_pong(self, address: str, number: int, now: float) -> None:
        """Take the answer to a ping."""
        if self.suspicions.take_pong(address, number, now) and address in self.targets:
            self.targets[address].is_doubted = False

    def _watch_silence(self, now: float) -> list[Action]:
        """Ping doubted agents, and leave those that are proved to be silent."""
        for target in self.targets.values():
            if now - target.heard_at >= QUIET_SECONDS and not target.is_silent(now):
                self._doubt_target(target, now)
        for verdict in self.suspicions.judge(now):
            target = self.targets.get(verdict.address)
            if target is not None and verdict.is_silent:
                self._leave_silent(target, now)
            elif target is not None:
                target.is_doubted = False
        return [Send(peer, ping) for peer, ping in self.suspicions.ping(now)]

    def _leave_silent(self, target: Target, now: float) -> None:
        """Take a target for lost until its agent is heard, and reset its flows.

        Their callers can still be served elsewhere. Not so one that waits for an answer
        and may not ask twice: its flow stays until it has given up.
        """
        target.is_deaf = True
        self._tell_event(
            "target_deaf",
            peer=target.address,
            silent_ms=int(1000 * (now - target.heard_at)),
        )
        for key in self._list_flows(target.address):
            self.doubtful.add((key,), self._find_reset_at(key, now))

    def _find_reset_at(self, key: bytes, now: float) -> float:
        if self._may_repeat(key):
            return now
        route = self.routes.find(key[6:])
        return max(now, self.flows[key].asked_at + route.timeout / 1000)

    def _list_flows(self, address: str) -> list[bytes]:
        return [
            key
            for key, flow in self.flows.items()
            if flow.address == address and not flow.opening
        ]

    def _doubt(self, address: str, status: Status, now: float) -> None:
        """Doubt the open flows of a target that has ended, or has started anew.

        A caller that keeps an idle flow there hears of its end by the silence after its
        next request; one that must not be sent twice is lost then. Told before, it
        opens a new flow for it.
        """
        is_leaving = status.state == TargetState.GONE
        due_at = now + LEAVING_SECONDS if is_leaving else now
        self.doubtful.add(self._list_flows(address), due_at)

    def _ask_doubtful(self, now: float) -> list[Action]:
        """Ask who holds the next flows whose target has ended; nobody: they are reset.

        The target that has started anew may hold one of them, and so may another one
        whose answer to the opening packet the caller took.
        """
        actions: list[Action] = []
        for key in self.doubtful.take(DOUBTS_PER_SWEEP, now):
            flow = self.flows.get(key)
            if flow is None or flow.acknowledgement is None:
                continue
            del self.flows[key]
            holders = self._list_holders(key, self._is_reachable)
            found = recall(key, flow.acknowledgement)
            actions += self.searches.begin(found, holders, (), frozenset(), now, True)
        return actions

    @staticmethod
    def _is_reachable(target: Target) -> bool:
        return not target.is_deaf

    def _search(
        self, segment: Segment, excluded: frozenset[str], now: float
    ) -> list[Action]:
        """Ask who holds a flow that this balancer does not know."""
        may_repeat = self._may_repeat(segment.key)
        is_holder = self._is_reachable if may_repeat else _is_any
        holders = self._list_holders(segment.key, is_holder)
        return self.searches.begin(
            segment, holders, self.peers, excluded, now, may_repeat
        )

    def tell_known(self, message: Seek, now: float) -> Known | None:
        """Answer another balancer where a flow is, when this one knows."""
        flow = self.flows.get(message.key)
        if flow is None or flow.opening or flow.address not in self.targets:
            return None
        return Known(((message.key, flow.address),))

    def take_known(self, message: Known, now: float) -> list[Action]:
        """Take another balancer's word of where flows are.

        It may be wrong: the target's agent sends back what is not held there.
        """
        actions: list[Action] = []
        for key, address in message.flows:
            target = self.targets.get(address)
            if target is None:
                continue
            if self.searches.is_open(key):
                actions += self.searches.answer(address, key, Answer.HELD, now)
            else:
                self._note_flow(key, target, now)
        return actions

    def list_known(self) -> list[Known]:
        """Return all flows, for the balancers that take them over at a stop."""
        flows = [
            (key, flow.address) for key, flow in self.flows.items() if not flow.opening
        ]
        return [
            Known(tuple(flows[first : first + FLOWS_PER_MESSAGE]))
            for first in range(0, len(flows), FLOWS_PER_MESSAGE)
        ]

    def _note_found(self, segment: Segment, target: Target, now: float) -> None:
        self._remember(segment, target, False, NO_OFFERS, now)

    def _note_flow(self, key: bytes, target: Target, now: float) -> None:
        if key not in self.flows and len(self.flows) < MAX_FLOWS:
            service = target.status.service
            self.flows[key] = Flow(target.address, service, 0, False, now, now)

    def _list_holders(
        self, key: bytes, is_holder: Callable[[Target], bool]
    ) -> list[Target]:
        """Return all targets that may hold a flow, those of its service first.

        A flow stays where it is when its route changes, so any service may hold it.
        Targets that have gone hold none: while their agents are remembered, each search
        would wait for answers that do not come. ``is_holder`` leaves out more.
        """
        route = self.routes.find(key[6:])
        likely = {share.service for share in route.shares} if route else set()
        targets = [
            target
            for target in self.targets.values()
            if target.status.state != TargetState.GONE and is_holder(target)
        ]
        return sorted(targets, key=lambda found: found.status.service not in likely)

    # What is forgotten.

    def _forget(self, now: float) -> None:
        self.known.forget(now)
        self.former.sweep(now)
        idle = [
            key
            for key, flow in self.flows.items()
            if now - flow.seen_at >= FLOW_IDLE_SECONDS
        ]
        for key in idle:
            del self.flows[key]


def _is_any(target: Target) -> bool:
    return True
