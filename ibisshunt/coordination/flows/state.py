"""State of one agent: its flows, pointers, service table and peers."""

from dataclasses import dataclass, replace
from typing import Any, Final

from ...model.target import Target
from ...protocol.datagram import (
    NO_OTHER_OWNER,
    OWNER_QUERY,
    REDIRECTED,
    DatagramKind,
    Header,
    PointerList,
    pack_pointers,
)
from ...protocol.packet import OPENS_FLOW, TCP
from .actions import DELIVER, Action, ActionKind, Notice
from .callers import make_caller_check
from .peer_loads import PeerLoads
from .ranking import BUCKETS, find_bucket, hash_instance
from .recall import InstanceHistory, Recall
from .store import DeadlineStore, FlowStore, Owner, PointerStore
from .table import ServiceTable

MAX_TRACKED_KEYS: Final = 20_000
MAX_OUTBOX_NOTICES: Final = 10_000


@dataclass(frozen=True, slots=True)
class IncomingPacket:
    """A received packet of a flow that the agent does not own.

    ``now`` is the time of arrival in monotonic seconds.
    """

    header: Header
    key: bytes
    packet_flags: int
    now: float

    @property
    def is_tcp_syn(self) -> bool:
        """Return whether the packet is a TCP SYN."""
        return bool(self.packet_flags & OPENS_FLOW and self.packet_flags & TCP)

    def with_header(self, **changes: Any) -> "IncomingPacket":
        """Return the packet with changes to its header."""
        return replace(self, header=replace(self.header, **changes))


class OwnerState:
    """Flows, pointers and service table of one agent."""

    def __init__(self, max_flows: int, now: float) -> None:
        self.flows = FlowStore(max_flows)
        self.pointers = PointerStore(max_flows)
        self.loads = PeerLoads()
        self.query_deadlines = DeadlineStore(MAX_TRACKED_KEYS)
        self.reset_deadlines = DeadlineStore(MAX_TRACKED_KEYS)
        self.outbox: list[Notice] = []
        # Flows accepted since they were last replicated to peers.
        self.unreplicated_keys: list[bytes] = []
        self.is_leaving = False
        self.incarnation = 0
        self.newer_revision = 0
        self.recall = Recall()
        self.instance_history = InstanceHistory()
        self.table: ServiceTable | None = None
        self.idle_seconds = 0.0
        self.is_caller_allowed = make_caller_check(())
        self.instance_id = 0
        self.start_id = int(now * 1e6) & 0xFFFF_FFFF_FFFF_FFFF
        self._started_at = now
        self._moved_at = [now] * BUCKETS
        self._first_incarnations: list[int] = []

    def update(self, table: ServiceTable, incarnation: int, now: float) -> None:
        """Apply a service table and the agent's own incarnation."""
        self.table = table
        self.incarnation = incarnation
        self.idle_seconds = table.slice.service.idle_timeout_ms / 1000
        self.is_caller_allowed = make_caller_check(table.slice.service.callers)
        if self.local_target is not None:
            self.instance_id = hash_instance(self.local_target)
        self.instance_history.add_targets(table.targets)
        self.loads.retain(set(table.by_incarnation))
        incarnations = table.list_first_incarnations()
        previous_incarnations = self._first_incarnations or incarnations
        for bucket, (first, previous) in enumerate(
            zip(incarnations, previous_incarnations, strict=True)
        ):
            if first != previous:
                self._moved_at[bucket] = now
        self._first_incarnations = incarnations

    @property
    def local_target(self) -> Target | None:
        """Return this agent's target from the table, or None."""
        return self.table.by_incarnation.get(self.incarnation)

    def accepts_new_flows(self) -> bool:
        """Return whether this agent may accept new flows."""
        local_target = self.local_target
        return (
            local_target is not None
            and self.table.accepts_new_flows(local_target)
            and not self.is_leaving
        )

    def is_recovering(self, now: float) -> bool:
        """Return whether the target may have flows that this agent does not know.

        They belong to a previous agent of the target. Each sends a packet within the
        idle timeout or expires.
        """
        return (
            now < self._started_at + self.idle_seconds
            and not self.recall.is_new_instance()
        )

    def was_recently_moved(self, key: bytes, now: float) -> bool:
        """Return whether older flows of the bucket may be owned by another agent.

        After the bucket has moved, each of them sends a packet within the idle timeout
        or expires.
        """
        return now < self._moved_at[find_bucket(key)] + self.idle_seconds

    def list_choices(self, key: bytes) -> list[Target]:
        """Return the targets for a new flow, without the local one while it leaves."""
        choices = self.table.find_choices(find_bucket(key))
        if not self.is_leaving:
            return list(choices)
        return [target for target in choices if target.incarnation != self.incarnation]

    def has_visited(self, header: Header, target: Target) -> bool:
        """Return whether the packet has already visited a target."""
        incarnation = target.incarnation
        return incarnation == self.incarnation or incarnation in header.visited

    def find_next_hop(
        self, packet: IncomingPacket, include_suspects: bool
    ) -> Target | None:
        """Return the next target of the chain that the packet has not visited."""
        for target in self.table.find_chain(find_bucket(packet.key)):
            if target.is_suspect and not include_suspects:
                continue
            if not self.has_visited(packet.header, target):
                return target
        return None

    def accept_flow(self, packet: IncomingPacket) -> Action:
        """Become the owner of a flow and deliver its packet."""
        key, header = packet.key, packet.header
        if not self.flows.has_room():
            return refuse(packet)
        self.flows.touch(key, packet.packet_flags, packet.now, self.idle_seconds)
        if len(self.unreplicated_keys) < MAX_TRACKED_KEYS:
            self.unreplicated_keys.append(key)
        self.pointers.remove(key)
        self.query_deadlines.remove(key)
        tables_differ = header.visited and not header.flags & REDIRECTED
        if tables_differ or self.was_recently_moved(key, packet.now):
            # Agents with another table may get packets of this flow first. They get a
            # pointer now, because the chain in their table may not lead here.
            for target in self.table.find_chain(find_bucket(key)):
                self.send_pointers(target, [key])
            return DELIVER
        # An agent that redirected the flow to an agent that redirected it once more
        # has a wrong pointer.
        for incarnation in header.visited[:-1]:
            self.send_pointers(self.table.by_incarnation.get(incarnation), [key])
        return DELIVER

    def adopt_flow(self, packet: IncomingPacket) -> Action:
        """Accept a flow that no other agent owns and that this target may have."""
        action = self.accept_flow(packet)
        if packet.key in self.flows:
            self.flows.adopt(packet.key, packet.now, self.idle_seconds)
        return action

    def add_unconfirmed_pointer(self, key: bytes, target: Target, now: float) -> None:
        """Add a pointer to the target that a flow was redirected to."""
        address = target.announcement.packets.as_pair()
        instance_id = hash_instance(target)
        owner = Owner(target.incarnation, instance_id, address, self.table.revision)
        self.pointers.add(key, owner, now + self.idle_seconds, unconfirmed=True)

    def forward_to(self, packet: IncomingPacket, target: Target, flags: int) -> Action:
        """Forward a packet to the agent of another target."""
        address = target.announcement.packets.as_pair()
        return self.forward(packet, address, target.incarnation, flags)

    def forward(
        self,
        packet: IncomingPacket,
        address: tuple[str, int],
        incarnation: int,
        flags: int,
    ) -> Action:
        """Forward a packet to an address and add this agent to the visited ones."""
        header = packet.header
        forwarded = Header(
            DatagramKind.PACKET,
            flags,
            header.service,
            max(header.revision, self.table.revision),
            incarnation,
            header.origin,
            header.reply_to,
            self._add_visited(header),
        )
        return Action(ActionKind.FORWARD, header=forwarded, socket_address=address)

    def with_origin(self, packet: IncomingPacket) -> IncomingPacket:
        """Return the packet with this agent as its origin.

        The last agent of the chain returns a packet of an unknown flow to its origin.
        """
        local_target = self.local_target
        if local_target is None:
            return packet
        reply_to = local_target.announcement.packets.as_pair()
        return packet.with_header(origin=self.incarnation, reply_to=reply_to)

    def return_to_origin(self, packet: IncomingPacket) -> Action:
        """Return a packet to its origin: no other agent owns the flow."""
        header = packet.header
        flags = header.flags & ~OWNER_QUERY | NO_OTHER_OWNER
        return self.forward(packet, header.reply_to, header.origin, flags)

    def _add_visited(self, header: Header) -> tuple[int, ...]:
        """Return the visited targets, this one and the one that the sender addressed.

        The sender may have addressed an earlier incarnation at this address, which must
        not be tried again either.
        """
        visited = header.visited
        for incarnation in (self.incarnation, header.target):
            if incarnation not in visited:
                visited = (*visited, incarnation)
        return visited

    def send_pointers(self, target: Target | None, keys: list[bytes]) -> None:
        """Send pointers to a peer: this target owns these flows."""
        local_target = self.local_target
        if (
            target is None
            or local_target is None
            or target.incarnation == self.incarnation
        ):
            return
        address = local_target.announcement.packets.as_pair()
        pointers = PointerList(self.incarnation, self.instance_id, address, tuple(keys))
        self.send(target, pack_pointers(self.make_notice_header(target), pointers))

    def make_notice_header(self, target: Target) -> Header:
        """Return the header for a notice to a peer."""
        number, revision = self.table.number, self.table.revision
        return Header(DatagramKind.POINTER, 0, number, revision, target.incarnation)

    def send(self, target: Target, data: bytes) -> None:
        """Add a notice for a target's agent to the outbox."""
        self.send_to(target.announcement.packets.as_pair(), data)

    def send_to(self, address: tuple[str, int], data: bytes) -> None:
        """Add a notice to the outbox, or drop it when the outbox is full.

        Notices only save hops: without them packets are forwarded along the chain.
        """
        if len(self.outbox) < MAX_OUTBOX_NOTICES:
            self.outbox.append(Notice(address, data))


def drop(reason: str) -> Action:
    """Return the action that drops a packet."""
    return Action(ActionKind.DROP, reason)


def refuse(packet: IncomingPacket) -> Action:
    """Return the action for a flow that no target accepts: reset a SYN, else drop."""
    if packet.is_tcp_syn:
        return Action(ActionKind.RESET, "refused")
    return drop("refused")
