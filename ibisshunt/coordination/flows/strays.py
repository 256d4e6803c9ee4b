"""Find the owner of a flow that began earlier, or end the flow truthfully."""

from typing import Final

from ...const import IN_FORCE_SECONDS
from ...protocol.datagram import BY_POINTER, KNOWN_ONLY, SOUGHT
from ...protocol.packet import ICMP_ERROR
from .actions import Action, ActionKind
from .state import Arrival, OwnerState, drop
from .store import Owner

# A packet of an unknown flow is reset only when the flow is still unknown this much
# later: by then every node has the newest configuration and finds what there is.
LOST_GRACE_SECONDS: Final = IN_FORCE_SECONDS


def follow_pointer(state: OwnerState, arrival: Arrival) -> Action | None:
    """Forward a packet to the owner that a pointer names; None without one."""
    key, header = arrival.key, arrival.header
    owner = state.pointers.find(key)
    if owner is None:
        return None
    found = _resolve(state, owner)
    if found is None:
        state.pointers.remove(key)
        return None
    pair, incarnation = found
    # Two pointers may name each other: a packet never goes back by one.
    if incarnation in header.visited or incarnation == state.incarnation:
        return None
    state.pointers.refresh(key, arrival.now + state.idle)
    return state.forward(arrival, pair, incarnation, header.flags | BY_POINTER)


def _resolve(state: OwnerState, owner: Owner) -> tuple[tuple[str, int], int] | None:
    """Return the address and incarnation where an owner is reached by now."""
    target = state.table.by_incarnation.get(owner.incarnation)
    if target is None:
        # An agent that restarts beside its target announces itself anew.
        target = state.table.find_by_place(owner.place)
    if target is not None:
        return target.announcement.packets.as_pair(), target.incarnation
    if owner.revision > state.table.revision:
        return owner.pair, owner.incarnation
    return None


def find_owner(state: OwnerState, arrival: Arrival) -> Action:
    """Send a packet along the chain; at its end adopt, wait or reset."""
    header = arrival.header
    adoptable = _is_adoptable(state, arrival)
    if adoptable and not header.origin and state.is_recovering(arrival.now):
        arrival = state.ask_from_here(arrival)
        header = arrival.header
    if not header.flags & SOUGHT:
        target = state.find_next(arrival, suspects=True)
        if target is not None:
            return state.forward_to(arrival, target, header.flags)
    if not adoptable:
        return drop("unknown_flow")
    if header.origin == state.incarnation:
        # Nobody else claims the flow. If the target does not hold it either, the
        # target's host answers with the same reset that this agent would send.
        return state.adopt(arrival)
    if header.origin and not header.flags & SOUGHT:
        return state.return_to_origin(arrival)
    return _give_up(state, arrival)


def _is_adoptable(state: OwnerState, arrival: Arrival) -> bool:
    """Tell whether a packet may show an agent a flow that it lost at a restart."""
    if arrival.header.flags & KNOWN_ONLY or arrival.bits & ICMP_ERROR:
        return False
    return state.admit(arrival.key[1:5])


def _give_up(state: OwnerState, arrival: Arrival) -> Action:
    key, now = arrival.key, arrival.now
    deadline = state.lost.find(key)
    # A note that is much older than the grace is of an earlier flow on these ports.
    if deadline is None or now > deadline + state.idle:
        state.lost.add(key, now + LOST_GRACE_SECONDS)
        return drop("lost_waiting")
    if now < deadline:
        return drop("lost_waiting")
    return Action(ActionKind.RESET, "lost_flow")
