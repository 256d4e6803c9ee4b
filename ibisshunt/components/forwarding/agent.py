"""Forward packets between balancers and the target of one agent."""

from collections.abc import Callable, Iterator
from typing import Any

import gevent
from gevent.event import Event

from ...coordination.forwarding.addresses import unpack_addresses
from ...coordination.forwarding.agent import Action, Agent
from ...coordination.forwarding.messages import (
    Deliver,
    FlowAnswer,
    FlowQuery,
    Ping,
    Pong,
    Probe,
    RelayedQuery,
    RelayRequest,
    SendMessage,
    SendToTarget,
    TargetState,
)
from ...coordination.forwarding.search.aggregation import AnswerAggregator
from ...coordination.forwarding.segment import Segment
from ...coordination.forwarding.target_tracking.incarnations import (
    Heartbeat,
    HeartbeatKind,
)
from ...helpers.clock import read_monotonic_clock
from ...helpers.datagrams import DatagramSocket
from ...helpers.decisions import DecisionLog
from ...helpers.logging import warn_event
from ...helpers.samples import LatencyHistogram, Sample
from ...model.domains import DrainedDomains
from ...model.node import NodeSettings
from ...protocol.segments import SegmentCodec
from ..directory.internal_socket import InternalSocket
from .agent_samples import list_agent_samples

# Interval between statuses to balancers.
STATUS_SECONDS = 0.4
# Shortest interval between statuses when the requests in progress have changed by a
# slot or more. The interval grows with the number of balancers, to limit the total
# status traffic on a small machine.
MIN_STATUS_SECONDS = 0.08
STATUS_SECONDS_PER_BALANCER = 0.008
TICK_SECONDS = 0.04
# Interval at which pending aggregations are checked.
AGGREGATION_TICK_SECONDS = 0.01
# How long a stop waits for the requests in progress.
STOP_TIMEOUT_SECONDS = 2.0


# Events that change an agent's view of its target, or contradict it; they have a log
# budget of their own.
RARE_EVENTS = frozenset(
    (
        "target_state",
        "target_replaced",
        "target_contested",
        "target_kept",
        "target_left",
        "target_silent",
        "target_dead",
        "own_domain_state",
        "open_flow_denied",
        "reset_kept_back",
    )
)


class AgentTask:
    """Run one agent: its sockets, timers and forwarding decisions."""

    def __init__(
        self,
        settings: NodeSettings,
        codec: SegmentCodec,
        internal_socket: InternalSocket,
        list_balancers: Callable[[], list[str]],
    ) -> None:
        if settings.outbound_address is None or settings.target is None:
            raise ValueError(
                "agent settings lack 'outbound' or 'target', expected both"
            )
        if settings.packets is None:
            raise ValueError("agent settings lack 'packets', expected an address")
        now = read_monotonic_clock()
        self.log = DecisionLog(rare_events=RARE_EVENTS)
        self.service_histogram = LatencyHistogram("ibisshunt_answer_seconds")
        self.agent = Agent(
            settings.service,
            int(now * 1000),
            settings.heartbeat_seconds,
            now,
            self.log.log_event,
            settings.max_flow_seconds,
            self.service_histogram.observe,
            settings.failure_domain,
            settings.warmup_overage,
            settings.warmup_slack,
        )
        self.unreadable_packets = 0
        # Heartbeats and leave messages that were rejected.
        self.rejected_messages = 0
        self._codec = codec
        self._internal_socket = internal_socket
        self._list_balancers = list_balancers
        self._address = settings.address
        self._caller_port = settings.packets.port
        self._target = settings.target.as_pair()
        self._socket = DatagramSocket(settings.outbound_address)
        self._aggregator = AnswerAggregator()
        self._has_pending_answers = Event()
        self._next_status_at = 0.0
        self._last_status_at = 0.0
        self._last_reported_load = 0
        internal_socket.register_handler(Deliver, self._handle_delivery)
        internal_socket.register_handler(RelayRequest, self._handle_relay_request)
        internal_socket.register_handler(RelayedQuery, self._handle_relayed_query)
        internal_socket.register_handler(FlowAnswer, self._handle_flow_answer)
        internal_socket.register_handler(Ping, self._handle_ping)

    def run(self) -> None:
        """Serve the target until killed."""
        self._socket.serve(self._handle_target_packet)

    def run_status(self) -> None:
        """Send the target's status to balancers until killed."""
        while True:
            now = read_monotonic_clock()
            if self.agent.tick(now):
                self.broadcast_status()
            if now >= self._next_status_at or self._has_load_changed(now):
                self.broadcast_status()
            gevent.sleep(TICK_SECONDS)

    def run_aggregation(self) -> None:
        """Send aggregated answers until killed."""
        while True:
            self._has_pending_answers.wait()
            gevent.sleep(AGGREGATION_TICK_SECONDS)
            for action in self._aggregator.flush_due(read_monotonic_clock()):
                self._execute(action)
            if not self._aggregator:
                self._has_pending_answers.clear()

    def _has_load_changed(self, now: float) -> bool:
        balancers = len(self._list_balancers())
        if (
            now
            < self._last_status_at
            + MIN_STATUS_SECONDS
            + STATUS_SECONDS_PER_BALANCER * balancers
        ):
            return False
        change = abs(self.agent.count_load(now) - self._last_reported_load)
        return change >= self.agent.request_tracker.slots

    def broadcast_status(self) -> None:
        """Send the current status to all balancers."""
        now = read_monotonic_clock()
        self._next_status_at = now + STATUS_SECONDS
        self._last_status_at = now
        self._last_reported_load = self.agent.count_load(now)
        status = self.agent.make_status(now)
        self._internal_socket.send_all(self._list_balancers(), status)

    def send_initial_status(self, peer: str) -> None:
        """Send a new balancer the status and the earliest flows.

        Those are the flows that began before the first heartbeat.
        """
        for message in self.agent.make_introduction(
            self._address, read_monotonic_clock()
        ):
            self._internal_socket.send(peer, message)

    def handle_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatKind:
        """Handle a heartbeat of the target; notify balancers of a change at once."""
        previous_state = self.agent.state
        kind = self.agent.handle_heartbeat(heartbeat, read_monotonic_clock())
        if kind == HeartbeatKind.NEW_INCARNATION or self.agent.state != previous_state:
            self.broadcast_status()
        return kind

    def handle_leave(self, name: str, start_time_ms: int | None) -> None:
        """Handle the target's leave message."""
        if self.agent.handle_leave(name, start_time_ms):
            self.broadcast_status()

    def record_rejected_message(self, name: str, reason: str) -> None:
        """Count and log a message that was damaged, or not from the local target."""
        self.rejected_messages += 1
        self.log.log_event("word_refused", target=name, reason=reason)

    def update_drained_domains(self, drained: DrainedDomains) -> None:
        """Update the drained domains; notify balancers of a change at once."""
        if self.agent.update_drained_domains(drained):
            self.broadcast_status()

    def is_target_gone(self) -> bool:
        """Return whether the target is gone: it has left, or was silent for long."""
        return self.agent.state == TargetState.GONE

    def stop(self) -> None:
        """Stop accepting flows; wait for the requests in progress, 2 s at most."""
        self.agent.pause(read_monotonic_clock())
        self.broadcast_status()
        deadline = read_monotonic_clock() + STOP_TIMEOUT_SECONDS
        while (
            read_monotonic_clock() < deadline
            and self.agent.request_tracker.active_count
        ):
            gevent.sleep(TICK_SECONDS)
        self.broadcast_status()

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def list_samples(self) -> Iterator[Sample]:
        """Yield the samples of the metrics page."""
        return list_agent_samples(
            self.agent, self.log, self.service_histogram, self.rejected_messages
        )

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        agent = self.agent
        return {
            "service": agent.service,
            "state": agent.state.name,
            "domain": agent.failure_domain,
            "domain_drained": agent.target.is_drained,
            "flows": len(agent.flows),
            "active": agent.request_tracker.active_count,
            "finished": agent.request_tracker.answered_count,
            "mean_seconds": agent.request_tracker.mean_service_seconds,
        }

    def _handle_delivery(self, peer: str, message: Deliver) -> None:
        segment = self._parse_packet(message.packet)
        if segment is None:
            return
        action = self.agent.handle_packet(
            peer, message, segment, read_monotonic_clock()
        )
        if action is not None:
            self._execute(action)

    def _parse_packet(self, packet: bytes) -> Segment | None:
        """Return a caller's packet, or count it if it cannot be parsed."""
        segment = self._codec.parse_caller_packet(packet)
        if segment is None:
            self.unreadable_packets += 1
        return segment

    def _handle_relay_request(self, peer: str, message: RelayRequest) -> None:
        key = self._get_flow_key(message.query)
        if key is None:
            return
        agents = unpack_addresses(message.agents)
        self._aggregator.start(
            peer, message.round_id, key, agents, read_monotonic_clock()
        )
        self._has_pending_answers.set()
        self._internal_socket.send_all(agents, RelayedQuery(message.query))

    def _get_flow_key(self, query: FlowQuery | Probe) -> bytes | None:
        if isinstance(query, FlowQuery):
            return query.key
        segment = self._parse_packet(query.packet)
        return segment.key if segment else None

    def _handle_relayed_query(self, peer: str, message: RelayedQuery) -> None:
        query, now = message.query, read_monotonic_clock()
        if isinstance(query, FlowQuery):
            self._internal_socket.send(peer, self.agent.answer_query(query, now))
            return
        if segment := self._parse_packet(query.packet):
            self._execute(self.agent.handle_probe(peer, query, segment, now))

    def _handle_ping(self, peer: str, message: Ping) -> None:
        self._internal_socket.send(peer, Pong(message.sequence))

    def _handle_flow_answer(self, peer: str, answer: FlowAnswer) -> None:
        for action in self._aggregator.add_answer(peer, answer, read_monotonic_clock()):
            self._execute(action)

    def _handle_target_packet(self, data: bytes, sender: tuple[str, int]) -> None:
        segment = self._codec.parse_target_packet(data)
        if segment is None:
            self.unreadable_packets += 1
            return
        now = read_monotonic_clock()
        for action in self.agent.handle_target_packet(segment, now):
            self._execute(action)
        if balancer := self.agent.pop_waiting_balancer(now):
            self._internal_socket.send(balancer, self.agent.make_status(now))

    def _execute(self, action: Action) -> None:
        if isinstance(action, SendMessage):
            self._internal_socket.send(action.peer, action.message)
            return
        segment = action.segment
        if isinstance(action, SendToTarget):
            balancer = bytes(int(part) for part in action.balancer.split("."))
            packet, destination = (
                self._codec.mark_balancer(segment, balancer),
                self._target,
            )
        else:
            caller = self._codec.get_caller_address(segment)
            packet, destination = segment.packet, (caller, self._caller_port)
        try:
            self._socket.send_to(packet, destination)
        except OSError as error:
            # Both ends retransmit lost packets; missing heartbeats show that a target
            # is gone.
            warn_event("packet_unsent", peer=destination[0], error=error)
