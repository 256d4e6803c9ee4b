"""Decide what an agent does with packets to and from its target."""

from collections.abc import Callable

from .held import HeldFlow
from .incarnations import Announcement, Incarnations, Word
from .messages import (
    Answer,
    Ask,
    Deliver,
    Probe,
    Reason,
    Returned,
    Send,
    Status,
    TargetState,
    ToCaller,
    Told,
    ToTarget,
)
from .requests import UNANSWERED_SECONDS, RequestLog
from .routes import RouteTable, make_tag
from .segment import Segment
from .waiting import WaitingLine

# Flows older than this may be discarded, so an agent that has run for as long has
# seen each flow of its target. Unit: seconds. Source: the platform's bound on the age
# of a flow (60 s), the default.
MAX_FLOW_SECONDS = 60.0
# How long an ended flow is remembered, for late copies of its packets. Unit: seconds.
# Source: the longest interval of a repeat is 1.6 s.
ENDED_SECONDS = 4.0
# How long a flow that has opened counts as a request that is about to come. Unit:
# seconds. Source: the handshake and the request take two round trips to the caller, of
# 2-9 ms each; callers that have given up send none.
OPENING_SECONDS = 0.03
# How long a probe may take to bounce. Unit: seconds. Source: many times what a target
# takes to send a packet back.
PROBED_SECONDS = 1.0
# A target that has not been heard for so many heartbeats is taken for dead. Source:
# two may be late together, three are not.
MISSED_HEARTBEATS = 2.6

Action = Send | ToTarget | ToCaller


class Agent:
    """Own what one agent knows of its target and the target's flows."""

    def __init__(
        self,
        service: str,
        start: int,
        heartbeat_seconds: float,
        now: float,
        tell: Callable[..., None] = lambda event, **fields: None,
        max_flow_seconds: float = MAX_FLOW_SECONDS,
        observe: Callable[[float], None] = lambda seconds: None,
    ) -> None:
        self.service = service
        self.start = start
        self.state = TargetState.ABSENT
        self.flows: dict[bytes, HeldFlow] = {}
        self.routes = RouteTable()
        self.requests = RequestLog(tell, observe, self._find_timeout)
        self.returned = 0
        self.delivered = 0
        self._tag = make_tag(service)
        self._tell_event = tell
        self._number = 0
        self._heartbeat = heartbeat_seconds
        self._incarnations = Incarnations()
        self._announced_at = now
        self._opening: dict[bytes, float] = {}
        self._probed: dict[bytes, tuple[float, str]] = {}
        self._line = WaitingLine()
        self._warm_at = now
        self._paused = False
        self._knows_all_at = now + max_flow_seconds
        self._max_flow = max_flow_seconds
        self._sweep_at = now

    # What the target says of itself.

    def announce(self, found: Announcement, now: float) -> Word:
        """Take a heartbeat; return what it is: LATE and UNCLEAR change nothing."""
        word = self._incarnations.classify(found)
        if word in (Word.LATE, Word.UNCLEAR):
            return word
        if word == Word.SUCCESSOR:
            self._replace(now)
        elif word == Word.FIRST and found.number <= 1:
            # The target started after this agent: it has seen each of its flows.
            self._knows_all_at = now
        self._incarnations.take(found)
        self._announced_at = now
        self.requests.slots = max(1, found.slots)
        self._warm_at = now + found.warm_left / 1000
        self._change_state(found)
        return word

    def _change_state(self, found: Announcement) -> None:
        before = self.state
        self.state = TargetState.DRAINING if found.draining else TargetState.OPEN
        if before != self.state:
            self._tell_event(
                "target_state",
                target=found.name,
                service=found.service,
                before=before.name,
                state=self.state.name,
                number=found.number,
            )

    def leave(self, name: str, born: int | None = None) -> bool:
        """Take a target's last word; return whether it is the present one's."""
        if not self._incarnations.end(name, born):
            return False
        self.state = TargetState.GONE
        self._tell_event("target_left", target=name, flows=len(self.flows))
        self._drop_flows()
        return True

    def pause(self, now: float) -> None:
        """Tell from now on that this agent is about to restart, or goes for good.

        A target that fell silent long ago has taken its flows along, and its host may
        go with it. Without that word every balancer waits 1.7 s for this agent before
        it tells a caller that a flow has ended: while hosts went one by one after an
        outage, callers heard nothing for ten seconds.
        """
        self._paused = True
        if self.state == TargetState.ABSENT and self._is_target_dead(now):
            self.state = TargetState.GONE
            self._tell_event("target_dead", service=self.service)
            self._drop_flows()

    def report(self, now: float) -> Status:
        """Return the next status for the balancers."""
        self._number += 1
        found = self._incarnations.present
        return Status(
            self.start,
            self._number,
            self.service,
            self._find_state(now),
            found.slots if found else 1,
            self.count_load(now),
            len(self.flows),
            int(self.requests.mean_seconds * 1e6),
            max(0, int(1000 * (self._warm_at - now))),
            self.routes.version,
            round(100 * self.requests.estimate_failing(now)),
            self._incarnations.tag,
        )

    @property
    def present(self) -> Announcement | None:
        """Return the last heartbeat of the present incarnation of the target."""
        return self._incarnations.present

    def _find_state(self, now: float) -> TargetState:
        """Return what balancers are told of the target."""
        is_heard = self.state in (TargetState.OPEN, TargetState.DRAINING)
        if self._paused and is_heard:
            return TargetState.PAUSED
        is_absent = self.state == TargetState.ABSENT and not self.flows
        if is_absent and self._is_target_dead(now):
            return TargetState.DEAD
        return self.state

    def take_routes(self, routes: RouteTable) -> None:
        """Take a newer configuration; it tells how long callers wait for answers."""
        if routes.version > self.routes.version:
            self.routes = routes

    def knows_all(self, now: float) -> bool:
        """Tell whether this agent has seen each flow that its target holds."""
        return now >= self._knows_all_at

    def sweep(self, now: float) -> bool:
        """Forget what is over; return whether the target was lost just now."""
        self.requests.sweep(now)
        if now >= self._sweep_at:
            self._sweep_at = now + 1.0
            self._forget(now)
        if self.state not in (TargetState.OPEN, TargetState.DRAINING):
            return False
        if not self._is_target_dead(now):
            return False
        self.state = TargetState.ABSENT
        self._tell_event("target_silent", service=self.service, flows=len(self.flows))
        return True

    # What packets ask for.

    def take(
        self, origin: str, message: Deliver, segment: Segment, now: float
    ) -> Action:
        """Take a packet from the balancer at ``origin``."""
        flow = self.flows.get(segment.key)
        # A caller that gave up while its flow opened ends it, and its request comes
        # behind that: the target drops it, and no answer would end the count.
        has_ended = flow is not None and flow.caller_ended
        action = self._take(origin, message, segment, now)
        if isinstance(action, ToTarget) and not segment.opens and not has_ended:
            self.requests.note_inward(segment, now)
        return action

    def _take(
        self, origin: str, message: Deliver, segment: Segment, now: float
    ) -> Send | ToTarget:
        if message.tag != self._tag:
            return self._return(origin, Reason.OTHER_SERVICE, segment)
        if segment.opens and not segment.acknowledges:
            return self._take_opening(origin, segment, message.limit, now)
        flow = self.flows.get(segment.key)
        if flow is None:
            if self.knows_all(now) or self.state == TargetState.GONE:
                return self._return(origin, Reason.NOT_HELD, segment)
            # This agent is younger than the flow may be: the target answers.
            flow = self.flows[segment.key] = HeldFlow(None, now)
        elif flow.is_foreign(segment):
            return self._return(origin, Reason.NOT_HELD, segment)
        flow.note_inward(origin, segment, now)
        if segment.data:
            self._opening.pop(segment.key, None)
        self.delivered += 1
        return ToTarget(origin, segment)

    def take_outward(self, segment: Segment, now: float) -> list[Action]:
        """Take a packet that the target sent."""
        if segment.returned:
            return [self._take_bounced(segment)]
        flow = self.flows.get(segment.key)
        if flow is None:
            flow = self.flows[segment.key] = HeldFlow(None, now)
        self.requests.note_outward(segment, now)
        if segment.resets and not flow.is_proved:
            return self._take_unproved_reset(segment, flow)
        flow.note_outward(segment, now)
        return self._confirm(segment, flow)

    def take_probe(
        self, origin: str, message: Probe, segment: Segment, now: float
    ) -> Action:
        """Take a packet that tells whether the target holds its flow.

        It is not counted as a request: after a power loss each of a hundred flows was
        probed at each target, and all looked full.
        """
        question = Ask(segment.key, segment.acknowledgement)
        answer = self._find_answer(question, now)
        if answer in (Answer.HELD, Answer.NOT_HELD):
            return Send(origin, Told(segment.key, answer))
        deliver = Deliver(message.tag, message.packet)
        action = self._take(origin, deliver, segment, now)
        if isinstance(action, Send):
            return Send(origin, Told(segment.key, Answer.NOT_HELD))
        self._probed[segment.key] = (now, origin)
        return action

    def _confirm(self, segment: Segment, flow: HeldFlow) -> list[Action]:
        """Hand on what the target sent, and tell who probed it for the flow.

        A target also acknowledges the end of a flow that it held before, of the same
        caller and port: such a packet is neither proof nor of use to the caller.
        """
        probed = self._probed.pop(segment.key, None)
        if probed is None:
            return [ToCaller(segment)]
        if not flow.is_proved:
            return [Send(probed[1], Told(segment.key, Answer.NOT_HELD))]
        told = Told(segment.key, Answer.KEPT)
        return [ToCaller(segment), Send(probed[1], told)]

    def _take_unproved_reset(self, segment: Segment, flow: HeldFlow) -> list[Action]:
        """Take a target's reset of a flow that may be open elsewhere.

        A target resets packets of flows that it held before. One that a search probed,
        or that got a packet by a stale word, may never have held the caller's present
        flow: handed on, the reset breaks that flow at the target that holds it. So it
        counts as a packet sent back, and the caller hears from the balancer that asks
        all others.
        """
        del self.flows[segment.key]
        self._opening.pop(segment.key, None)
        self._tell_event("reset_kept_back", flow=segment.key.hex())
        probed = self._probed.pop(segment.key, None)
        if probed is not None:
            return [Send(probed[1], Told(segment.key, Answer.NOT_HELD))]
        if flow.asked is None:
            return []
        reason = Reason.BOUNCED if flow.asked.opens else Reason.NOT_HELD
        return [self._return(flow.origin, reason, flow.asked)]

    def tell(self, message: Ask, now: float) -> Told:
        """Answer whether the target holds a flow."""
        return Told(message.key, self._find_answer(message, now))

    def _find_answer(self, message: Ask, now: float) -> Answer:
        if self.state == TargetState.GONE:
            return Answer.NOT_HELD
        flow = self.flows.get(message.key)
        if flow is not None and flow.first is not None:
            if not flow.fits(message.acknowledgement):
                return Answer.NOT_HELD
            return Answer.MAYBE if flow.is_unsure else Answer.HELD
        if self.knows_all(now):
            return Answer.NOT_HELD
        if self.state != TargetState.ABSENT:
            return Answer.MAYBE
        return Answer.NOT_HELD if self._is_target_dead(now) else Answer.UNHEARD

    def _is_target_dead(self, now: float) -> bool:
        """Tell whether the target has missed its heartbeats, since the start too."""
        return now - self._announced_at >= MISSED_HEARTBEATS * self._heartbeat

    def count_load(self, now: float) -> int:
        """Return the requests at the target and the flows that have just opened."""
        while self._opening:
            key = next(iter(self._opening))
            if now - self._opening[key] < OPENING_SECONDS:
                break
            del self._opening[key]
        return self.requests.active + len(self._opening)

    def take_waiting(self, now: float) -> str | None:
        """Return the balancer to tell of a free slot, None when no one waits for it."""
        if self.state != TargetState.OPEN or self._paused:
            return None
        room = self.requests.slots - self.count_load(now)
        return self._line.take(room, now)

    def _take_opening(
        self, origin: str, segment: Segment, limit: int, now: float
    ) -> Send | ToTarget:
        if self.state != TargetState.OPEN or self._paused:
            return self._return(origin, Reason.NOT_OPEN, segment)
        # Balancers that all heard of a free slot send their flows together, before
        # the first shows in a status: what exceeds their limit goes back, and one of
        # them finds a better target.
        self._line.note_offer(origin)
        load = self.count_load(now)
        if segment.key not in self._opening and load > limit:
            self._line.join(origin, now)
            return self._return(origin, Reason.FULL, segment, load)
        self._opening[segment.key] = now
        flow = self.flows.get(segment.key)
        if flow is None:
            flow = self.flows[segment.key] = HeldFlow(None, now)
        else:
            flow.begin_again(now)
        flow.note_inward(origin, segment, now)
        self.delivered += 1
        return ToTarget(origin, segment)

    def _take_bounced(self, segment: Segment) -> Action:
        flow = self.flows.get(segment.key)
        self._opening.pop(segment.key, None)
        if flow is not None and (flow.first is None or not segment.opens):
            del self.flows[segment.key]
            self.requests.end(segment.key)
        origin = ".".join(str(part) for part in segment.origin)
        if self._probed.pop(segment.key, None) is not None:
            return Send(origin, Told(segment.key, Answer.NOT_HELD))
        return self._return(origin, Reason.BOUNCED, segment)

    def _return(
        self, origin: str, reason: Reason, segment: Segment, load: int = 0
    ) -> Send:
        self.returned += 1
        self._tell_event(
            "packet_sent_back",
            flow=segment.key.hex(),
            peer=origin,
            reason=reason.name,
            state=self.state.name,
            opens=segment.opens,
        )
        return Send(origin, Returned(reason, segment.raw, load))

    # What is forgotten.

    def _find_timeout(self, key: bytes) -> float:
        """Return for how many seconds the caller of a flow waits for an answer."""
        route = self.routes.find(key[6:])
        return UNANSWERED_SECONDS if route is None else route.timeout / 1000

    def _replace(self, now: float) -> None:
        """Forget the flows of an incarnation whose place another one took.

        Flows that opened after its last heartbeat may be the new one's, which took them
        before its own first heartbeat: forgotten, they would be reset at once, though
        they are open. Its target tells of them.
        """
        former = self._incarnations.present
        unsure = {
            key: flow
            for key, flow in self.flows.items()
            if flow.opened_at > self._announced_at
        }
        self._tell_event(
            "target_replaced",
            target=former.name,
            flows=len(self.flows),
            unsure=len(unsure),
        )
        self._drop_flows()
        self.requests.forget_target()
        for flow in unsure.values():
            flow.is_unsure = True
        self.flows.update(unsure)
        self._knows_all_at = now

    def _drop_flows(self) -> None:
        self.flows.clear()
        self._opening.clear()
        self.requests.clear()

    def _forget(self, now: float) -> None:
        over = [
            key
            for key, flow in self.flows.items()
            if (flow.ended_at and now - flow.ended_at >= ENDED_SECONDS)
            or now - flow.seen_at >= self._max_flow
        ]
        for key, (at, _) in tuple(self._probed.items()):
            if now - at >= PROBED_SECONDS:
                del self._probed[key]
        for key in over:
            del self.flows[key]
            self.requests.end(key)
