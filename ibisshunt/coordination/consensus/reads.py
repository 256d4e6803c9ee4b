"""Confirm linearizable reads with Raft's read index.

A leader lease based on the monotonic clock would save the heartbeat round, but serves
stale reads if the clock lags, as in a suspended virtual machine or with a drifting
oscillator. One round of heartbeats confirms all pending reads and relies on no clock.
"""

from .membership import count_quorum, list_voters
from .messages import ReadReply, ReadRequest
from .state import HostState, PendingRead, Read, ReadReady, Refused, Role, send

REFUSED_INDEX = -1


def request_read(state: HostState, event: Read) -> None:
    """Queue a read of this host; a follower requests the index from its leader."""
    if state.role is Role.LEADER:
        state.queued_reads.append(PendingRead(state.host, event.request_id, 0, 0))
    elif state.leader:
        send(state, state.leader, ReadRequest(event.request_id))
    else:
        state.outputs.refused.append(Refused(event.request_id, "no leader is known"))


def on_read_request(state: HostState, sender: str, message: ReadRequest) -> None:
    """Queue a read of a follower, or refuse it if this host does not lead."""
    if state.role is not Role.LEADER:
        send(state, sender, ReadReply(message.ticket, REFUSED_INDEX))
        return
    state.queued_reads.append(PendingRead(sender, message.ticket, 0, 0))


def on_read_reply(state: HostState, message: ReadReply) -> None:
    """Output the leader's answer to a read of this host."""
    if message.index == REFUSED_INDEX:
        state.outputs.refused.append(Refused(message.ticket, "the leader changed"))
        return
    state.outputs.ready_reads.append(ReadReady(message.ticket, message.index))


def assign_read_round(state: HostState) -> bool:
    """Assign the next heartbeat round to queued reads; return whether there are any.

    Until an entry of its own term is committed, a new leader does not know all entries
    that its predecessors committed, so reads stay queued.
    """
    if not state.queued_reads or state.commit_index < state.noop_index:
        return False
    for pending in state.queued_reads:
        pending.round = state.heartbeat_round + 1
        pending.read_index = state.commit_index
    state.unconfirmed_reads += state.queued_reads
    state.queued_reads = []
    return True


def confirm_reads(state: HostState) -> None:
    """Answer the reads whose heartbeat round a quorum has acknowledged."""
    if not state.unconfirmed_reads:
        return
    voters = list_voters(state.log.membership)
    rounds = [_get_acknowledged_round(state, host) for host in voters]
    confirmed_round = sorted(rounds, reverse=True)[count_quorum(voters) - 1]
    ready = [
        pending
        for pending in state.unconfirmed_reads
        if pending.round <= confirmed_round
    ]
    state.unconfirmed_reads = [
        pending
        for pending in state.unconfirmed_reads
        if pending.round > confirmed_round
    ]
    for pending in ready:
        _resolve_read(state, pending, pending.read_index)


def refuse_reads(state: HostState) -> None:
    """Refuse all pending reads because this host no longer leads."""
    for pending in state.unconfirmed_reads + state.queued_reads:
        _resolve_read(state, pending, REFUSED_INDEX)
    state.unconfirmed_reads = []
    state.queued_reads = []


def _get_acknowledged_round(state: HostState, host: str) -> int:
    if host == state.host:
        return state.heartbeat_round
    progress = state.progress.get(host)
    return progress.acknowledged_round if progress else 0


def _resolve_read(state: HostState, pending: PendingRead, index: int) -> None:
    if pending.host != state.host:
        send(state, pending.host, ReadReply(pending.request_id, index))
    elif index == REFUSED_INDEX:
        state.outputs.refused.append(Refused(pending.request_id, "the leader changed"))
    else:
        state.outputs.ready_reads.append(ReadReady(pending.request_id, index))
