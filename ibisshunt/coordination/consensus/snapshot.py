"""Compact the log; send a snapshot in chunks to a member that lags behind it."""

from .messages import LogBase, Snapshot, SnapshotChunk, SnapshotReply
from .state import Compact, HostState, IncomingSnapshot, Progress, send, send_after_sync

CHUNK_RESEND_HEARTBEATS = 3


def compact(state: HostState, event: Compact) -> None:
    """Drop entries that the snapshot covers, except some for slow followers."""
    if state.snapshot is not None and event.snapshot.index < state.snapshot.index:
        return
    state.snapshot = event.snapshot
    state.log.compact(_choose_compaction_index(state, event.snapshot.index))


def _choose_compaction_index(state: HostState, snapshot_index: int) -> int:
    """Return up to which index to drop entries, within the retention limits."""
    index = snapshot_index
    size = 0
    min_index = max(
        state.log.base.index, snapshot_index - state.settings.retained_entries
    )
    while index > min_index:
        size += len(state.log.get(index).command)
        if size > state.settings.retained_bytes:
            break
        index -= 1
    return index


def start_install_snapshot(
    state: HostState, host: str, progress: Progress, now: float
) -> None:
    """Start sending the newest snapshot."""
    progress.snapshot = state.snapshot
    progress.snapshot_offset = 0
    if progress.snapshot is not None:
        _send_chunk(state, host, progress, now)


def resend_unanswered_chunk(
    state: HostState, host: str, progress: Progress, now: float
) -> None:
    """Resend the current chunk if it was not acknowledged in time."""
    if now >= progress.chunk_resend_deadline:
        _send_chunk(state, host, progress, now)


def on_snapshot_reply(
    state: HostState, sender: str, message: SnapshotReply, now: float
) -> None:
    """Send the next chunk, or continue with the entries after the snapshot."""
    progress = state.progress.get(sender)
    if progress is None:
        return
    if message.installed:
        progress.match_index = max(progress.match_index, message.index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        progress.snapshot = None
        progress.inflight_entries = 0
        return
    snapshot = progress.snapshot
    if snapshot is None or snapshot.index != message.index:
        return
    if message.offset != progress.snapshot_offset:
        progress.snapshot_offset = message.offset
        _send_chunk(state, sender, progress, now)


def on_snapshot_chunk(state: HostState, sender: str, message: SnapshotChunk) -> None:
    """Collect chunks in order; install the snapshot with the last one."""
    if message.index <= state.commit_index:
        _send_snapshot_reply(state, sender, message, 0, installed=True)
        return
    incoming = _get_incoming_snapshot(state, message)
    if message.offset == len(incoming.data):
        incoming.data += message.data
    if len(incoming.data) < message.total:
        _send_snapshot_reply(
            state, sender, message, len(incoming.data), installed=False
        )
        return
    _install_snapshot(state, message, bytes(incoming.data))
    _send_snapshot_reply(state, sender, message, message.total, installed=True)


def _get_incoming_snapshot(
    state: HostState, message: SnapshotChunk
) -> IncomingSnapshot:
    incoming = state.incoming_snapshot
    snapshot_id = (message.index, message.snapshot_term)
    if incoming is None or (incoming.index, incoming.term) != snapshot_id:
        incoming = IncomingSnapshot(*snapshot_id, bytearray())
        state.incoming_snapshot = incoming
    return incoming


def _install_snapshot(state: HostState, message: SnapshotChunk, data: bytes) -> None:
    snapshot = Snapshot(message.index, message.snapshot_term, message.membership, data)
    if state.log.term_at(snapshot.index) == snapshot.term:
        state.log.compact(snapshot.index)
    else:
        base = LogBase(snapshot.index, snapshot.term, snapshot.membership)
        state.log.reset(base)
        state.synced_index = 0
    state.incoming_snapshot = None
    state.snapshot = snapshot
    state.commit_index = snapshot.index
    state.outputs.installed_snapshot = snapshot


def _send_chunk(state: HostState, host: str, progress: Progress, now: float) -> None:
    snapshot = progress.snapshot
    if snapshot is None:
        return
    end = progress.snapshot_offset + state.settings.snapshot_chunk_bytes
    chunk = SnapshotChunk(
        state.term,
        snapshot.index,
        snapshot.term,
        snapshot.membership,
        progress.snapshot_offset,
        len(snapshot.data),
        snapshot.data[progress.snapshot_offset : end],
        state.heartbeat_round,
    )
    send(state, host, chunk)
    timeout = state.settings.heartbeat_seconds * CHUNK_RESEND_HEARTBEATS
    progress.chunk_resend_deadline = now + timeout


def _send_snapshot_reply(
    state: HostState,
    sender: str,
    message: SnapshotChunk,
    offset: int,
    installed: bool,
) -> None:
    reply = SnapshotReply(state.term, message.index, offset, installed, message.round)
    send_after_sync(state, sender, reply)
