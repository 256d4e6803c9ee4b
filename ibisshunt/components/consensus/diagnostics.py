"""Report the state of the replicated log in the dump and the metrics."""

from typing import Any

from ...coordination.consensus import has_fresh_quorum
from ...helpers.samples import Sample, SampleKind
from .replicated_log import ReplicatedLog, read_monotonic_clock


def dump_log(log: ReplicatedLog) -> dict[str, Any]:
    """Return the state as plain values."""
    driver, state, now = log.driver, log.driver.state, read_monotonic_clock()
    return {
        "host": driver.host,
        "cluster": state.hard_state.cluster,
        "term": state.term,
        "role": str(state.role),
        "leader": state.leader,
        "has_fresh_quorum": has_fresh_quorum(state, now),
        "commit": state.commit_index,
        "applied": driver.applied_index,
        "first_index": state.log.base.index + 1,
        "last_index": state.log.last_index,
        "snapshot_index": state.snapshot.index if state.snapshot else 0,
        "snapshot_bytes": len(state.snapshot.data) if state.snapshot else 0,
        "members": [
            _dump_member(log, member.host, now) for member in _list_members(log)
        ],
        "waiting": log.count_pending_requests(),
        "syncs": driver.sync_count,
        "snapshots": driver.snapshot_count,
        "sent_bytes": log.links.count_sent_bytes(),
        "lost_envelopes": log.links.count_lost_envelopes(),
    }


def list_samples(log: ReplicatedLog) -> list[Sample]:
    """Return the metrics, labelled with the name of the control host."""
    driver, state = log.driver, log.driver.state
    gauges = {
        "ibisshunt_consensus_term": state.term,
        "ibisshunt_consensus_is_leader": int(log.is_leading()),
        "ibisshunt_consensus_commit_index": state.commit_index,
        "ibisshunt_consensus_applied_index": driver.applied_index,
        "ibisshunt_consensus_members": len(_list_members(log)),
        "ibisshunt_consensus_waiting_requests": log.count_pending_requests(),
    }
    counters = {
        "ibisshunt_consensus_syncs_total": driver.sync_count,
        "ibisshunt_consensus_snapshots_total": driver.snapshot_count,
        "ibisshunt_consensus_sent_bytes_total": log.links.count_sent_bytes(),
        "ibisshunt_consensus_lost_envelopes_total": log.links.count_lost_envelopes(),
    }
    labels = {"host": log.settings.name}
    samples = [
        Sample(name, SampleKind.GAUGE, labels, value) for name, value in gauges.items()
    ]
    return samples + [
        Sample(name, SampleKind.COUNTER, labels, value)
        for name, value in counters.items()
    ]


def _list_members(log: ReplicatedLog) -> tuple[Any, ...]:
    return log.driver.state.log.membership.members


def _dump_member(log: ReplicatedLog, host: str, now: float) -> dict[str, Any]:
    state = log.driver.state
    member = next(member for member in _list_members(log) if member.host == host)
    progress = state.progress.get(host)
    values: dict[str, Any] = {"host": host, "voter": member.voter}
    if progress is not None:
        values["match"] = progress.match_index
        values["silent_seconds"] = round(min(now - progress.last_contact_at, 1e6), 3)
    return values
