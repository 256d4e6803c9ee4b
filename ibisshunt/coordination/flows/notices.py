"""Exchange flow ownership with other agents, and recall flows after a restart."""

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

# Peers that store pointers to each flow before a planned stop: one of them may fail.
BACKUP_PEERS: Final = 2
# Limits the traffic of an agent with very many flows: a batch is about 3 KB.
MAX_BATCHES_PER_SECOND: Final = 3.0


def advertise_flows(state: OwnerState, to_backups: bool) -> Iterator[int]:
    """Send pointers to the flows owned here to peers; yield after each batch."""
    if state.table is None or state.local_target is None:
        return
    keys = state.flows.list_keys()
    for start in range(0, len(keys), MAX_KEYS):
        batch = keys[start : start + MAX_KEYS]
        _advertise_batch(state, batch, to_backups)
        yield len(batch)


class FlowReplicator:
    """Send pointers to each flow to two peers when it is new, and before they expire.

    An agent that crashes sends nothing: its successor can recall only the flows that
    were replicated before.
    """

    def __init__(self, state: OwnerState) -> None:
        self._state = state
        self._refresh_rounds = advertise_flows(state, to_backups=True)
        self._due_batches = 0.0

    def replicate_due(self) -> None:
        """Send the pointers that are due; to be called once a second."""
        state = self._state
        if state.table is None or state.local_target is None:
            return
        new_keys, state.unreplicated_keys = state.unreplicated_keys, []
        for start in range(0, len(new_keys), MAX_KEYS):
            _advertise_batch(state, new_keys[start : start + MAX_KEYS], to_backups=True)
        # Every flow is sent twice within the idle timeout.
        self._due_batches += len(state.flows) / MAX_KEYS / (state.idle_seconds / 2)
        self._due_batches = min(self._due_batches, MAX_BATCHES_PER_SECOND)
        while self._due_batches >= 1:
            self._due_batches -= 1
            if next(self._refresh_rounds, None) is None:
                self._refresh_rounds = advertise_flows(state, to_backups=True)


def _advertise_batch(state: OwnerState, keys: list[bytes], to_backups: bool) -> None:
    keys_by_peer: dict[int, list[bytes]] = {}
    for key in keys:
        for incarnation in _list_peers(state, key, to_backups):
            keys_by_peer.setdefault(incarnation, []).append(key)
    for incarnation, peer_keys in keys_by_peer.items():
        state.send_pointers(state.table.by_incarnation[incarnation], peer_keys)


def _list_peers(state: OwnerState, key: bytes, to_backups: bool) -> list[int]:
    """Return the peers that get pointers: the first choice or the backup peers."""
    bucket = find_bucket(key)
    if not to_backups:
        first = state.table.find_first_incarnation(bucket)
        return [] if first in (0, state.incarnation) else [first]
    chain = state.table.find_chain(bucket)
    peers = [
        target.incarnation
        for target in chain
        if target.incarnation != state.incarnation
    ]
    return peers[:BACKUP_PEERS]


def start_recall(state: OwnerState, now: float) -> None:
    """Ask all peers for the flows that a previous agent of this target owned.

    Suspects are asked as well, but may be dead: the recall waits for them only when
    there are no other peers.
    """
    peers = {
        target.incarnation
        for target in state.table.targets
        if target.incarnation != state.incarnation
    }
    suspects = {
        target.incarnation for target in state.table.targets if target.is_suspect
    }
    state.recall.start(peers - suspects or peers, now)
    _send_recall_requests(state, peers)


def retry_recall(state: OwnerState) -> None:
    """Repeat the recall to the peers that have not answered."""
    _send_recall_requests(state, state.recall.list_pending_peers())


def _send_recall_requests(state: OwnerState, peers: set[int]) -> None:
    for incarnation in sorted(peers):
        peer = state.table.by_incarnation.get(incarnation)
        if peer is not None:
            header = _make_recall_header(state, incarnation)
            state.send(peer, pack_recall(header, state.instance_id, state.start_id))


def _make_recall_header(state: OwnerState, incarnation: int) -> Header:
    address = state.local_target.announcement.packets.as_pair()
    number, revision = state.table.number, state.table.revision
    return Header(
        DatagramKind.RECALL,
        0,
        number,
        revision,
        incarnation,
        state.incarnation,
        address,
    )


def handle_notice(state: OwnerState, header: Header, payload: bytes, now: float) -> str:
    """Handle another agent's notice; return why it was rejected, or an empty string."""
    if state.table is None:
        return "not_ready"
    if header.service != state.table.number:
        return "wrong_service"
    handle = _HANDLERS.get(header.kind)
    if handle is None:
        return "unknown_kind"
    # A notice of a newer revision shows that this agent has missed an update.
    state.newer_revision = max(state.newer_revision, header.revision)
    return handle(state, header, payload, now)


def _handle_revision(
    state: OwnerState, header: Header, payload: bytes, now: float
) -> str:
    return ""


def _handle_load(state: OwnerState, header: Header, payload: bytes, now: float) -> str:
    load = read_load(payload).value_or(None)
    if load is None:
        return "malformed"
    state.loads.update(header.origin, load, now)
    return ""


def _handle_pointers(
    state: OwnerState, header: Header, payload: bytes, now: float
) -> str:
    message = read_pointers(header, payload).value_or(None)
    if message is None:
        return "malformed"
    if message.instance_id == state.instance_id:
        return _recover_flows(state, message, now)
    owner = Owner(
        message.owner, message.instance_id, message.socket_address, header.revision
    )
    for key in message.keys:
        if state.flows.is_adopted(key):
            # The peer has accepted the flow from its first packet, or recalled it.
            state.flows.remove(key)
        # A flow that this agent owns stays: the peer's entry belongs to an older flow
        # on the same ports.
        if key not in state.flows:
            state.pointers.add(key, owner, now + state.idle_seconds)
    return ""


def _recover_flows(state: OwnerState, message: PointerList, now: float) -> str:
    """Take over the flows that a previous agent of this target owned."""
    if not state.recall.accepts_answers(now):
        return "recall_late"
    state.recall.add_received_keys(message.owner, len(message.keys))
    for key in message.keys:
        if key not in state.flows and state.flows.has_room():
            state.flows.touch(key, 0, now, state.idle_seconds)
    return ""


def _handle_recall(
    state: OwnerState, header: Header, payload: bytes, now: float
) -> str:
    message = read_recall(payload).value_or(None)
    if message is None:
        return "malformed"
    instance_id, start_id = message
    keys = state.pointers.list_keys(instance_id)
    number, revision = state.table.number, state.table.revision
    pointer_header = Header(DatagramKind.POINTER, 0, number, revision, header.origin)
    for offset in range(0, len(keys), MAX_KEYS):
        batch = tuple(keys[offset : offset + MAX_KEYS])
        pointers = PointerList(state.incarnation, instance_id, header.reply_to, batch)
        state.send_to(header.reply_to, pack_pointers(pointer_header, pointers))
    status = state.instance_history.classify(instance_id, header.origin, start_id)
    end_header = replace(pointer_header, origin=state.incarnation)
    state.send_to(header.reply_to, pack_recalled(end_header, len(keys), status))
    return ""


def _handle_recall_end(
    state: OwnerState, header: Header, payload: bytes, now: float
) -> str:
    message = read_recalled(payload).value_or(None)
    if message is None:
        return "malformed"
    state.recall.finish_peer(header.origin, *message)
    return ""


NoticeHandler = Callable[[OwnerState, Header, bytes, float], str]
_HANDLERS: Final[dict[int, NoticeHandler]] = {
    DatagramKind.POINTER: _handle_pointers,
    DatagramKind.LOAD: _handle_load,
    DatagramKind.REVISION: _handle_revision,
    DatagramKind.RECALL: _handle_recall,
    DatagramKind.RECALLED: _handle_recall_end,
}
