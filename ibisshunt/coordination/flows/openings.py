"""Decide who takes a new flow, so that no two agents take the same one."""

from typing import Final

from ...model.record import SharingPolicy
from ...model.target import Target
from ...protocol.datagram import INSISTED, PASSED, SEEKING, SOUGHT
from .actions import Action
from .loads import find_load
from .ranking import find_bucket
from .state import Arrival, OwnerState, drop, refuse

# A first packet that comes again this much later is taken though nobody has answered
# the question who owns it: some agent on the way is dead.
SEEK_PATIENCE_SECONDS: Final = 0.9


def open_flow(state: OwnerState, arrival: Arrival) -> Action:
    """Take a new flow, pass it on, or refuse it before a byte reaches a target."""
    header = arrival.header
    if not state.admit(arrival.key[1:5]):
        return drop("caller_not_allowed")
    if header.flags & SEEKING:
        return _answer(state, arrival)
    if header.flags & PASSED:
        return _take_or_pass(state, arrival)
    if header.flags & SOUGHT and header.origin == state.incarnation:
        return _settle(state, arrival)
    choices = state.list_choices(arrival.key)
    first = choices[0] if choices else None
    if first is None or first.incarnation == state.incarnation:
        return _open_as_first(state, arrival)
    if first.incarnation not in header.visited:
        return state.forward_to(arrival, first, header.flags)
    # The first choice has seen it and thinks otherwise: the tables disagree.
    if not state.takes_new_work():
        return _take_or_pass(state, arrival)
    return _seek(state, arrival)


def _open_as_first(state: OwnerState, arrival: Arrival) -> Action:
    if not state.has_moved(arrival.key, arrival.now):
        return _settle(state, arrival)
    return _seek(state, arrival)


def _seek(state: OwnerState, arrival: Arrival) -> Action:
    """Ask the other agents whether one of them owns the flow, before taking it."""
    deadline = state.sought.find(arrival.key)
    if deadline is not None and arrival.now >= deadline:
        return _settle(state, arrival)
    # A SYN that comes again through another balancer, or on the ports of an older
    # flow, must find the agent that has the flow: two targets would answer otherwise,
    # and the caller's handshake end in a reset.
    asking = state.ask_from_here(arrival.with_header(visited=()))
    target = _find_next_asked(state, asking)
    if target is None:
        return _settle(state, arrival)
    if deadline is None:
        state.sought.add(arrival.key, arrival.now + SEEK_PATIENCE_SECONDS)
    return state.forward_to(asking, target, arrival.header.flags | SEEKING)


def _find_next_asked(state: OwnerState, arrival: Arrival) -> Target | None:
    """Return whom to ask next whether it owns the flow.

    A suspect may be dead and swallow the question. For a SYN it is left out: at worst
    the caller has to connect anew. A datagram may be of an old flow that it owns.
    """
    return state.find_next(arrival, suspects=not arrival.opens_tcp)


def _answer(state: OwnerState, arrival: Arrival) -> Action:
    """Hand the question on, or back to the agent that asked."""
    flags = arrival.header.flags
    target = _find_next_asked(state, arrival)
    if target is not None:
        return state.forward_to(arrival, target, flags)
    return state.return_to_origin(arrival)


def _settle(state: OwnerState, arrival: Arrival) -> Action:
    """Take a flow as its first choice, or pass it to a less loaded second."""
    key, now = arrival.key, arrival.now
    state.sought.remove(key)
    choices = state.list_choices(key)
    others = [one for one in choices if one.incarnation != state.incarnation]
    peer = others[0] if others else None
    fits = state.takes_new_work() and state.flows.has_room()
    if fits and not (peer and _prefers(state, peer, now)):
        return state.take(arrival)
    if peer is None:
        return refuse(arrival)
    state.loads.add(peer.incarnation, 1 / max(1, peer.announcement.weight))
    # The packets to come arrive here first as well: without the pointer they would
    # find the owner by walking.
    state.point(key, peer, now)
    flags = arrival.header.flags & ~(SOUGHT | SEEKING) | PASSED
    return state.forward_to(arrival.with_header(visited=(), origin=0), peer, flags)


def _prefers(state: OwnerState, peer: Target, now: float) -> bool:
    if state.table.slice.service.sharing != SharingPolicy.HUNTING:
        return False
    return state.loads.prefers_peer(find_load(state), peer.incarnation, now)


def _take_or_pass(state: OwnerState, arrival: Arrival) -> Action:
    """Take a flow that was passed here; else the next ready target must."""
    if state.takes_new_work() and state.flows.has_room():
        return state.take(arrival)
    header = arrival.header
    for target in state.table.find_chain(find_bucket(arrival.key)):
        if state.table.is_taker(target) and not state.has_seen(header, target):
            state.point(arrival.key, target, arrival.now)
            return state.forward_to(arrival, target, header.flags | PASSED)
    return _insist_or_refuse(state, arrival)


def _insist_or_refuse(state: OwnerState, arrival: Arrival) -> Action:
    """Hand a flow back to a taker that had passed it here, once; else refuse it.

    Whoever passed it here, by its table or by its load, did not know that this target
    takes no flow. The flow goes round the takers once more, and each that is told so
    takes it if it can.
    """
    flags = arrival.header.flags
    choices = state.list_choices(arrival.key)
    others = [one for one in choices if one.incarnation != state.incarnation]
    if flags & INSISTED or not others:
        return refuse(arrival)
    afresh = arrival.with_header(visited=())
    return state.forward_to(afresh, others[0], flags | PASSED | INSISTED)
