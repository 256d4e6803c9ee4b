"""Choose what an agent does with each packet: deliver, forward, reset or drop."""

from collections.abc import Iterator

from ...protocol.datagram import BY_POINTER, KNOWN_ONLY, Header
from ...protocol.packet import ICMP_ERROR, OPENS_FLOW, TCP
from .actions import DELIVER, Action, Notice
from .load_reports import send_load
from .new_flows import open_flow
from .notices import (
    FlowReplicator,
    advertise_flows,
    handle_notice,
    retry_recall,
    start_recall,
)
from .state import IncomingPacket, OwnerState, drop
from .table import ServiceTable
from .unknown_flows import follow_pointer, forward_or_adopt


class FlowOwner:
    """Track the flows of one target and forward the packets of all other flows.

    ``now`` is monotonic seconds. Notices for other agents collect in an outbox, which
    has to be emptied with ``take_notices`` after each call.
    """

    def __init__(self, max_flows: int, now: float) -> None:
        self.state = OwnerState(max_flows, now)
        self._round_number = 0
        self._replicator = FlowReplicator(self.state)

    def update(self, table: ServiceTable, incarnation: int, now: float) -> None:
        """Apply a service table and the agent's own incarnation."""
        self.state.update(table, incarnation, now)
        if not self.state.recall.has_started and self.state.local_target is not None:
            start_recall(self.state, now)

    def set_leaving(self, leaving: bool) -> None:
        """Set whether to refuse new flows, whatever the table says."""
        self.state.is_leaving = leaving

    def handle(
        self, header: Header, key: bytes, packet_flags: int, now: float
    ) -> Action:
        """Return the action for one packet."""
        state = self.state
        table = state.table
        if table is None or not state.incarnation:
            return drop("not_ready")
        # Service numbers are never reused: a packet for another target that had this
        # address before must not reach the current one.
        if header.service != table.number:
            return drop("wrong_service")
        if header.revision > table.revision:
            state.newer_revision = max(state.newer_revision, header.revision)
        if key in state.flows and not self._is_port_reuse(key, packet_flags):
            return self._deliver(header, key, packet_flags, now)
        return self._handle_unknown(IncomingPacket(header, key, packet_flags, now))

    def _is_port_reuse(self, key: bytes, packet_flags: int) -> bool:
        """Return whether a SYN opens a new flow on the ports of a closing one.

        It applies only while this agent accepts no new flows; otherwise the owner of
        the closing flow accepts the new one as well. The closing flow is removed.
        """
        if not packet_flags & OPENS_FLOW or not packet_flags & TCP:
            return False
        state = self.state
        if not state.flows.is_closing(key) or state.accepts_new_flows():
            return False
        state.flows.remove(key)
        return True

    def _deliver(
        self, header: Header, key: bytes, packet_flags: int, now: float
    ) -> Action:
        state = self.state
        if not packet_flags & ICMP_ERROR:
            state.flows.touch(key, packet_flags, now, state.idle_seconds)
        # The packet was forwarded along the chain: the first agent gets a pointer, so
        # that the next packet takes a single hop.
        if header.visited and not header.flags & BY_POINTER:
            state.send_pointers(
                state.table.by_incarnation.get(header.visited[0]), [key]
            )
        return DELIVER

    def _handle_unknown(self, packet: IncomingPacket) -> Action:
        state, header = self.state, packet.header
        if state.recall.is_running(packet.now) and not packet.is_tcp_syn:
            # The peers' answers may list this flow soon. If the packet were forwarded,
            # another agent that has restarted as well could adopt the flow.
            return drop("recalling")
        action = follow_pointer(state, packet)
        if action is not None:
            return action
        packet = packet.with_header(flags=header.flags & ~BY_POINTER)
        if packet.packet_flags & OPENS_FLOW and not header.flags & KNOWN_ONLY:
            return open_flow(state, packet)
        return forward_or_adopt(state, packet)

    def receive(self, header: Header, payload: bytes, now: float) -> str:
        """Handle another agent's notice; return why it was rejected, or ""."""
        return handle_notice(self.state, header, payload, now)

    def advertise_flows(self, to_backups: bool) -> Iterator[int]:
        """Send pointers to the flows owned here; yield after each batch.

        After a change of table the agents that are now first choice get pointers to the
        flows that stay here. Before a planned stop, with ``to_backups``, two peers get
        pointers to each flow: the next agent of this target recalls it from them.
        """
        yield from advertise_flows(self.state, to_backups)

    def retry_recall(self, now: float) -> None:
        """Repeat the recall to the peers that have not answered."""
        if self.state.recall.is_running(now):
            retry_recall(self.state)

    def send_load(self) -> None:
        """Send this agent's load to some peers; to be called about once a second."""
        self._round_number += 1
        send_load(self.state, self._round_number)

    def replicate_flows(self) -> None:
        """Send due pointers to backup peers; to be called once a second."""
        self._replicator.replicate_due()

    def has_notices(self) -> bool:
        """Return whether there are notices to send."""
        return bool(self.state.outbox)

    def take_notices(self) -> list[Notice]:
        """Remove and return the notices to send."""
        outbox, self.state.outbox = self.state.outbox, []
        return outbox

    def pop_newer_revision(self) -> int:
        """Remove and return a newer revision seen in a peer's message, or return 0."""
        state = self.state
        newer_revision, state.newer_revision = state.newer_revision, 0
        known_revision = state.table.revision if state.table else 0
        return newer_revision if newer_revision > known_revision else 0

    def sweep(self, now: float) -> Iterator[int]:
        """Remove expired entries; yield the number of removed flows after each step."""
        yield from self.state.flows.sweep(now)
        for _ in self.state.pointers.sweep(now):
            yield 0
        self.state.query_deadlines.expire(now)
        self.state.reset_deadlines.expire(now - self.state.idle_seconds)

    def count(self) -> int:
        """Return the number of flows owned here, closing ones included."""
        return len(self.state.flows)

    def dump(self) -> dict[str, int]:
        """Return the sizes of the state for the dump."""
        state = self.state
        return {
            "flows": len(state.flows),
            "closing": state.flows.closing,
            "pointers": len(state.pointers),
            "lost": len(state.reset_deadlines),
            "revision": state.table.revision if state.table else 0,
            "incarnation": state.incarnation,
        }
