"""Change the members one at a time; decide when a learner becomes a voter.

Single-server changes as in section 4.1 of the Raft dissertation, with its later
correction: a leader changes nothing before an entry of its own term is committed.
"""

from dataclasses import replace

from .messages import Entry, EntryKind, Member, Membership
from .state import (
    Admit,
    Appended,
    HostState,
    Progress,
    Refused,
    Remove,
    Role,
    append_entry,
)


def name_of(host: str) -> str:
    """Return the configured name in ``name/disk``."""
    return host.partition("/")[0]


def list_voters(membership: Membership) -> tuple[str, ...]:
    """Return the hosts that count for a quorum."""
    return tuple(member.host for member in membership.members if member.voter)


def count_quorum(voters: tuple[str, ...]) -> int:
    """Return how many voters are a majority."""
    return len(voters) // 2 + 1


def find_member(membership: Membership, host: str) -> Member | None:
    """Return the member of that host, or None."""
    for member in membership.members:
        if member.host == host:
            return member
    return None


def is_voter(state: HostState, host: str) -> bool:
    """Tell whether a host has a vote in the newest membership."""
    member = find_member(state.log.membership, host)
    return member is not None and member.voter


def needs_admission(state: HostState) -> bool:
    """Tell whether this host must ask to be admitted.

    Only a committed admission counts: the leader that took the request may be deposed
    and its entry replaced, after which nobody would send this host anything.
    """
    membership = state.log.membership_at(state.commit)
    return find_member(membership, state.host) is None


def sync_progress(state: HostState, now: float) -> None:
    """Keep one progress for each other member while this host leads."""
    hosts = [member.host for member in state.log.membership.members]
    for host in tuple(state.progress):
        if host not in hosts:
            del state.progress[host]
    for host in hosts:
        if host != state.host and host not in state.progress:
            state.progress[host] = Progress(next=state.log.last_index + 1, known_at=now)


def is_heard(state: HostState, host: str, now: float) -> bool:
    """Tell whether a member answered a round sent within the election timeout."""
    if host == state.host:
        return True
    progress = state.progress.get(host)
    heard_at = progress.heard_at if progress else float("-inf")
    return heard_at + state.settings.election_seconds > now


def admit(state: HostState, event: Admit, now: float) -> None:
    """Add a host as a learner, which receives the log but has no vote."""
    reason = _find_obstacle(state, now) or _check_admission(state, event.host, now)
    if reason:
        state.out.refused.append(Refused(event.ticket, reason))
        return
    learner = Member(event.host, event.address, voter=False)
    members = (*state.log.membership.members, learner)
    _change(state, Membership(members), event.ticket, now)


def remove(state: HostState, event: Remove, now: float) -> None:
    """Take a host out when the rest keeps a quorum of hosts that answer."""
    reason = _find_obstacle(state, now) or _check_removal(state, event.host, now)
    if reason:
        state.out.refused.append(Refused(event.ticket, reason))
        return
    _change(state, _without(state.log.membership, event.host), event.ticket, now)


def plan_change(state: HostState, now: float) -> None:
    """Go one step on with the replacement of lost hosts.

    A learner that has caught up is promoted; only then its predecessor of the same
    name, whose disk is gone, leaves. Counting the new host before it has the log
    would let the next loss take accepted entries with it.
    """
    if _find_obstacle(state, now):
        return
    members = state.log.membership.members
    for member in members:
        if _is_replaced(state, member):
            if not _check_removal(state, member.host, now):
                _change(state, _without(state.log.membership, member.host), 0, now)
                return
            continue
        if not member.voter and _may_promote(state, member.host, now):
            _change(state, _promote(state.log.membership, member.host), 0, now)
            return
    _remove_silent(state, now)


def _remove_silent(state: HostState, now: float) -> None:
    """Take out a host that another one has replaced under another name.

    A host that is gone for good still counts for the quorum: with it, the losses that
    must be borne would leave no majority. At least ``kept_voters`` stay, so that a
    host which is only away for a while is never missed.
    """
    kept = state.settings.kept_voters
    if not kept:
        return
    voters = list_voters(state.log.membership)
    for member in state.log.membership.members:
        if member.voter and len(voters) <= kept:
            continue
        if _is_silent(state, member.host, now) and not _check_removal(
            state, member.host, now
        ):
            _change(state, _without(state.log.membership, member.host), 0, now)
            return


def _is_silent(state: HostState, host: str, now: float) -> bool:
    progress = state.progress.get(host)
    if progress is None:
        return False
    # A host that was admitted just now has had no time to answer.
    heard_at = max(progress.heard_at, progress.known_at)
    return now - heard_at >= state.settings.silent_seconds


def _find_obstacle(state: HostState, now: float) -> str:
    if state.role is not Role.LEADER:
        return f"not the leader; the leader is {state.leader or 'unknown'}"
    if now < state.elected_at + state.settings.election_seconds:
        return "the leader was elected just now and has yet to hear who is alive"
    if state.commit < state.barrier_index:
        return "the leader has not committed an entry of its term"
    if state.log.membership_index > state.commit:
        return "another change of membership is in progress"
    return ""


def _check_admission(state: HostState, host: str, now: float) -> str:
    for member in state.log.membership.members:
        if member.host == host:
            return "the host is a member"
        if name_of(member.host) == name_of(host) and is_heard(state, member.host, now):
            return f"a host of that name is alive as {member.host}"
    return ""


def _check_removal(state: HostState, host: str, now: float) -> str:
    if host == state.host:
        return "the leader cannot remove itself; transfer the lead first"
    if find_member(state.log.membership, host) is None:
        return "the host is no member"
    return _check_quorum(state, _without(state.log.membership, host), now)


def _may_promote(state: HostState, host: str, now: float) -> bool:
    voters = list_voters(state.log.membership)
    if len(voters) >= state.settings.max_voters or not is_heard(state, host, now):
        return False
    lag = state.commit - state.progress[host].match
    if lag > state.settings.catch_up_entries or state.progress[host].match == 0:
        return False
    return not _check_quorum(state, _promote(state.log.membership, host), now)


def _check_quorum(state: HostState, membership: Membership, now: float) -> str:
    """Refuse a membership whose quorum the hosts that answer now do not make."""
    voters = list_voters(membership)
    heard = sum(is_heard(state, host, now) for host in voters)
    if heard >= count_quorum(voters):
        return ""
    return f"only {heard} of {len(voters)} voters would answer"


def _is_replaced(state: HostState, member: Member) -> bool:
    """Tell whether a later member of the same name can stand in for this one."""
    members = state.log.membership.members
    later = members[members.index(member) + 1 :]
    return any(
        name_of(other.host) == name_of(member.host)
        and (other.voter or not member.voter)
        for other in later
    )


def _without(membership: Membership, host: str) -> Membership:
    kept = tuple(member for member in membership.members if member.host != host)
    return Membership(kept)


def _promote(membership: Membership, host: str) -> Membership:
    members = tuple(
        replace(member, voter=True) if member.host == host else member
        for member in membership.members
    )
    return Membership(members)


def _change(state: HostState, membership: Membership, ticket: int, now: float) -> None:
    index = state.log.last_index + 1
    entry = Entry(index, state.term, EntryKind.MEMBERSHIP, membership=membership)
    append_entry(state, entry)
    sync_progress(state, now)
    if ticket:
        state.out.appended.append(Appended(ticket, index, state.term))
