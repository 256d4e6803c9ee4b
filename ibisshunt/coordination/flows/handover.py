"""Tell other agents who owns which flows, and ask them after a restart."""

from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Final

from ...protocol.datagram import (
    MAX_KEYS,
    DatagramKind,
    Header,
    PointerList,
    pack_pointers,
    pack_recall,
    pack_recalled,
    read_load,
    read_pointers,
    read_recall,
    read_recalled,
)
from .ranking import find_bucket
from .state import OwnerState
from .store import Owner

# Peers that hear of each flow before a planned stop: one of them may be lost.
COPIES: Final = 2
# Bounds the bytes of an agent with very many flows: about 3 KB a part.
MOST_PARTS_PER_SECOND: Final = 3.0


def hand_over(state: OwnerState, everything: bool) -> Iterator[int]:
    """Tell peers about the flows owned here; yield after each part."""
    if state.table is None or state.own is None:
        return
    keys = state.flows.list_keys()
    for start in range(0, len(keys), MAX_KEYS):
        part = keys[start : start + MAX_KEYS]
        _hand_over_part(state, part, everything)
        yield len(part)


class Reporter:
    """Tell two peers of each flow once it is new, and again before they forget it.

    An agent that crashes hands nothing over: what its peers were told before is what
    its successor recalls.
    """

    def __init__(self, state: OwnerState) -> None:
        self._state = state
        self._rounds = hand_over(state, everything=True)
        self._due = 0.0

    def report(self) -> None:
        """Send what is due; call it once a second."""
        state = self._state
        if state.table is None or state.own is None:
            return
        new, state.untold = state.untold, []
        for start in range(0, len(new), MAX_KEYS):
            _hand_over_part(state, new[start : start + MAX_KEYS], everything=True)
        # Every flow comes round twice within the idle timeout.
        self._due += len(state.flows) / MAX_KEYS / (state.idle / 2)
        self._due = min(self._due, MOST_PARTS_PER_SECOND)
        while self._due >= 1:
            self._due -= 1
            if next(self._rounds, None) is None:
                self._rounds = hand_over(state, everything=True)


def _hand_over_part(state: OwnerState, keys: list[bytes], everything: bool) -> None:
    lists: dict[int, list[bytes]] = {}
    for key in keys:
        for incarnation in _list_peers(state, key, everything):
            lists.setdefault(incarnation, []).append(key)
    for incarnation, told in lists.items():
        state.tell(state.table.by_incarnation[incarnation], told)


def _list_peers(state: OwnerState, key: bytes, everything: bool) -> list[int]:
    """Return whom to tell: who is asked first, or two peers before a stop."""
    bucket = find_bucket(key)
    if not everything:
        first = state.table.name_first(bucket)
        return [] if first in (0, state.incarnation) else [first]
    chain = state.table.find_chain(bucket)
    peers = [one.incarnation for one in chain if one.incarnation != state.incarnation]
    return peers[:COPIES]


def start_recall(state: OwnerState, now: float) -> None:
    """Ask all peers for the flows that a former agent of this target owned.

    Suspects are asked as well, but waited for only when there is nobody else: they
    may be dead.
    """
    peers = {
        one.incarnation
        for one in state.table.targets
        if one.incarnation != state.incarnation
    }
    suspects = {one.incarnation for one in state.table.targets if one.is_suspect}
    state.recall.start(peers - suspects or peers, now)
    _ask(state, peers)


def ask_for_flows(state: OwnerState) -> None:
    """Ask those peers again that have not answered."""
    _ask(state, state.recall.list_waiting())


def _ask(state: OwnerState, peers: set[int]) -> None:
    for incarnation in sorted(peers):
        peer = state.table.by_incarnation.get(incarnation)
        if peer is not None:
            head = _make_return_head(state, incarnation)
            state.send(peer, pack_recall(head, state.place, state.start))


def _make_return_head(state: OwnerState, incarnation: int) -> Header:
    pair = state.own.announcement.packets.as_pair()
    number, revision = state.table.number, state.table.revision
    return Header(
        DatagramKind.RECALL, 0, number, revision, incarnation, state.incarnation, pair
    )


def receive_notice(
    state: OwnerState, header: Header, payload: bytes, now: float
) -> str:
    """Take a notice of another agent; return why not, or an empty string."""
    if state.table is None:
        return "not_ready"
    if header.service != state.table.number:
        return "wrong_service"
    receive = _RECEIVERS.get(header.kind)
    if receive is None:
        return "unknown_kind"
    # A notice of a newer revision shows that this agent is stale.
    state.wanted_revision = max(state.wanted_revision, header.revision)
    return receive(state, header, payload, now)


def _receive_revision(
    state: OwnerState, header: Header, payload: bytes, now: float
) -> str:
    return ""


def _receive_load(state: OwnerState, header: Header, payload: bytes, now: float) -> str:
    load = read_load(payload).value_or(None)
    if load is None:
        return "malformed"
    state.loads.note(header.origin, load, now)
    return ""


def _receive_pointers(
    state: OwnerState, header: Header, payload: bytes, now: float
) -> str:
    found = read_pointers(header, payload).value_or(None)
    if found is None:
        return "malformed"
    if found.place == state.place:
        return _receive_recalled(state, found, now)
    owner = Owner(found.owner, found.place, found.pair, header.revision)
    for key in found.keys:
        if state.flows.is_adopted(key):
            # The peer took the flow from its first packet on, or was told so.
            state.flows.remove(key)
        # A flow of this agent's own stays its own: the peer's entry is of an older
        # flow on the same ports.
        if key not in state.flows:
            state.pointers.add(key, owner, now + state.idle)
    return ""


def _receive_recalled(state: OwnerState, found: PointerList, now: float) -> str:
    """Own the flows again that a former agent of this target owned."""
    if not state.recall.takes_answers(now):
        return "recall_late"
    state.recall.count(found.owner, len(found.keys))
    for key in found.keys:
        if key not in state.flows and state.flows.has_room():
            state.flows.touch(key, 0, now, state.idle)
    return ""


def _answer_recall(
    state: OwnerState, header: Header, payload: bytes, now: float
) -> str:
    found = read_recall(payload).value_or(None)
    if found is None:
        return "malformed"
    place, start = found
    keys = state.pointers.list_keys(place)
    number, revision = state.table.number, state.table.revision
    head = Header(DatagramKind.POINTER, 0, number, revision, header.origin)
    for start in range(0, len(keys), MAX_KEYS):
        part = tuple(keys[start : start + MAX_KEYS])
        pointers = PointerList(state.incarnation, place, header.reply_to, part)
        state.send_to(header.reply_to, pack_pointers(head, pointers))
    verdict = state.places.judge(place, header.origin, start)
    last = replace(head, origin=state.incarnation)
    state.send_to(header.reply_to, pack_recalled(last, len(keys), verdict))
    return ""


def _finish_recall(
    state: OwnerState, header: Header, payload: bytes, now: float
) -> str:
    found = read_recalled(payload).value_or(None)
    if found is None:
        return "malformed"
    state.recall.finish(header.origin, *found)
    return ""


Receiver = Callable[[OwnerState, Header, bytes, float], str]
_RECEIVERS: Final[dict[int, Receiver]] = {
    DatagramKind.POINTER: _receive_pointers,
    DatagramKind.LOAD: _receive_load,
    DatagramKind.REVISION: _receive_revision,
    DatagramKind.RECALL: _answer_recall,
    DatagramKind.RECALLED: _finish_recall,
}
