"""Show the state of the replicated log for the dump and the metrics."""

from typing import Any

from ...coordination.consensus import has_fresh_quorum
from .replicated_log import ReplicatedLog, read_clock


def dump_log(log: ReplicatedLog) -> dict[str, Any]:
    """Return the state as plain values."""
    driver, state, now = log.driver, log.driver.state, read_clock()
    return {
        "host": driver.host,
        "cluster": state.hard.cluster,
        "term": state.term,
        "role": str(state.role),
        "leader": state.leader,
        "has_fresh_quorum": has_fresh_quorum(state, now),
        "commit": state.commit,
        "applied": driver.applied,
        "first_index": state.log.base.index + 1,
        "last_index": state.log.last_index,
        "snapshot_index": state.snapshot.index if state.snapshot else 0,
        "snapshot_bytes": len(state.snapshot.data) if state.snapshot else 0,
        "members": [_dump_member(log, member.host, now) for member in _members(log)],
        "waiting": log.count_waiting(),
        "syncs": driver.syncs,
        "snapshots": driver.snapshots,
        "sent_bytes": log.links.count_sent_bytes(),
        "lost_envelopes": log.links.count_lost(),
    }


def list_figures(log: ReplicatedLog) -> list[tuple[str, str, float]]:
    """Return name, kind and value of each metric."""
    driver, state = log.driver, log.driver.state
    return [
        ("consensus_term", "gauge", state.term),
        ("consensus_is_leader", "gauge", float(log.is_leading())),
        ("consensus_commit_index", "gauge", state.commit),
        ("consensus_applied_index", "gauge", driver.applied),
        ("consensus_members", "gauge", len(_members(log))),
        ("consensus_waiting_proposals", "gauge", log.count_waiting()),
        ("consensus_syncs_total", "counter", driver.syncs),
        ("consensus_snapshots_total", "counter", driver.snapshots),
        ("consensus_sent_bytes_total", "counter", log.links.count_sent_bytes()),
        ("consensus_lost_envelopes_total", "counter", log.links.count_lost()),
    ]


def _members(log: ReplicatedLog) -> tuple[Any, ...]:
    return log.driver.state.log.membership.members


def _dump_member(log: ReplicatedLog, host: str, now: float) -> dict[str, Any]:
    state = log.driver.state
    member = next(found for found in _members(log) if found.host == host)
    progress = state.progress.get(host)
    shown: dict[str, Any] = {"host": host, "voter": member.voter}
    if progress is not None:
        shown["match"] = progress.match
        shown["silent_seconds"] = round(min(now - progress.heard_at, 1e6), 3)
    return shown
