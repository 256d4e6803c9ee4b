"""Decide what a balancer does with each packet of a caller."""

from collections.abc import Callable

from .messages import (
    FLOWS_PER_MESSAGE,
    Answer,
    Gathered,
    Known,
    Reason,
    Reset,
    Returned,
    Seek,
    Send,
    Status,
)
from .placing.opening import Opener
from .placing.placed import Flow
from .placing.placement import Target
from .restart.checkpoint import FlowEntry
from .restart.ending import EndedFlows
from .routes import RouteTable
from .searching.search import UNKNOWN_FLOW, Cause, Trigger
from .searching.searches import Searches, deliver
from .segment import Segment
from .silence.watch import SilenceWatch
from .state import BalancerState

# How long a flow without packets is remembered; the agents know it anyway.
FLOW_IDLE_SECONDS = 30.0

Action = Send | Reset


class Balancer:
    """Own the flows and targets that one balancer knows.

    ``draw`` returns random numbers from 0 to 1, ``tell`` logs an event, ``observe`` is
    told how many seconds an opening packet has waited. Times are in seconds of one
    clock; the balancer starts at ``now``.
    """

    def __init__(
        self,
        draw: Callable[[], float],
        tell: Callable[..., None] = lambda event, **fields: None,
        now: float = float("-inf"),
        observe: Callable[[float], None] = lambda seconds: None,
    ) -> None:
        self.state = BalancerState(draw, tell, now)
        # Balancers of the same failure domain, which routers fall back on.
        self.peers: tuple[str, ...] = ()
        self.searches = Searches(self.state, now)
        self.silence = SilenceWatch(self.state)
        self.ended = EndedFlows(self.state, self.searches)
        self._opener = Opener(self.state, self.silence.doubt, observe)
        self._sweep_at = 0.0

    @property
    def routes(self) -> RouteTable:
        """Return the configuration in force."""
        return self.state.routes

    @property
    def targets(self) -> dict[str, Target]:
        """Return the targets that agents told of, by address."""
        return self.state.targets

    @property
    def flows(self) -> dict[bytes, Flow]:
        """Return the flows that are known here, by key."""
        return self.state.flows

    # What the node learns.

    def take_routes(self, routes: RouteTable) -> bool:
        """Put a newer configuration in force; return whether it is newer."""
        if routes.version <= self.state.routes.version:
            return False
        self.state.routes = routes
        return True

    def expect(self, address: str, now: float) -> None:
        """Take the word that an agent is there, which has yet to speak."""
        self.state.known.expect(address, now)

    def finish_list(self, named: frozenset[str]) -> None:
        """Take the list of all agents; others are not waited for any more."""
        self.state.known.finish_list(named)

    def is_learning(self, now: float) -> bool:
        """Tell whether this balancer may not know all targets yet."""
        return self.state.known.is_learning(now)

    def learn(self, address: str, status: Status, now: float) -> bool:
        """Take an agent's word; return whether it is new, has restarted or changed."""
        target = self.targets.get(address)
        has_ended = target is not None and target.has_ended_by(status)
        was_deaf = target is not None and target.is_deaf
        changed = self.state.known.learn(address, status, now)
        self.silence.suspicions.end(address)
        if was_deaf and not has_ended:
            self.ended.trust_flows(address)
        if changed and has_ended:
            self.ended.doubt_flows(address, status, now)
        if changed:
            # It may be back from a restart: what is looked for need not wait until
            # silent agents are asked again.
            self.searches.add(address, status.service)
            self.ended.settle_former(address, now)
        return changed

    def take_pong(self, address: str, number: int, now: float) -> None:
        """Take an agent's answer to a ping."""
        self.silence.take_pong(address, number, now)

    def take_former(self, entries: list[FlowEntry], now: float) -> None:
        """Take flows of the former run from control."""
        self.ended.take_former(entries, now)

    def sweep(self, now: float) -> list[Action]:
        """Go on with what waits and forget what is over; call some times a second."""
        actions = self.open_again(now)
        for target in self.silence.find_silent(now):
            self.ended.leave_silent(target, now)
        actions += self.silence.ping(now)
        actions += self.ended.sweep(now)
        actions += self.searches.go_on_all(now)
        if now >= self._sweep_at:
            self._sweep_at = now + 1.0
            self._forget(now)
        return actions

    def is_busy(self) -> bool:
        """Tell whether something waits that a sweep would go on with."""
        waiting = self.searches, self.state.openings, self.silence.suspicions
        return any(waiting) or self.ended.is_busy()

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
            return self._opener.open(segment, flow, now)
        # The flow is open: a copy of its opening packet that still waits here, or comes
        # late, would be placed at a second target.
        self.state.openings.drop(segment.key)
        if flow is not None:
            return self._go_along(segment, flow, now)
        return self._search(segment, frozenset(), now)

    def take_returned(
        self, address: str, message: Returned, segment: Segment, now: float
    ) -> list[Action]:
        """Take a packet that an agent could not hand over."""
        self.state.counters.returned += 1
        flow = self.flows.get(segment.key)
        self.state.tell_event(
            "packet_returned",
            flow=segment.key.hex(),
            peer=address,
            reason=Reason(message.reason).name,
            opens=segment.opens,
        )
        if segment.opens:
            self._correct(address, message, now)
            return self._opener.offer_again(address, message.reason, segment, flow, now)
        is_searched = self.searches.is_open(segment.key)
        if flow is not None and flow.address == address and not is_searched:
            return self._leave(segment, flow, Trigger.RETURNED, now)
        if is_searched:
            return self.searches.answer(address, segment.key, Answer.NOT_HELD, now)
        cause = Cause(Trigger.RETURNED, address)
        return self._search(segment, frozenset((address,)), now, cause)

    def _correct(self, address: str, message: Returned, now: float) -> None:
        """Take what an agent that refused a flow told of its target's load."""
        target = self.targets.get(address)
        if target is None:
            return
        if message.reason == Reason.FULL:
            target.correct(message.load, now)
        elif message.reason == Reason.COLD:
            target.rests_until = now + message.wait_ms / 1000

    def open_again(self, now: float) -> list[Action]:
        """Offer the opening packets that wait; call when a load has changed."""
        return self._opener.open_again(now)

    def take_gathered(self, message: Gathered, now: float) -> list[Action]:
        """Take what agents answered about a flow."""
        return self.searches.take_gathered(message, now)

    # How a flow goes on.

    def _go_along(self, segment: Segment, flow: Flow, now: float) -> list[Action]:
        flow.seen_at = now
        flow.opening = False
        self.state.follow(segment, flow)
        target = self.targets.get(flow.address)
        if target is None:
            return self._leave(segment, flow, Trigger.LOST, now)
        if segment.data and flow.note_data(segment.sequence, now):
            self.silence.doubt(target, now)
        if self._has_lost(target, segment.key, now):
            return self._leave(segment, flow, Trigger.LOST, now)
        return [deliver(flow.address, flow.service, segment)]

    def _has_lost(self, target: Target, key: bytes, now: float) -> bool:
        """Tell whether a flow's caller is better off without the target.

        A caller that may not ask again loses its request with the flow, so more is
        asked for: an agent that is started again is back before its caller gives up.
        """
        if self.state.may_repeat(key):
            return target.is_unreachable(now)
        return target.is_lost(now)

    def _leave(
        self, segment: Segment, flow: Flow, trigger: Trigger, now: float
    ) -> list[Action]:
        """Go on with a flow that its target does not hold, or is lost with.

        Somebody else may hold it: a caller whose opening packet went to two targets
        took the other one. That packets did not come back is no proof, their return may
        have been lost; a reset without asking broke such a flow.
        """
        del self.flows[segment.key]
        cause = Cause(trigger, flow.address)
        return self._search(segment, frozenset((flow.address,)), now, cause)

    def _search(
        self,
        segment: Segment,
        excluded: frozenset[str],
        now: float,
        cause: Cause = UNKNOWN_FLOW,
    ) -> list[Action]:
        """Ask who holds a flow that this balancer does not know."""
        may_repeat = self.state.may_repeat(segment.key)
        holders = self.state.list_holders(segment.key, may_repeat)
        return self.searches.begin(
            segment, holders, self.peers, excluded, now, may_repeat, cause
        )

    # What balancers tell each other.

    def tell_known(self, message: Seek, now: float) -> Known | None:
        """Answer another balancer where a flow is, when this one knows."""
        flow = self.flows.get(message.key)
        if flow is None or flow.opening or flow.address not in self.targets:
            return None
        return Known(((message.key, flow.address),))

    def take_known(self, message: Known, now: float) -> list[Action]:
        """Take another node's word of where flows are.

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
                self.state.note_flow(key, target, now)
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

    # What is forgotten.

    def _forget(self, now: float) -> None:
        self.state.known.forget(now)
        self.ended.former.sweep(now)
        idle = [
            key
            for key, flow in self.flows.items()
            if now - flow.seen_at >= FLOW_IDLE_SECONDS
        ]
        for key in idle:
            del self.flows[key]
