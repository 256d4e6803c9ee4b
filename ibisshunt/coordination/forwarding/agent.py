"""Decide what an agent does with packets to and from its target."""

from collections.abc import Callable
from math import ceil

from ...model.domains import DrainedDomains
from .messages import (
    Answer,
    Deliver,
    FlowAnswer,
    FlowLocations,
    FlowQuery,
    Probe,
    RejectedPacket,
    RejectReason,
    SendMessage,
    SendToCaller,
    SendToTarget,
    Status,
    TargetState,
)
from .routes import RouteTable, compute_service_tag
from .segment import Segment
from .target_tracking.denials import DenialReason
from .target_tracking.flow_admission import FlowAdmission, Rejection
from .target_tracking.flow_table import MAX_FLOW_SECONDS, FlowTable
from .target_tracking.incarnations import Heartbeat, HeartbeatKind
from .target_tracking.local_target import LocalTarget
from .target_tracking.pending_probes import PendingProbes
from .target_tracking.request_tracker import UNANSWERED_SECONDS, RequestTracker
from .target_tracking.status_reporter import StatusReporter
from .target_tracking.tracked_flow import TrackedFlow
from .target_tracking.warmup_limiter import compute_quota

EXPIRY_INTERVAL_SECONDS = 1.0

Action = SendMessage | SendToTarget | SendToCaller


class Agent:
    """Deliver or reject the packets of one target, and track its flows.

    ``agent_start_ms`` is the agent's start by its host's clock, in milliseconds; all
    other times are in seconds. ``failure_domain`` is the target's; without one it
    cannot be drained. While the target warms up it gets in a second at most
    ``warmup_overage`` times the flows that its service allows, and ``warmup_slack``
    more.
    """

    def __init__(
        self,
        service: str,
        agent_start_ms: int,
        heartbeat_seconds: float,
        now: float,
        log_event: Callable[..., None] = lambda event, **fields: None,
        max_flow_seconds: float = MAX_FLOW_SECONDS,
        observe_latency: Callable[[float], None] = lambda seconds: None,
        failure_domain: str = "",
        warmup_overage: float = 1.0,
        warmup_slack: float = 0.0,
    ) -> None:
        self.service = service
        self.failure_domain = failure_domain
        self.target = LocalTarget(
            heartbeat_seconds, now, log_event, None if failure_domain else False
        )
        self.flow_table = FlowTable(max_flow_seconds, now)
        self.routes = RouteTable()
        self.request_tracker = RequestTracker(
            log_event, observe_latency, self._find_timeout
        )
        self._reporter = StatusReporter(
            service, agent_start_ms, self.target, self.flow_table, self.request_tracker
        )
        self.rejected_count = 0
        self.delivered_count = 0
        # Whether the first heartbeat received was also the first one of its sender. It
        # may have been a late one, so it counts only once its sender is established.
        self._has_target_started_later = False
        self._is_confirmed = False
        # Heartbeats of incarnations that contradicted the current one.
        self.contested_heartbeats = 0
        self._service_tag = compute_service_tag(service)
        self._log_event = log_event
        self._warmup_overage = warmup_overage
        self._warmup_slack = warmup_slack
        self._probes = PendingProbes()
        self._admission = FlowAdmission(
            self.target, self.request_tracker, self._find_quota, now
        )
        self._expire_at = now

    @property
    def state(self) -> TargetState:
        """Return the state of the target."""
        return self.target.state

    @property
    def flows(self) -> dict[bytes, TrackedFlow]:
        """Return the flows of the target that the agent has seen, by key."""
        return self.flow_table.by_key

    @property
    def current_heartbeat(self) -> Heartbeat | None:
        """Return the last heartbeat of the target's current incarnation."""
        return self.target.current_heartbeat

    # Heartbeats and statuses.

    def handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> HeartbeatKind:
        """Handle a heartbeat; return its kind. Ignore STALE and MISSING_START ones."""
        kind = self.target.classify(heartbeat, now)
        if kind in (HeartbeatKind.STALE, HeartbeatKind.MISSING_START):
            return kind
        if kind == HeartbeatKind.CANDIDATE:
            self._handle_candidate(heartbeat, now)
            return kind
        if kind == HeartbeatKind.NEW_INCARNATION:
            self._replace_incarnation(heartbeat.name, now)
        elif kind == HeartbeatKind.FIRST:
            self._has_target_started_later = heartbeat.sequence <= 1
        self.target.handle_heartbeat(heartbeat, now)
        if self._has_target_started_later and self.target.is_established:
            # The agent has seen all flows of its target.
            self.flow_table.record_complete(now)
            self._has_target_started_later = False
        self.request_tracker.slots = max(1, heartbeat.slots)
        return kind

    def handle_leave(self, name: str, start_time_ms: int | None = None) -> bool:
        """Handle a leave message; return whether the current target has left."""
        is_candidate = self.target.candidates.find(name) is not None
        if not self.target.handle_leave(name, start_time_ms):
            if is_candidate:
                self._log_kept(name, "candidate_left")
            return False
        self._log_event("target_left", target=name, flows=len(self.flows))
        successor = self.target.candidates.find_newest()
        if successor is None:
            if self.state == TargetState.GONE:
                self._drop_flows()
            return True
        # The candidate may have accepted flows before this message arrived.
        heard_at = successor.last_heard_at
        self._replace_incarnation(successor.heartbeat.name, heard_at)
        self.target.handle_heartbeat(successor.heartbeat, heard_at)
        return True

    def pause(self, now: float) -> None:
        """Report from now on that this agent is about to restart, or stops for good."""
        if self.target.pause(now):
            self._log_event("target_dead", service=self.service)
            self._drop_flows()

    def make_status(self, now: float) -> Status:
        """Return the next status for the balancers."""
        return self._reporter.make_status(
            self.count_load(now), self.routes.version, now
        )

    def make_introduction(
        self, address: str, now: float
    ) -> list[Status | FlowLocations]:
        """Return the messages for a new balancer; ``address`` is the agent's."""
        return [
            self.make_status(now),
            *self._reporter.list_opened_before_heartbeat(address),
        ]

    def update_routes(self, routes: RouteTable) -> None:
        """Use a newer configuration; its timeouts bound the wait for answers."""
        if routes.version > self.routes.version:
            self.routes = routes

    def update_drained_domains(self, drained: DrainedDomains) -> bool:
        """Update the drained domains; return whether the target's drain has changed."""
        is_drained = self.failure_domain in drained.domains
        if not self.target.update_drained(is_drained):
            return False
        self._log_event(
            "own_domain_state",
            domain=self.failure_domain,
            state="drained" if is_drained else "open",
            revision=drained.revision,
            flows=len(self.flows),
        )
        return True

    def tick(self, now: float) -> bool:
        """Run periodic work; return whether balancers should get a status at once."""
        self.request_tracker.expire(now)
        if now >= self._expire_at:
            self._expire_at = now + EXPIRY_INTERVAL_SECONDS
            self._probes.expire(now)
            for key in self.flow_table.expire(now):
                self.request_tracker.remove_flow(key)
        for candidate in self.target.remove_silent_candidates(now):
            self._log_kept(candidate.heartbeat.name, "candidate_silent")
        if self.target.detect_departure(now):
            self._log_event("target_dead", service=self.service)
            self._drop_flows()
            return True
        if not self.target.detect_absence(now):
            return self._detect_confirmation(now)
        flows = len(self.flows)
        self._log_event("target_silent", service=self.service, flows=flows)
        return True

    def _detect_confirmation(self, now: float) -> bool:
        """Return whether the current incarnation has just been confirmed."""
        was_confirmed = self._is_confirmed
        self._is_confirmed = self.target.is_confirmed(now)
        return self._is_confirmed and not was_confirmed

    # Packets from callers.

    def handle_packet(
        self, balancer: str, message: Deliver, segment: Segment, now: float
    ) -> Action | None:
        """Handle a caller's packet from a balancer; drop a copy of an accepted SYN."""
        flow = self.flow_table.find(segment.key)
        if flow is not None and flow.is_duplicate_syn(segment):
            return None
        # A caller that gives up during the handshake sends a FIN and then its request:
        # the target drops the request, and no answer would ever end its count.
        is_closed = flow is not None and flow.is_closed_by_caller
        action = self._deliver(balancer, message, segment, now)
        if isinstance(action, SendToTarget) and not segment.is_syn and not is_closed:
            self.request_tracker.record_caller_segment(segment, now)
        return action

    def _deliver(
        self, balancer: str, message: Deliver, segment: Segment, now: float
    ) -> SendMessage | SendToTarget:
        if message.service_tag != self._service_tag:
            return self._reject(
                balancer, Rejection(RejectReason.OTHER_SERVICE), segment
            )
        if segment.is_syn and not segment.is_ack:
            return self._deliver_syn(balancer, segment, message.max_requests, now)
        if not self.flow_table.may_hold(segment, self.state, now):
            self._log_denial(segment.key, segment.acknowledgement, balancer)
            return self._reject(balancer, Rejection(RejectReason.NOT_HELD), segment)
        if segment.data:
            self._admission.end_handshake(segment.key)
        return self._send_to_target(balancer, segment, now)

    def _deliver_syn(
        self, balancer: str, segment: Segment, max_requests: int, now: float
    ) -> SendMessage | SendToTarget:
        if rejection := self._admission.find_rejection(
            balancer, segment.key, max_requests, now
        ):
            return self._reject(balancer, rejection, segment)
        self._admission.start_handshake(segment.key, now)
        self.flow_table.find_or_add(segment.key, now).record_syn(segment.sequence, now)
        return self._send_to_target(balancer, segment, now)

    def _send_to_target(
        self, balancer: str, segment: Segment, now: float
    ) -> SendToTarget:
        self.flow_table.find_or_add(segment.key, now).record_caller_segment(
            balancer, segment, now
        )
        self.delivered_count += 1
        return SendToTarget(balancer, segment)

    def _reject(
        self, balancer: str, rejection: Rejection, segment: Segment
    ) -> SendMessage:
        self.rejected_count += 1
        self._log_event(
            "packet_sent_back",
            flow=segment.key.hex(),
            peer=balancer,
            reason=rejection.reason.name,
            state=self.state.name,
            opens=segment.is_syn,
        )
        retry_after_ms = ceil(1000 * rejection.retry_after)
        message = RejectedPacket(
            rejection.reason, segment.packet, rejection.active_requests, retry_after_ms
        )
        return SendMessage(balancer, message)

    # Packets from the target.

    def handle_target_packet(self, segment: Segment, now: float) -> list[Action]:
        """Handle a packet that the target sent."""
        if segment.is_bounced:
            return [self._handle_bounced(segment)]
        flow = self.flow_table.find_or_add(segment.key, now)
        self.request_tracker.record_target_segment(segment, now)
        if segment.is_rst and not flow.is_confirmed:
            return self._handle_unconfirmed_reset(segment, flow)
        flow.record_target_segment(segment, now)
        if not self._probes.is_pending(segment.key):
            return [SendToCaller(segment)]
        answer = self._probes.resolve(segment.key, flow.is_confirmed)
        # A target also acknowledges the FIN of an earlier flow of the same caller and
        # port. Such a packet does not show that it holds the flow, and is of no use to
        # the caller.
        return [SendToCaller(segment), answer] if flow.is_confirmed else [answer]

    def _handle_bounced(self, segment: Segment) -> Action:
        """Handle a caller's packet that the target bounced: no such flow, or full."""
        flow = self.flow_table.find(segment.key)
        self._admission.end_handshake(segment.key)
        if flow is not None and (not flow.has_target_sent or not segment.is_syn):
            self.flow_table.drop(segment.key, DenialReason.BOUNCED)
            self.request_tracker.remove_flow(segment.key)
        if self._probes.is_pending(segment.key):
            return self._probes.resolve(segment.key, is_held=False)
        balancer = ".".join(str(part) for part in segment.balancer)
        return self._reject(balancer, Rejection(RejectReason.BOUNCED), segment)

    def _handle_unconfirmed_reset(
        self, segment: Segment, flow: TrackedFlow
    ) -> list[Action]:
        """Handle a target's reset of a flow that may be open at another target.

        A target resets packets of flows that it held before. One that a search probed,
        or that got a packet because of outdated information, may never have held the
        caller's current flow: the reset, passed on, would break that flow at the target
        that holds it. So the caller's packet is rejected instead, and the balancer
        queries all other agents before it resets the flow.
        """
        self.flow_table.drop(segment.key, DenialReason.RESET)
        self._admission.end_handshake(segment.key)
        self._log_event("reset_kept_back", flow=segment.key.hex())
        if self._probes.is_pending(segment.key):
            return [self._probes.resolve(segment.key, is_held=False)]
        if flow.unconfirmed is None:
            return []
        reason = (
            RejectReason.BOUNCED if flow.unconfirmed.is_syn else RejectReason.NOT_HELD
        )
        return [self._reject(flow.balancer, Rejection(reason), flow.unconfirmed)]

    # Queries and probes of searches.

    def answer_query(self, query: FlowQuery, now: float) -> FlowAnswer:
        """Answer whether the target holds a flow."""
        answer = self.flow_table.answer(query, self.target, now)
        if answer == Answer.NOT_HELD:
            self._log_denial(query.key, query.acknowledgement, "-")
        return FlowAnswer(query.key, answer)

    def handle_probe(
        self, requester: str, probe: Probe, segment: Segment, now: float
    ) -> Action:
        """Handle a packet that shows whether the target holds its flow.

        ``requester`` is the agent that relayed the probe. The packet does not count as
        a request: after a power loss each of a hundred flows is probed at every target,
        and all targets would look full.
        """
        query = FlowQuery(segment.key, segment.acknowledgement)
        answer = self.flow_table.answer(query, self.target, now)
        if answer in (Answer.HELD, Answer.NOT_HELD):
            return SendMessage(requester, FlowAnswer(segment.key, answer))
        message = Deliver(probe.service_tag, probe.packet)
        action = self._deliver(requester, message, segment, now)
        if isinstance(action, SendMessage):
            return SendMessage(requester, FlowAnswer(segment.key, Answer.NOT_HELD))
        self._probes.start(segment.key, requester, now)
        return action

    # Load of the target.

    def count_load(self, now: float) -> int:
        """Return the requests at the target plus the handshakes in progress."""
        return self._admission.count_load(now)

    def pop_waiting_balancer(self, now: float) -> str | None:
        """Return the balancer to notify of a free slot, None when none waits."""
        return self._admission.pop_waiting_balancer(now)

    def _find_quota(self) -> int | None:
        """Return how many new flows a second the target may get while it warms up."""
        rate = self.routes.warmup_rates.get(self.service, 0.0)
        return compute_quota(rate, self._warmup_overage, self._warmup_slack)

    def _find_timeout(self, key: bytes) -> float:
        """Return for how many seconds the caller of a flow waits for an answer."""
        route = self.routes.find(key[6:])
        return UNANSWERED_SECONDS if route is None else route.timeout_ms / 1000

    def _log_denial(self, key: bytes, acknowledgement: int, peer: str) -> None:
        """Log why the agent denies a flow that it has seen open."""
        fields = self.flow_table.describe_denial(key, acknowledgement)
        if fields is not None:
            self._log_event("open_flow_denied", peer=peer, **fields)

    # Replacement and loss of the target.

    def _handle_candidate(self, heartbeat: Heartbeat, now: float) -> None:
        """Keep the flows while it is unknown which incarnation is alive."""
        self.contested_heartbeats += 1
        if self.target.incarnations.was_replaced(heartbeat.name):
            # It may not have ended when it was replaced, and hold flows that this agent
            # has dropped.
            self._has_target_started_later = False
            self.flow_table.expect_unknown_flows(now)
        current, is_silent = self.current_heartbeat, self.target.is_current_silent(now)
        if not self.target.handle_candidate(heartbeat, now):
            return
        self._log_event(
            "target_contested",
            target=current.name,
            candidate=heartbeat.name,
            believed=heartbeat.name if is_silent else current.name,
            reason="current_silent" if is_silent else "current_heard",
            silent_ms=int(1000 * (now - self.target.last_heartbeat_at)),
            number=heartbeat.sequence,
            flows=len(self.flows),
        )

    def _log_kept(self, candidate: str, reason: str) -> None:
        self._log_event(
            "target_kept",
            target=self.current_heartbeat.name,
            candidate=candidate,
            reason=reason,
            flows=len(self.flows),
        )

    def _replace_incarnation(self, successor: str, now: float) -> None:
        previous, flows = self.current_heartbeat, len(self.flows)
        uncertain = self._drop_previous_flows(now)
        if self.target.incarnations.was_replaced(successor):
            self.flow_table.expect_unknown_flows(now)
        self._log_event(
            "target_replaced",
            target=previous.name,
            successor=successor,
            flows=flows,
            unsure=uncertain,
        )
        self.request_tracker.reset_statistics()

    def _drop_previous_flows(self, now: float) -> int:
        """Drop the flows of the replaced incarnation; return how many others stay."""
        if not self.target.is_established:
            # Its heartbeats may all have been late: the flows may belong to the
            # successor, which this agent had not heard before.
            self._has_target_started_later = False
            return self.flow_table.keep_uncertain()
        self._admission.clear()
        self.request_tracker.clear()
        return self.flow_table.drop_previous_incarnation(
            self.target.compute_certain_until(), now
        )

    def _drop_flows(self) -> None:
        self.flow_table.drop_all(DenialReason.LEFT)
        self._admission.clear()
        self.request_tracker.clear()
