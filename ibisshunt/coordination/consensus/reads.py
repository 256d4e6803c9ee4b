"""Serve reads that are never stale, by read index.

A lease by the monotonic clock would spare the round, but a clock that a suspended
virtual machine or a drifting oscillator holds back makes it serve stale reads. One
round of heartbeats answers all reads that wait, and trusts no clock.
"""

from .membership import count_quorum, list_voters
from .messages import ReadReply, ReadRequest
from .state import HostState, PendingRead, Read, ReadReady, Refused, Role, send

REFUSED_INDEX = -1


def read(state: HostState, event: Read) -> None:
    """Take a read of this host; a follower asks its leader."""
    if state.role is Role.LEADER:
        state.new_reads.append(PendingRead(state.host, event.ticket, 0, 0))
    elif state.leader:
        send(state, state.leader, ReadRequest(event.ticket))
    else:
        state.out.refused.append(Refused(event.ticket, "no leader is known"))


def on_read_request(state: HostState, sender: str, message: ReadRequest) -> None:
    """Take a read of a follower."""
    if state.role is not Role.LEADER:
        send(state, sender, ReadReply(message.ticket, REFUSED_INDEX))
        return
    state.new_reads.append(PendingRead(sender, message.ticket, 0, 0))


def on_read_reply(state: HostState, message: ReadReply) -> None:
    """Pass the answer of the leader on."""
    if message.index == REFUSED_INDEX:
        state.out.refused.append(Refused(message.ticket, "the leader changed"))
        return
    state.out.reads.append(ReadReady(message.ticket, message.index))


def bind_reads(state: HostState) -> bool:
    """Give waiting reads the next round; return whether one must be sent.

    Before an entry of its own term is committed a new leader does not know all that
    its predecessors accepted, so reads wait for that.
    """
    if not state.new_reads or state.commit < state.barrier_index:
        return False
    for pending in state.new_reads:
        pending.round = state.round + 1
        pending.index = state.commit
    state.reads += state.new_reads
    state.new_reads = []
    return True


def confirm_reads(state: HostState) -> None:
    """Answer the reads whose round a quorum has answered."""
    if not state.reads:
        return
    voters = list_voters(state.log.membership)
    rounds = [_round_of(state, host) for host in voters]
    confirmed = sorted(rounds, reverse=True)[count_quorum(voters) - 1]
    ready = [pending for pending in state.reads if pending.round <= confirmed]
    state.reads = [pending for pending in state.reads if pending.round > confirmed]
    for pending in ready:
        _answer(state, pending, pending.index)


def fail_reads(state: HostState) -> None:
    """Refuse all reads that wait, because this host no longer leads."""
    for pending in state.reads + state.new_reads:
        _answer(state, pending, REFUSED_INDEX)
    state.reads = []
    state.new_reads = []


def _round_of(state: HostState, host: str) -> int:
    if host == state.host:
        return state.round
    progress = state.progress.get(host)
    return progress.round if progress else 0


def _answer(state: HostState, pending: PendingRead, index: int) -> None:
    if pending.host != state.host:
        send(state, pending.host, ReadReply(pending.ticket, index))
    elif index == REFUSED_INDEX:
        state.out.refused.append(Refused(pending.ticket, "the leader changed"))
    else:
        state.out.reads.append(ReadReady(pending.ticket, index))
