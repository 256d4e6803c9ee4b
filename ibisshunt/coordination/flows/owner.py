"""Decide what an agent does with each packet: deliver, forward, reset or drop."""

from collections.abc import Iterator

from ...protocol.datagram import BY_POINTER, KNOWN_ONLY, Header
from ...protocol.packet import ICMP_ERROR, OPENS, TCP
from .actions import DELIVER, Action, Notice
from .handover import Reporter, ask_for_flows, hand_over, receive_notice, start_recall
from .loads import tell_load
from .openings import open_flow
from .state import Arrival, OwnerState, drop
from .strays import find_owner, follow_pointer
from .table import ServiceTable


class FlowOwner:
    """Own the flows of one target and find the owners of all others.

    ``now`` is monotonic seconds. Notices for other agents collect in an outbox that
    the caller empties after each call.
    """

    def __init__(self, max_flows: int, now: float) -> None:
        self.state = OwnerState(max_flows, now)
        self._turn = 0
        self._reporter = Reporter(self.state)

    def update(self, table: ServiceTable, incarnation: int, now: float) -> None:
        """Take a table and the agent's own incarnation into force."""
        self.state.update(table, incarnation, now)
        if not self.state.recall.asked and self.state.own is not None:
            start_recall(self.state, now)

    def set_leaving(self, leaving: bool) -> None:
        """Take no new flows from now on, whatever the table says."""
        self.state.leaving = leaving

    def handle(self, header: Header, key: bytes, bits: int, now: float) -> Action:
        """Decide about one packet."""
        state = self.state
        table = state.table
        if table is None or not state.incarnation:
            return drop("not_ready")
        # The number of a service is never used twice: a packet for a target that had
        # this address before cannot reach the present one.
        if header.service != table.number:
            return drop("wrong_service")
        if header.revision > table.revision:
            state.wanted_revision = max(state.wanted_revision, header.revision)
        if key in state.flows and not self._is_reused(key, bits):
            return self._deliver(header, key, bits, now)
        return self._handle_unknown(Arrival(header, key, bits, now))

    def _is_reused(self, key: bytes, bits: int) -> bool:
        """Tell whether a SYN opens a new flow on the ports of an ended one.

        The owner takes it like any other, unless it may take no new work.
        """
        if not bits & OPENS or not bits & TCP:
            return False
        state = self.state
        if not state.flows.is_closing(key) or state.takes_new_work():
            return False
        state.flows.remove(key)
        return True

    def _deliver(self, header: Header, key: bytes, bits: int, now: float) -> Action:
        state = self.state
        if not bits & ICMP_ERROR:
            state.flows.touch(key, bits, now, state.idle)
        # The packet came along the chain: tell the first agent, so that the next one
        # takes a single hop.
        if header.visited and not header.flags & BY_POINTER:
            state.tell(state.table.by_incarnation.get(header.visited[0]), [key])
        return DELIVER

    def _handle_unknown(self, arrival: Arrival) -> Action:
        state, header = self.state, arrival.header
        if state.recall.is_open(arrival.now) and not arrival.opens_tcp:
            # The peers' answers may name the flow in a moment. Sent along the chain
            # now, it could be adopted by another agent that has restarted as well.
            return drop("recalling")
        action = follow_pointer(state, arrival)
        if action is not None:
            return action
        arrival = arrival.with_header(flags=header.flags & ~BY_POINTER)
        if arrival.bits & OPENS and not header.flags & KNOWN_ONLY:
            return open_flow(state, arrival)
        return find_owner(state, arrival)

    def receive(self, header: Header, payload: bytes, now: float) -> str:
        """Take a notice of another agent; return why not, or an empty string."""
        return receive_notice(self.state, header, payload, now)

    def hand_over(self, everything: bool) -> Iterator[int]:
        """Tell other agents which flows this one owns; yield after each part.

        After a change of table those that are now asked first hear of the flows that
        stay here. Before a planned stop ``everything`` goes to two peers for each
        flow: the next agent of this target recalls it from them.
        """
        yield from hand_over(self.state, everything)

    def recall(self, now: float) -> None:
        """Ask the peers again for the flows of a former agent of this target."""
        if self.state.recall.is_open(now):
            ask_for_flows(self.state)

    def tell_load(self) -> None:
        """Tell some peers this agent's load; call it about once a second."""
        self._turn += 1
        tell_load(self.state, self._turn)

    def tell_flows(self) -> None:
        """Tell peers of flows that they should remember; call it once a second."""
        self._reporter.report()

    def has_notices(self) -> bool:
        """Tell whether notices wait to be sent."""
        return bool(self.state.outbox)

    def take_notices(self) -> list[Notice]:
        """Return the notices to send, and forget them."""
        outbox, self.state.outbox = self.state.outbox, []
        return outbox

    def take_wanted_revision(self) -> int:
        """Return a revision that a peer has and this agent lacks, or 0."""
        state = self.state
        wanted, state.wanted_revision = state.wanted_revision, 0
        have = state.table.revision if state.table else 0
        return wanted if wanted > have else 0

    def sweep(self, now: float) -> Iterator[int]:
        """Forget what has expired; yield how many flows, after each step."""
        yield from self.state.flows.sweep(now)
        for _ in self.state.pointers.sweep(now):
            yield 0
        self.state.sought.drop_before(now)
        self.state.lost.drop_before(now - self.state.idle)

    def count(self) -> int:
        """Count the flows that are owned, closing ones too."""
        return len(self.state.flows)

    def describe(self) -> dict[str, int]:
        """Return the sizes of the state, for the dump."""
        state = self.state
        return {
            "flows": len(state.flows),
            "closing": state.flows.closing,
            "pointers": len(state.pointers),
            "lost": len(state.lost),
            "revision": state.table.revision if state.table else 0,
            "incarnation": state.incarnation,
        }
