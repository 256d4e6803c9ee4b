"""Decide what an agent does with packets to and from its target."""

from collections.abc import Callable
from math import ceil

from ...model.domains import DrainedDomains
from .holding.cold_limit import compute_quota
from .holding.denials import Denial
from .holding.held import HeldFlow
from .holding.held_flows import MAX_FLOW_SECONDS, HeldFlows
from .holding.incarnations import Announcement, Word
from .holding.intake import Intake, Refusal
from .holding.own_target import OwnTarget
from .holding.probed import ProbedFlows
from .holding.reporter import Reporter
from .holding.requests import UNANSWERED_SECONDS, RequestLog
from .messages import (
    Answer,
    Ask,
    Deliver,
    Known,
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
from .routes import RouteTable, make_tag
from .segment import Segment

FORGET_EACH_SECONDS = 1.0

Action = Send | ToTarget | ToCaller


class Agent:
    """Own what one agent knows of its target and the target's flows.

    ``domain`` is the target's failure domain; without one it cannot be drained. A cold
    target gets at most ``cold_overage`` times what its service allows in a second, and
    ``cold_slack`` new flows more.
    """

    def __init__(
        self,
        service: str,
        start: int,
        heartbeat_seconds: float,
        now: float,
        tell: Callable[..., None] = lambda event, **fields: None,
        max_flow_seconds: float = MAX_FLOW_SECONDS,
        observe: Callable[[float], None] = lambda seconds: None,
        domain: str = "",
        cold_overage: float = 1.0,
        cold_slack: float = 0.0,
    ) -> None:
        self.service = service
        self.domain = domain
        self.target = OwnTarget(heartbeat_seconds, now, tell, None if domain else False)
        self.held = HeldFlows(max_flow_seconds, now)
        self.routes = RouteTable()
        self.requests = RequestLog(tell, observe, self._find_timeout)
        self._reporter = Reporter(service, start, self.target, self.held, self.requests)
        self.returned = 0
        self.delivered = 0
        self._tag = make_tag(service)
        self._tell_event = tell
        self._cold_overage = cold_overage
        self._cold_slack = cold_slack
        self._probed = ProbedFlows()
        self._intake = Intake(self.target, self.requests, self._find_quota, now)
        self._forget_at = now

    @property
    def state(self) -> TargetState:
        """Return the state of the target."""
        return self.target.state

    @property
    def flows(self) -> dict[bytes, HeldFlow]:
        """Return the flows of the target that were seen, by key."""
        return self.held.by_key

    @property
    def present(self) -> Announcement | None:
        """Return the last heartbeat of the present incarnation of the target."""
        return self.target.present

    # What the target says of itself.

    def announce(self, found: Announcement, now: float) -> Word:
        """Take a heartbeat; return what it is: LATE and UNCLEAR change nothing."""
        word = self.target.classify(found)
        if word in (Word.LATE, Word.UNCLEAR):
            return word
        if word == Word.SUCCESSOR:
            self._replace(now)
        elif word == Word.FIRST and found.number <= 1:
            # The target started after this agent: it has seen each of its flows.
            self.held.knows_all_at = now
        self.target.take(found, now)
        self.requests.slots = max(1, found.slots)
        return word

    def leave(self, name: str, born: int | None = None) -> bool:
        """Take a target's last word; return whether it is the present one's."""
        if not self.target.end(name, born):
            return False
        self._tell_event("target_left", target=name, flows=len(self.flows))
        self._drop_flows()
        return True

    def pause(self, now: float) -> None:
        """Tell from now on that this agent is about to restart, or goes for good."""
        if self.target.pause(now):
            self._tell_event("target_dead", service=self.service)
            self._drop_flows()

    def report(self, now: float) -> Status:
        """Return the next status for the balancers."""
        return self._reporter.report(self.count_load(now), self.routes.version, now)

    def introduce(self, address: str, now: float) -> list[Status | Known]:
        """Return what a balancer has to hear that meets this agent, at ``address``."""
        return [self.report(now), *self._reporter.list_early(address)]

    def take_routes(self, routes: RouteTable) -> None:
        """Take a newer configuration; it tells how long callers wait for answers."""
        if routes.version > self.routes.version:
            self.routes = routes

    def take_drained(self, drained: DrainedDomains) -> bool:
        """Take the drained domains; return whether the target's own one has changed."""
        is_drained = self.domain in drained.domains
        if not self.target.note_drained(is_drained):
            return False
        self._tell_event(
            "own_domain_state",
            domain=self.domain,
            state="drained" if is_drained else "open",
            revision=drained.revision,
            flows=len(self.flows),
        )
        return True

    def sweep(self, now: float) -> bool:
        """Forget what is over; return whether the target was lost just now."""
        self.requests.sweep(now)
        if now >= self._forget_at:
            self._forget_at = now + FORGET_EACH_SECONDS
            self._probed.forget_old(now)
            for key in self.held.forget_old(now):
                self.requests.end(key)
        if not self.target.fall_silent(now):
            return False
        flows = len(self.flows)
        self._tell_event("target_silent", service=self.service, flows=flows)
        return True

    # The way in.

    def take(
        self, origin: str, message: Deliver, segment: Segment, now: float
    ) -> Action | None:
        """Take a packet from the balancer at ``origin``; a late copy is left out."""
        flow = self.held.find(segment.key)
        if flow is not None and flow.is_late_copy(segment):
            return None
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
            return self._return(origin, Refusal(Reason.OTHER_SERVICE), segment)
        if segment.opens and not segment.acknowledges:
            return self._take_opening(origin, segment, message.limit, now)
        if not self.held.may_hold(segment, self.state, now):
            self._log_denial(segment.key, segment.acknowledgement, origin)
            return self._return(origin, Refusal(Reason.NOT_HELD), segment)
        if segment.data:
            self._intake.end(segment.key)
        return self._hand_over(origin, segment, now)

    def _take_opening(
        self, origin: str, segment: Segment, limit: int, now: float
    ) -> Send | ToTarget:
        if refusal := self._intake.refuse(origin, segment.key, limit, now):
            return self._return(origin, refusal, segment)
        self._intake.take(segment.key, now)
        self.held.find_or_add(segment.key, now).begin_again(segment.sequence, now)
        return self._hand_over(origin, segment, now)

    def _hand_over(self, origin: str, segment: Segment, now: float) -> ToTarget:
        self.held.find_or_add(segment.key, now).note_inward(origin, segment, now)
        self.delivered += 1
        return ToTarget(origin, segment)

    def _return(self, origin: str, refusal: Refusal, segment: Segment) -> Send:
        self.returned += 1
        self._tell_event(
            "packet_sent_back",
            flow=segment.key.hex(),
            peer=origin,
            reason=refusal.reason.name,
            state=self.state.name,
            opens=segment.opens,
        )
        wait_ms = ceil(1000 * refusal.wait)
        message = Returned(refusal.reason, segment.raw, refusal.load, wait_ms)
        return Send(origin, message)

    # The way out.

    def take_outward(self, segment: Segment, now: float) -> list[Action]:
        """Take a packet that the target sent."""
        if segment.returned:
            return [self._take_bounced(segment)]
        flow = self.held.find_or_add(segment.key, now)
        self.requests.note_outward(segment, now)
        if segment.resets and not flow.is_proved:
            return self._take_unproved_reset(segment, flow)
        flow.note_outward(segment, now)
        if not self._probed.is_open(segment.key):
            return [ToCaller(segment)]
        told = self._probed.settle(segment.key, flow.is_proved)
        # A target also acknowledges the end of a flow that it held before, of the same
        # caller and port: such a packet is neither proof nor of use to the caller.
        return [ToCaller(segment), told] if flow.is_proved else [told]

    def _take_bounced(self, segment: Segment) -> Action:
        """Take back a caller's packet that the target does not hold, or cannot take."""
        flow = self.held.find(segment.key)
        self._intake.end(segment.key)
        if flow is not None and (not flow.is_answered or not segment.opens):
            self.held.drop(segment.key, Denial.BOUNCED)
            self.requests.end(segment.key)
        if self._probed.is_open(segment.key):
            return self._probed.settle(segment.key, is_held=False)
        origin = ".".join(str(part) for part in segment.origin)
        return self._return(origin, Refusal(Reason.BOUNCED), segment)

    def _take_unproved_reset(self, segment: Segment, flow: HeldFlow) -> list[Action]:
        """Take a target's reset of a flow that may be open elsewhere.

        A target resets packets of flows that it held before. One that a search probed,
        or that got a packet by a stale word, may never have held the caller's present
        flow: handed on, the reset breaks that flow at the target that holds it. So it
        counts as a packet sent back, and the caller hears from the balancer that asks
        all others.
        """
        self.held.drop(segment.key, Denial.RESET)
        self._intake.end(segment.key)
        self._tell_event("reset_kept_back", flow=segment.key.hex())
        if self._probed.is_open(segment.key):
            return [self._probed.settle(segment.key, is_held=False)]
        if flow.asked is None:
            return []
        reason = Reason.BOUNCED if flow.asked.opens else Reason.NOT_HELD
        return [self._return(flow.origin, Refusal(reason), flow.asked)]

    # Answers to searches.

    def tell(self, message: Ask, now: float) -> Told:
        """Answer whether the target holds a flow."""
        answer = self.held.answer(message, self.target, now)
        if answer == Answer.NOT_HELD:
            self._log_denial(message.key, message.acknowledgement, "-")
        return Told(message.key, answer)

    def take_probe(
        self, origin: str, message: Probe, segment: Segment, now: float
    ) -> Action:
        """Take a packet that tells whether the target holds its flow.

        It is not counted as a request: after a power loss each of a hundred flows is
        probed at each target, and all would look full.
        """
        question = Ask(segment.key, segment.acknowledgement)
        answer = self.held.answer(question, self.target, now)
        if answer in (Answer.HELD, Answer.NOT_HELD):
            return Send(origin, Told(segment.key, answer))
        deliver = Deliver(message.tag, message.packet)
        action = self._take(origin, deliver, segment, now)
        if isinstance(action, Send):
            return Send(origin, Told(segment.key, Answer.NOT_HELD))
        self._probed.begin(segment.key, origin, now)
        return action

    # How loaded the target is.

    def count_load(self, now: float) -> int:
        """Return the requests at the target and the flows that have just opened."""
        return self._intake.count_load(now)

    def take_waiting(self, now: float) -> str | None:
        """Return the balancer to tell of a free slot, None when no one waits for it."""
        return self._intake.take_waiting(now)

    def _find_quota(self) -> int | None:
        """Return how many new flows a cold target may get in a second, None for any."""
        rate = self.routes.cold_rates.get(self.service, 0.0)
        return compute_quota(rate, self._cold_overage, self._cold_slack)

    def _find_timeout(self, key: bytes) -> float:
        """Return for how many seconds the caller of a flow waits for an answer."""
        route = self.routes.find(key[6:])
        return UNANSWERED_SECONDS if route is None else route.timeout / 1000

    def _log_denial(self, key: bytes, acknowledgement: int, peer: str) -> None:
        """Log why a flow is denied that the target was seen to hold."""
        fields = self.held.describe_denial(key, acknowledgement)
        if fields is not None:
            self._tell_event("open_flow_denied", peer=peer, **fields)

    # What is forgotten.

    def _replace(self, now: float) -> None:
        former, flows = self.present, len(self.flows)
        unsure = self.held.replace(self.target.find_sure_until(), now)
        self._tell_event(
            "target_replaced", target=former.name, flows=flows, unsure=unsure
        )
        self._intake.clear()
        self.requests.clear()
        self.requests.forget_target()

    def _drop_flows(self) -> None:
        self.held.drop_all(Denial.LEFT)
        self._intake.clear()
        self.requests.clear()
