"""Change the membership one host at a time and promote learners to voters.

Single-server changes as in section 4.1 of the Raft dissertation, with its later
correction: a leader starts no change before an entry of its own term is committed.
"""

from dataclasses import replace

from .messages import Entry, EntryKind, Member, Membership
from .state import (
    AddLearner,
    Appended,
    HostState,
    Progress,
    Refused,
    RemoveMember,
    Role,
    append_entry,
)


def get_host_name(host: str) -> str:
    """Return the configured name in the host id ``name/disk``."""
    return host.partition("/")[0]


def list_voters(membership: Membership) -> tuple[str, ...]:
    """Return the hosts that count towards a quorum."""
    return tuple(member.host for member in membership.members if member.voter)


def count_quorum(voters: tuple[str, ...]) -> int:
    """Return the number of voters that form a majority."""
    return len(voters) // 2 + 1


def find_member(membership: Membership, host: str) -> Member | None:
    """Return the member with this host id, or None."""
    for member in membership.members:
        if member.host == host:
            return member
    return None


def is_voter(state: HostState, host: str) -> bool:
    """Return whether a host is a voter in the latest membership."""
    member = find_member(state.log.membership, host)
    return member is not None and member.voter


def needs_to_join(state: HostState) -> bool:
    """Return whether this host must still ask to join the cluster.

    Only a committed membership counts: the leader that added the host may be deposed
    and its entry replaced, after which no leader would send this host anything.
    """
    membership = state.log.membership_at(state.commit_index)
    return find_member(membership, state.host) is None


def reconcile_progress(state: HostState, now: float) -> None:
    """Keep replication progress for exactly the other members of the cluster."""
    member_hosts = [member.host for member in state.log.membership.members]
    for host in tuple(state.progress):
        if host not in member_hosts:
            del state.progress[host]
    for host in member_hosts:
        if host != state.host and host not in state.progress:
            state.progress[host] = Progress(
                next_index=state.log.last_index + 1, tracked_since=now
            )


def is_reachable(state: HostState, host: str, now: float) -> bool:
    """Return whether a member acknowledged a round sent within the election timeout."""
    if host == state.host:
        return True
    progress = state.progress.get(host)
    last_contact_at = progress.last_contact_at if progress else float("-inf")
    return last_contact_at + state.settings.election_seconds > now


def add_learner(state: HostState, event: AddLearner, now: float) -> None:
    """Add a host as a learner, which receives the log without a vote."""
    reason = _find_change_error(state, now) or _find_join_error(state, event.host, now)
    if reason:
        state.outputs.refused.append(Refused(event.request_id, reason))
        return
    learner = Member(event.host, event.address, voter=False)
    members = (*state.log.membership.members, learner)
    _append_membership(state, Membership(members), event.request_id, now)


def remove_member(state: HostState, event: RemoveMember, now: float) -> None:
    """Remove a host if the remaining reachable voters still form a quorum."""
    reason = _find_change_error(state, now) or _find_removal_error(
        state, event.host, now
    )
    if reason:
        state.outputs.refused.append(Refused(event.request_id, reason))
        return
    _append_membership(
        state, _drop_member(state.log.membership, event.host), event.request_id, now
    )


def advance_membership(state: HostState, now: float) -> None:
    """Start the next membership change that replaces a lost host, if one is due.

    A learner is promoted once its log has caught up; only then its predecessor of the
    same name, whose disk is lost, is removed. If a host counted towards the quorum
    before it stores the log, the loss of one more host could lose committed entries.
    """
    if _find_change_error(state, now):
        return
    members = state.log.membership.members
    for member in members:
        if _is_replaced(state, member):
            if not _find_removal_error(state, member.host, now):
                _append_membership(
                    state, _drop_member(state.log.membership, member.host), 0, now
                )
                return
            continue
        if not member.voter and _can_promote(state, member.host, now):
            _append_membership(
                state, _promote(state.log.membership, member.host), 0, now
            )
            return
    _remove_unreachable_member(state, now)


def _remove_unreachable_member(state: HostState, now: float) -> None:
    """Remove one member that was unreachable for too long, if enough voters remain.

    A lost host that was replaced under another name still counts towards the quorum,
    so the failures that the cluster must tolerate would leave no majority. At least
    ``min_voters`` voters stay, so that a host that is only away for a while keeps its
    vote.
    """
    min_voters = state.settings.min_voters
    if not min_voters:
        return
    voters = list_voters(state.log.membership)
    for member in state.log.membership.members:
        if member.voter and len(voters) <= min_voters:
            continue
        if _is_removal_due(state, member.host, now) and not _find_removal_error(
            state, member.host, now
        ):
            _append_membership(
                state, _drop_member(state.log.membership, member.host), 0, now
            )
            return


def _is_removal_due(state: HostState, host: str, now: float) -> bool:
    progress = state.progress.get(host)
    if progress is None:
        return False
    # A learner that was just added has not had time to respond.
    last_contact_at = max(progress.last_contact_at, progress.tracked_since)
    return now - last_contact_at >= state.settings.removal_timeout_seconds


def _find_change_error(state: HostState, now: float) -> str:
    if state.role is not Role.LEADER:
        return f"not the leader; the leader is {state.leader or 'unknown'}"
    if now < state.elected_at + state.settings.election_seconds:
        return "the leader was elected just now and has yet to hear who is alive"
    if state.commit_index < state.noop_index:
        return "the leader has not committed an entry of its term"
    if state.log.membership_index > state.commit_index:
        return "another change of membership is in progress"
    return ""


def _find_join_error(state: HostState, host: str, now: float) -> str:
    for member in state.log.membership.members:
        if member.host == host:
            return "the host is a member"
        if get_host_name(member.host) == get_host_name(host) and is_reachable(
            state, member.host, now
        ):
            return f"a host of that name is alive as {member.host}"
    return ""


def _find_removal_error(state: HostState, host: str, now: float) -> str:
    if host == state.host:
        return "the leader cannot remove itself; transfer the lead first"
    if find_member(state.log.membership, host) is None:
        return "the host is no member"
    return _find_quorum_error(state, _drop_member(state.log.membership, host), now)


def _can_promote(state: HostState, host: str, now: float) -> bool:
    voters = list_voters(state.log.membership)
    if len(voters) >= state.settings.max_voters or not is_reachable(state, host, now):
        return False
    lag = state.commit_index - state.progress[host].match_index
    if (
        lag > state.settings.max_promotion_lag_entries
        or state.progress[host].match_index == 0
    ):
        return False
    return not _find_quorum_error(state, _promote(state.log.membership, host), now)


def _find_quorum_error(state: HostState, membership: Membership, now: float) -> str:
    """Return why the reachable voters form no quorum, or an empty string."""
    voters = list_voters(membership)
    reachable = sum(is_reachable(state, host, now) for host in voters)
    if reachable >= count_quorum(voters):
        return ""
    return f"only {reachable} of {len(voters)} voters would answer"


def _is_replaced(state: HostState, member: Member) -> bool:
    """Return whether a member with the same name joined later and replaces this one."""
    members = state.log.membership.members
    later = members[members.index(member) + 1 :]
    return any(
        get_host_name(other.host) == get_host_name(member.host)
        and (other.voter or not member.voter)
        for other in later
    )


def _drop_member(membership: Membership, host: str) -> Membership:
    remaining = tuple(member for member in membership.members if member.host != host)
    return Membership(remaining)


def _promote(membership: Membership, host: str) -> Membership:
    members = tuple(
        replace(member, voter=True) if member.host == host else member
        for member in membership.members
    )
    return Membership(members)


def _append_membership(
    state: HostState, membership: Membership, request_id: int, now: float
) -> None:
    index = state.log.last_index + 1
    entry = Entry(index, state.term, EntryKind.MEMBERSHIP, membership=membership)
    append_entry(state, entry)
    reconcile_progress(state, now)
    if request_id:
        state.outputs.appended.append(Appended(request_id, index, state.term))
