"""Send a snapshot in chunks to a member that needs compacted entries."""

from .messages import LogBase, Snapshot, SnapshotChunk, SnapshotReply
from .state import Compact, HostState, Incoming, Progress, promise, send

RESEND_HEARTBEATS = 3


def compact(state: HostState, event: Compact) -> None:
    """Drop entries that the snapshot covers, but for some that slow members need."""
    if state.snapshot is not None and event.snapshot.index < state.snapshot.index:
        return
    state.snapshot = event.snapshot
    state.log.compact(_find_base(state, event.snapshot.index))


def _find_base(state: HostState, covered: int) -> int:
    """Return up to which index to drop, so that what is kept stays small."""
    index = covered
    size = 0
    lowest = max(state.log.base.index, covered - state.settings.kept_entries)
    while index > lowest:
        size += len(state.log.get(index).command)
        if size > state.settings.kept_bytes:
            break
        index -= 1
    return index


def start_snapshot(state: HostState, host: str, progress: Progress, now: float) -> None:
    """Begin to send the newest snapshot."""
    progress.snapshot = state.snapshot
    progress.offset = 0
    if progress.snapshot is not None:
        _send_chunk(state, host, progress, now)


def resend_chunk(state: HostState, host: str, progress: Progress, now: float) -> None:
    """Send the present chunk again when no answer came in time."""
    if now >= progress.resend_deadline:
        _send_chunk(state, host, progress, now)


def on_snapshot_reply(
    state: HostState, sender: str, message: SnapshotReply, now: float
) -> None:
    """Send the next chunk, or go on with entries behind the snapshot."""
    progress = state.progress.get(sender)
    if progress is None:
        return
    if message.installed:
        progress.match = max(progress.match, message.index)
        progress.next = max(progress.next, progress.match + 1)
        progress.snapshot = None
        progress.unanswered = 0
        return
    sending = progress.snapshot
    if sending is None or sending.index != message.index:
        return
    if message.offset != progress.offset:
        progress.offset = message.offset
        _send_chunk(state, sender, progress, now)


def on_snapshot_chunk(state: HostState, sender: str, message: SnapshotChunk) -> None:
    """Collect chunks in their order; install the snapshot with the last one."""
    if message.index <= state.commit:
        _reply(state, sender, message, 0, installed=True)
        return
    incoming = _find_incoming(state, message)
    if message.offset == len(incoming.data):
        incoming.data += message.data
    if len(incoming.data) < message.total:
        _reply(state, sender, message, len(incoming.data), installed=False)
        return
    _install(state, message, bytes(incoming.data))
    _reply(state, sender, message, message.total, installed=True)


def _find_incoming(state: HostState, message: SnapshotChunk) -> Incoming:
    found = state.incoming
    wanted = (message.index, message.snapshot_term)
    if found is None or (found.index, found.term) != wanted:
        found = Incoming(*wanted, bytearray())
        state.incoming = found
    return found


def _install(state: HostState, message: SnapshotChunk, data: bytes) -> None:
    snapshot = Snapshot(message.index, message.snapshot_term, message.membership, data)
    if state.log.term_at(snapshot.index) == snapshot.term:
        state.log.compact(snapshot.index)
    else:
        base = LogBase(snapshot.index, snapshot.term, snapshot.membership)
        state.log.reset(base)
        state.synced_index = 0
    state.incoming = None
    state.snapshot = snapshot
    state.commit = snapshot.index
    state.out.installed = snapshot


def _send_chunk(state: HostState, host: str, progress: Progress, now: float) -> None:
    snapshot = progress.snapshot
    if snapshot is None:
        return
    end = progress.offset + state.settings.chunk_bytes
    chunk = SnapshotChunk(
        state.term,
        snapshot.index,
        snapshot.term,
        snapshot.membership,
        progress.offset,
        len(snapshot.data),
        snapshot.data[progress.offset : end],
        state.round,
    )
    send(state, host, chunk)
    span = state.settings.heartbeat_seconds * RESEND_HEARTBEATS
    progress.resend_deadline = now + span


def _reply(
    state: HostState,
    sender: str,
    message: SnapshotChunk,
    offset: int,
    installed: bool,
) -> None:
    reply = SnapshotReply(state.term, message.index, offset, installed, message.round)
    promise(state, sender, reply)
