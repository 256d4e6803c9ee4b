"""Show the state of the replicated log for the dump and the metrics."""

from typing import Any

from ...coordination.consensus import has_fresh_quorum
from ...helpers.samples import Sample, SampleKind
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


def list_samples(log: ReplicatedLog) -> list[Sample]:
    """Return the metrics, labelled with the name of the control host."""
    driver, state = log.driver, log.driver.state
    gauges = {
        "ibisshunt_consensus_term": state.term,
        "ibisshunt_consensus_is_leader": int(log.is_leading()),
        "ibisshunt_consensus_commit_index": state.commit,
        "ibisshunt_consensus_applied_index": driver.applied,
        "ibisshunt_consensus_members": len(_members(log)),
        "ibisshunt_consensus_waiting_requests": log.count_waiting(),
    }
    counters = {
        "ibisshunt_consensus_syncs_total": driver.syncs,
        "ibisshunt_consensus_snapshots_total": driver.snapshots,
        "ibisshunt_consensus_sent_bytes_total": log.links.count_sent_bytes(),
        "ibisshunt_consensus_lost_envelopes_total": log.links.count_lost(),
    }
    labels = {"host": log.settings.name}
    found = [Sample(n, SampleKind.GAUGE, labels, v) for n, v in gauges.items()]
    return found + [
        Sample(n, SampleKind.COUNTER, labels, v) for n, v in counters.items()
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
