"""Forward callers' packets from the sockets of one balancer."""

import random
from collections.abc import Callable, Iterator
from typing import Any

import gevent

from ...coordination.directory.messages import Subscribe
from ...coordination.forwarding.balancer import Action, Balancer
from ...coordination.forwarding.messages import (
    AggregatedAnswers,
    FlowLocations,
    LocationQuery,
    Pong,
    RejectedPacket,
    ResetFlow,
    SendMessage,
    Status,
)
from ...coordination.forwarding.routes import RouteTable
from ...helpers.clock import read_monotonic_clock
from ...helpers.datagrams import DatagramSocket
from ...helpers.decisions import DecisionLog
from ...helpers.samples import LatencyHistogram, Sample
from ...model.domains import DrainedDomains
from ...model.node import NodeSettings
from ...protocol.segments import SegmentCodec
from ..directory.internal_socket import InternalSocket
from .balancer_samples import list_balancer_samples

# Interval at which searches advance and old flows expire.
TICK_SECONDS = 0.02
IDLE_TICK_SECONDS = 0.1
# A stopping balancer forwards until no packet has arrived for this long: in this time a
# few packets of each open flow would arrive.
QUIET_PERIOD_SECONDS = 0.4
# Shortest and longest time for which it forwards. Routers remove a host after two
# failed probes, but use all hosts of a domain when too few are in rotation.
MIN_DRAIN_SECONDS = 1.3
MAX_DRAIN_SECONDS = 5.0


# Events that change a balancer's view of its targets; they have a log budget of their
# own.
RARE_EVENTS = frozenset(
    ("target_learned", "target_doubted", "target_deaf", "target_forgotten")
)


class BalancerTask:
    """Run one balancer: its packet socket, timers and forwarding decisions."""

    def __init__(
        self,
        settings: NodeSettings,
        codec: SegmentCodec,
        internal_socket: InternalSocket,
    ) -> None:
        if settings.packets is None:
            raise ValueError("balancer settings lack 'packets', expected an address")
        self.log = DecisionLog(rare_events=RARE_EVENTS)
        self.queue_time_histogram = LatencyHistogram("ibisshunt_held_opening_seconds")
        self.balancer = Balancer(
            random.random,
            self.log.log_event,
            read_monotonic_clock(),
            self.queue_time_histogram.observe,
        )
        self.packet_count = 0
        # Other balancers and agents of the same failure domain; set by the directory,
        # which is created after this task.
        self.list_peers: Callable[[], tuple[str, ...]] = tuple
        self.list_same_domain_agents: Callable[[], frozenset[str]] = frozenset
        self.get_drained_domains: Callable[[], DrainedDomains | None] = lambda: None
        self.unreadable_packets = 0
        self._last_packet_at = read_monotonic_clock()
        self._codec = codec
        self._internal_socket = internal_socket
        self._port = settings.packets.port
        self._socket = DatagramSocket(settings.packets)
        internal_socket.register_handler(Status, self._handle_status)
        internal_socket.register_handler(RejectedPacket, self._handle_rejected_packet)
        internal_socket.register_handler(
            AggregatedAnswers, self._handle_aggregated_answers
        )
        internal_socket.register_handler(LocationQuery, self._handle_location_query)
        internal_socket.register_handler(FlowLocations, self._handle_flow_locations)
        internal_socket.register_handler(Pong, self._handle_pong)

    def run(self) -> None:
        """Serve callers until killed."""
        self._socket.serve(self._handle_packet)

    def run_tick(self) -> None:
        """Advance searches and timers until killed."""
        while True:
            self.balancer.peers = self.list_peers()
            self.balancer.state.same_domain_agents = self.list_same_domain_agents()
            is_busy = self.balancer.has_pending_work()
            gevent.sleep(TICK_SECONDS if is_busy else IDLE_TICK_SECONDS)
            self._execute(self.balancer.tick(read_monotonic_clock()))

    def update_routes(self, routes: RouteTable) -> None:
        """Activate a configuration."""
        self.balancer.update_routes(routes)
        self._execute(self.balancer.tick(read_monotonic_clock()))

    def add_agent(self, peer: str) -> None:
        """Ask a new agent for its status."""
        self.balancer.expect_agent(peer, read_monotonic_clock())
        self._internal_socket.send(peer, Subscribe(self.get_drained_domains()))

    def apply_agent_list(self, listed: frozenset[str]) -> None:
        """Apply the complete list of agents from control hosts."""
        self.balancer.apply_agent_list(listed)

    def can_place_flows(self) -> bool:
        """Return whether this balancer could place a flow."""
        return self.balancer.can_place_flows(read_monotonic_clock())

    def drain_traffic(self) -> None:
        """Forward until routers send no more packets, 5 s at most.

        Routers that have too few nodes send packets to this one although it is not
        ready. If the socket closed then, each caller would lose 1.4 s.
        """
        self.send_flow_locations()
        started_at = read_monotonic_clock()
        while (now := read_monotonic_clock()) < started_at + MAX_DRAIN_SECONDS:
            is_quiet = now >= self._last_packet_at + QUIET_PERIOD_SECONDS
            if is_quiet and now >= started_at + MIN_DRAIN_SECONDS:
                return
            gevent.sleep(QUIET_PERIOD_SECONDS / 4)

    def send_flow_locations(self) -> None:
        """Send the locations of all flows to the balancers that take over.

        Each would otherwise have to query every agent for every flow, at the moment
        when the load of this balancer moves to them.
        """
        for message in self.balancer.export_flow_locations():
            for peer in self.balancer.peers:
                self._internal_socket.send(peer, message)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def list_samples(self) -> Iterator[Sample]:
        """Yield the samples of the metrics page."""
        return list_balancer_samples(self.balancer, self.log, self.queue_time_histogram)

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        balancer = self.balancer
        return {
            "version": balancer.routes.version,
            "flows": len(balancer.flows),
            "searches": len(balancer.searches),
            "counters": balancer.state.counters,
            "targets": {
                address: target.status for address, target in balancer.targets.items()
            },
        }

    def _handle_packet(self, data: bytes, sender: tuple[str, int]) -> None:
        segment = self._codec.parse_caller_packet(data)
        if segment is None:
            self.unreadable_packets += 1
            return
        self.packet_count += 1
        now = self._last_packet_at = read_monotonic_clock()
        self._execute(self.balancer.handle_packet(segment, now))

    def _handle_status(self, peer: str, status: Status) -> None:
        now = read_monotonic_clock()
        self.balancer.handle_status(peer, status, now)
        # If the target has more requests than slots, no SYN can be sent; the next tick
        # retries the queued ones.
        if self.balancer.state.pending_syns and status.active_requests <= status.slots:
            self._execute(self.balancer.retry_pending(now))

    def _handle_rejected_packet(self, peer: str, message: RejectedPacket) -> None:
        segment = self._codec.parse_caller_packet(message.packet)
        if segment is None:
            self.unreadable_packets += 1
            return
        now = read_monotonic_clock()
        self._execute(self.balancer.handle_rejected_packet(peer, message, segment, now))

    def _handle_aggregated_answers(self, peer: str, message: AggregatedAnswers) -> None:
        self._execute(
            self.balancer.handle_aggregated_answers(message, read_monotonic_clock())
        )

    def _handle_location_query(self, peer: str, message: LocationQuery) -> None:
        locations = self.balancer.answer_location_query(message, read_monotonic_clock())
        if locations is not None:
            self._internal_socket.send(peer, locations)

    def _handle_pong(self, peer: str, message: Pong) -> None:
        self.balancer.handle_pong(peer, message.sequence, read_monotonic_clock())

    def _handle_flow_locations(self, peer: str, message: FlowLocations) -> None:
        self._execute(
            self.balancer.handle_flow_locations(message, read_monotonic_clock())
        )

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                self._internal_socket.send(action.peer, action.message)
            else:
                self._send_reset(action)

    def _send_reset(self, action: ResetFlow) -> None:
        packet = self._codec.make_reset(action.segment)
        caller = self._codec.get_caller_address(action.segment)
        try:
            self._socket.send_to(packet, (caller, self._port))
        except OSError as error:
            # The caller retransmits its packet and gets the reset then.
            self.log.log_event("reset_unsent", peer=caller, error=error)
