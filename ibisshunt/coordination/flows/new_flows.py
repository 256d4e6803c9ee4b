"""Assign new flows to targets, so that no two agents accept the same flow."""

from typing import Final

from ...model.record import SharingPolicy
from ...model.target import Target
from ...protocol.datagram import FINAL_REDIRECT, NO_OTHER_OWNER, OWNER_QUERY, REDIRECTED
from .actions import Action
from .load_reports import compute_load
from .ranking import find_bucket
from .state import IncomingPacket, OwnerState, drop, refuse

# A first packet that is retransmitted after this time is accepted although the query
# for its owner was not answered: an agent along the chain is down.
OWNER_QUERY_TIMEOUT_SECONDS: Final = 0.9


def open_flow(state: OwnerState, packet: IncomingPacket) -> Action:
    """Accept a new flow, redirect it, or refuse it before a byte reaches a target."""
    header = packet.header
    if not state.is_caller_allowed(packet.key[1:5]):
        return drop("caller_not_allowed")
    if header.flags & OWNER_QUERY:
        return _forward_query(state, packet)
    if header.flags & REDIRECTED:
        return _accept_or_redirect_again(state, packet)
    if header.flags & NO_OTHER_OWNER and header.origin == state.incarnation:
        return _accept_or_redirect(state, packet)
    choices = state.list_choices(packet.key)
    first = choices[0] if choices else None
    if first is None or first.incarnation == state.incarnation:
        return _open_as_first_choice(state, packet)
    if first.incarnation not in header.visited:
        return state.forward_to(packet, first, header.flags)
    # The first choice of this table has already forwarded it here, so its table
    # differs.
    if not state.accepts_new_flows():
        return _accept_or_redirect_again(state, packet)
    return _query_for_owner(state, packet)


def _open_as_first_choice(state: OwnerState, packet: IncomingPacket) -> Action:
    if not state.was_recently_moved(packet.key, packet.now):
        return _accept_or_redirect(state, packet)
    return _query_for_owner(state, packet)


def _query_for_owner(state: OwnerState, packet: IncomingPacket) -> Action:
    """Ask the other agents whether one of them owns the flow, before accepting it."""
    deadline = state.query_deadlines.find(packet.key)
    if deadline is not None and packet.now >= deadline:
        return _accept_or_redirect(state, packet)
    # A SYN that is retransmitted through another balancer, or that reuses the ports of
    # an older flow, must reach the owner of that flow. Otherwise two targets would
    # answer and the caller's handshake would end in a reset.
    query = state.with_origin(packet.with_header(visited=()))
    target = _find_next_queried(state, query)
    if target is None:
        return _accept_or_redirect(state, packet)
    if deadline is None:
        state.query_deadlines.add(packet.key, packet.now + OWNER_QUERY_TIMEOUT_SECONDS)
    return state.forward_to(query, target, packet.header.flags | OWNER_QUERY)


def _find_next_queried(state: OwnerState, packet: IncomingPacket) -> Target | None:
    """Return the next target to ask whether it owns the flow.

    A suspect may be dead and drop the query. Queries for a SYN leave suspects out: at
    worst the caller has to reconnect. A datagram may belong to a flow of a suspect.
    """
    return state.find_next_hop(packet, include_suspects=not packet.is_tcp_syn)


def _forward_query(state: OwnerState, packet: IncomingPacket) -> Action:
    """Forward a query to the next agent, or return it to its origin."""
    flags = packet.header.flags
    target = _find_next_queried(state, packet)
    if target is not None:
        return state.forward_to(packet, target, flags)
    return state.return_to_origin(packet)


def _accept_or_redirect(state: OwnerState, packet: IncomingPacket) -> Action:
    """Accept a flow as its first choice, or redirect it to a less loaded second."""
    key, now = packet.key, packet.now
    state.query_deadlines.remove(key)
    choices = state.list_choices(key)
    others = [target for target in choices if target.incarnation != state.incarnation]
    peer = others[0] if others else None
    can_accept = state.accepts_new_flows() and state.flows.has_room()
    if can_accept and not (peer and _is_less_loaded(state, peer, now)):
        return state.accept_flow(packet)
    if peer is None:
        return refuse(packet)
    state.loads.add_flow(peer.incarnation, 1 / max(1, peer.announcement.weight))
    # Later packets of the flow arrive here first as well: without the pointer they
    # would be forwarded along the chain.
    state.add_unconfirmed_pointer(key, peer, now)
    flags = packet.header.flags & ~(NO_OTHER_OWNER | OWNER_QUERY) | REDIRECTED
    return state.forward_to(packet.with_header(visited=(), origin=0), peer, flags)


def _is_less_loaded(state: OwnerState, peer: Target, now: float) -> bool:
    if state.table.slice.service.sharing != SharingPolicy.HUNTING:
        return False
    return state.loads.is_less_loaded(compute_load(state), peer.incarnation, now)


def _accept_or_redirect_again(state: OwnerState, packet: IncomingPacket) -> Action:
    """Accept a redirected flow, or redirect it to the next target that may."""
    if state.accepts_new_flows() and state.flows.has_room():
        return state.accept_flow(packet)
    header = packet.header
    for target in state.table.find_chain(find_bucket(packet.key)):
        if state.table.accepts_new_flows(target) and not state.has_visited(
            header, target
        ):
            state.add_unconfirmed_pointer(packet.key, target, packet.now)
            return state.forward_to(packet, target, header.flags | REDIRECTED)
    return _return_or_refuse(state, packet)


def _return_or_refuse(state: OwnerState, packet: IncomingPacket) -> Action:
    """Return a flow to the agents that may have redirected it, once; else refuse it.

    An agent that redirected the flow here, because of its table or its load, did not
    know that this target accepts no flows. The flow is offered to the choices a second
    time, and each of them accepts it if it can.
    """
    flags = packet.header.flags
    choices = state.list_choices(packet.key)
    others = [target for target in choices if target.incarnation != state.incarnation]
    if flags & FINAL_REDIRECT or not others:
        return refuse(packet)
    returned = packet.with_header(visited=())
    return state.forward_to(returned, others[0], flags | REDIRECTED | FINAL_REDIRECT)
