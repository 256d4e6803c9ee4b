"""Forward packets of flows that this agent does not know, adopt or reset the flows."""

from typing import Final

from ...const import IN_FORCE_SECONDS
from ...protocol.datagram import BY_POINTER, KNOWN_ONLY, NO_OTHER_OWNER
from ...protocol.packet import ICMP_ERROR
from .actions import Action, ActionKind
from .state import IncomingPacket, OwnerState, drop
from .store import Owner

# An unknown flow is reset only if it is still unknown this long after its first packet
# here: by then every node has the newest configuration and would find the owner.
LOST_GRACE_SECONDS: Final = IN_FORCE_SECONDS


def follow_pointer(state: OwnerState, packet: IncomingPacket) -> Action | None:
    """Forward a packet to the owner that a pointer gives; return None without one."""
    key, header = packet.key, packet.header
    owner = state.pointers.find(key)
    if owner is None:
        return None
    resolved = _resolve(state, owner)
    if resolved is None:
        state.pointers.remove(key)
        return None
    address, incarnation = resolved
    # Two pointers may lead to each other: a packet never returns by a pointer.
    if incarnation in header.visited or incarnation == state.incarnation:
        return None
    state.pointers.refresh(key, packet.now + state.idle_seconds)
    return state.forward(packet, address, incarnation, header.flags | BY_POINTER)


def _resolve(state: OwnerState, owner: Owner) -> tuple[tuple[str, int], int] | None:
    """Return the current address and incarnation of an owner."""
    target = state.table.by_incarnation.get(owner.incarnation)
    if target is None:
        # An agent that restarts beside its target may get a new incarnation.
        target = state.table.find_by_instance(owner.instance_id)
    if target is not None:
        return target.announcement.packets.as_pair(), target.incarnation
    if owner.revision > state.table.revision:
        return owner.socket_address, owner.incarnation
    return None


def forward_or_adopt(state: OwnerState, packet: IncomingPacket) -> Action:
    """Forward a packet along the chain; at its end adopt the flow, wait or reset."""
    header = packet.header
    adoptable = _is_adoptable(state, packet)
    if adoptable and not header.origin and state.is_recovering(packet.now):
        packet = state.with_origin(packet)
        header = packet.header
    if not header.flags & NO_OTHER_OWNER:
        target = state.find_next_hop(packet, include_suspects=True)
        if target is not None:
            return state.forward_to(packet, target, header.flags)
    if not adoptable:
        return drop("unknown_flow")
    if header.origin == state.incarnation:
        # No other agent owns the flow. If the target does not have it either, the
        # target's host answers with the same reset that this agent would send.
        return state.adopt_flow(packet)
    if header.origin and not header.flags & NO_OTHER_OWNER:
        return state.return_to_origin(packet)
    return _drop_or_reset(state, packet)


def _is_adoptable(state: OwnerState, packet: IncomingPacket) -> bool:
    """Return whether the packet may belong to a flow lost by an agent's restart."""
    if packet.header.flags & KNOWN_ONLY or packet.packet_flags & ICMP_ERROR:
        return False
    return state.is_caller_allowed(packet.key[1:5])


def _drop_or_reset(state: OwnerState, packet: IncomingPacket) -> Action:
    key, now = packet.key, packet.now
    deadline = state.reset_deadlines.find(key)
    # A deadline that passed long ago belongs to an earlier flow on these ports.
    if deadline is None or now > deadline + state.idle_seconds:
        state.reset_deadlines.add(key, now + LOST_GRACE_SECONDS)
        return drop("lost_waiting")
    if now < deadline:
        return drop("lost_waiting")
    return Action(ActionKind.RESET, "lost_flow")
