"""Execute the outputs of the consensus state: write, send, sync, apply, answer.

The driver uses no sockets and no tasks, so tests run it on an in-memory folder and
crash it at any write.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success

from ...coordination.consensus import (
    Compact,
    ConsensusSettings,
    Entry,
    EntryKind,
    Envelope,
    NotAccepted,
    OutcomeUnknown,
    Outputs,
    Role,
    Snapshot,
    Synced,
    collect,
    handle,
    make_state,
)
from ...coordination.consensus.state import Event, Refused
from ...exceptions import Fault
from ...helpers.logging import log_event
from ..storage.store import Batch, LogStore, RecoveredState

SNAPSHOT_INTERVAL_ENTRIES = 1_000
SNAPSHOT_WAL_BYTES = 16 * 1024 * 1024
MAX_KEPT_TIMINGS = 8_192
# Request id for which no caller waits.
NO_REQUEST_ID = 0


@dataclass(frozen=True, slots=True)
class StateMachine:
    """Callbacks of a deterministic state machine.

    ``apply`` must return the same reply on every host and must not raise.
    """

    apply: Callable[[int, bytes], bytes]
    take_snapshot: Callable[[], bytes]
    restore: Callable[[bytes], None]


@dataclass(frozen=True, slots=True)
class ProposalTiming:
    """Latency of one committed proposal by stage, in seconds."""

    sync: float
    quorum: float
    apply: float


@dataclass(slots=True)
class PendingProposal:
    """Proposal made on this host whose entry is not committed yet."""

    request_id: int
    term: int
    appended_at: float
    synced_at: float = 0.0


AnswerCallback = Callable[[int, Result[Any, Fault]], None]


class Driver:
    """Drive the consensus state of one host and its log store.

    ``random_fraction`` returns a float in [0, 1), ``send`` queues an envelope without
    blocking, ``answer`` completes the request with the given id, ``clock`` returns
    seconds and only feeds the latency figures.
    """

    def __init__(
        self,
        store: LogStore,
        recovered: RecoveredState,
        machine: StateMachine,
        settings: ConsensusSettings,
        random_fraction: Callable[[], float],
        send: Callable[[Envelope], None],
        answer: AnswerCallback,
        clock: Callable[[], float],
        snapshot_entries: int = SNAPSHOT_INTERVAL_ENTRIES,
    ) -> None:
        identity = recovered.identity
        self.host = f"{identity.name}/{identity.disk}"
        self.state = make_state(
            self.host,
            settings,
            random_fraction,
            clock(),
            recovered.hard_state,
            recovered.base,
            recovered.entries,
            recovered.snapshot,
        )
        self.applied_index = 0
        self.sync_count = 0
        self.snapshot_count = 0
        self.timings: deque[ProposalTiming] = deque(maxlen=MAX_KEPT_TIMINGS)
        self._store = store
        self._machine = machine
        self._send = send
        self._answer = answer
        self._clock = clock
        self._snapshot_entries = snapshot_entries
        self._pending_proposals: dict[int, PendingProposal] = {}
        self._pending_reads: list[tuple[int, int]] = []
        self._logged_role: tuple[Any, ...] = ()
        self._logged_refusal = ""
        if recovered.snapshot is not None:
            self._restore(recovered.snapshot)

    def step(self, events: list[Event], now: float) -> None:
        """Process a batch of events; one sync covers all writes they cause."""
        for event in events:
            handle(self.state, event, now)
        outputs = collect(self.state, now)
        while _has_work(outputs):
            self._execute(outputs, now)
            outputs = collect(self.state, now)
        # A confirmation can commit an entry without producing any other output.
        self._apply()
        self._compact_if_due(now)
        self._log_role_change()

    def _execute(self, outputs: Outputs, now: float) -> None:
        self._track_proposals(outputs)
        has_written = self._write(outputs)
        for envelope in outputs.messages:
            self._send(envelope)
        if has_written:
            self._sync(now)
        for envelope in outputs.messages_after_sync:
            self._send(envelope)
        for rejection in outputs.refused:
            self._reject(rejection)
        self._pending_reads += [
            (ready.index, ready.request_id) for ready in outputs.ready_reads
        ]

    def _reject(self, rejection: Refused) -> None:
        fault = NotAccepted("take request", "", rejection.reason)
        self._answer(rejection.request_id, Failure(fault))
        if (
            rejection.request_id == NO_REQUEST_ID
            and rejection.reason != self._logged_refusal
        ):
            self._logged_refusal = rejection.reason
            log_event("host_not_admitted", reason=rejection.reason)

    def _track_proposals(self, outputs: Outputs) -> None:
        for appended in outputs.appended:
            pending = PendingProposal(appended.request_id, appended.term, self._clock())
            self._pending_proposals[appended.index] = pending

    def _write(self, outputs: Outputs) -> bool:
        if outputs.installed_snapshot is not None:
            # The in-memory log includes the entries of this batch; saving the snapshot
            # rewrites it in full.
            self._save(outputs.installed_snapshot)
            self._restore(outputs.installed_snapshot)
            return True
        if outputs.hard_state is None and not outputs.entries:
            return False
        self._store.write(Batch(self.state.hard_state, tuple(outputs.entries)))
        return True

    def _sync(self, now: float) -> None:
        log = self.state.log
        synced = Synced(log.last_index, log.last_term)
        self._store.sync()
        self.sync_count += 1
        synced_at = self._clock()
        for pending in self._pending_proposals.values():
            pending.synced_at = pending.synced_at or synced_at
        handle(self.state, synced, now)

    def _apply(self) -> None:
        committed_at = self._clock()
        while self.applied_index < self.state.commit_index:
            entry = self.state.log.get(self.applied_index + 1)
            reply = b""
            if entry.kind is EntryKind.COMMAND:
                reply = self._machine.apply(entry.index, entry.command)
            elif entry.membership is not None:
                _log_membership(entry)
            self.applied_index = entry.index
            self._complete_proposal(entry, reply, committed_at)
        ready = [
            request_id
            for index, request_id in self._pending_reads
            if index <= self.applied_index
        ]
        self._pending_reads = [
            pair for pair in self._pending_reads if pair[0] > self.applied_index
        ]
        for request_id in ready:
            self._answer(request_id, Success(self.applied_index))

    def _complete_proposal(
        self, entry: Entry, reply: bytes, committed_at: float
    ) -> None:
        pending = self._pending_proposals.pop(entry.index, None)
        if pending is None:
            return
        if pending.term != entry.term:
            # Another entry was committed at this index, so this one never will be.
            reason = "another leader replaced the entry"
            fault = NotAccepted("propose", "", reason)
            self._answer(pending.request_id, Failure(fault))
            return
        synced_at = pending.synced_at or committed_at
        timing = ProposalTiming(
            synced_at - pending.appended_at,
            max(0.0, committed_at - synced_at),
            self._clock() - committed_at,
        )
        self.timings.append(timing)
        self._answer(pending.request_id, Success(reply))

    def _restore(self, snapshot: Snapshot) -> None:
        self._machine.restore(snapshot.data)
        self.applied_index = snapshot.index
        for index in [
            pending_index
            for pending_index in self._pending_proposals
            if pending_index <= snapshot.index
        ]:
            reason = "a snapshot covers the entry"
            fault = OutcomeUnknown("propose", "", reason)
            self._answer(self._pending_proposals.pop(index).request_id, Failure(fault))

    def _compact_if_due(self, now: float) -> None:
        state = self.state
        snapshot_index = state.snapshot.index if state.snapshot else 0
        entries = self.applied_index - snapshot_index
        is_wal_large = self._store.wal_bytes >= SNAPSHOT_WAL_BYTES and entries > 0
        if entries < self._snapshot_entries and not is_wal_large:
            return
        snapshot = Snapshot(
            self.applied_index,
            state.log.term_at(self.applied_index) or 0,
            state.log.membership_at(self.applied_index),
            self._machine.take_snapshot(),
        )
        handle(state, Compact(snapshot), now)
        self._save(snapshot)
        self.snapshot_count += 1
        log_event("snapshot_saved", index=snapshot.index, bytes=len(snapshot.data))

    def _save(self, snapshot: Snapshot) -> None:
        log = self.state.log
        self._store.save_snapshot(
            snapshot, self.state.hard_state, log.base, log.entries()
        )

    def _log_role_change(self) -> None:
        state = self.state
        current = (state.term, state.role, state.leader)
        if current != self._logged_role and state.role in (Role.FOLLOWER, Role.LEADER):
            self._logged_role = current
            log_event(
                "consensus_role",
                host=self.host,
                term=state.term,
                role=state.role,
                leader=state.leader,
            )


def _has_work(outputs: Outputs) -> bool:
    return bool(
        outputs.hard_state
        or outputs.entries
        or outputs.installed_snapshot
        or outputs.messages
        or outputs.messages_after_sync
        or outputs.appended
        or outputs.refused
        or outputs.ready_reads
    )


def _log_membership(entry: Entry) -> None:
    members = entry.membership.members if entry.membership else ()
    voters = ",".join(member.host for member in members if member.voter)
    learners = ",".join(member.host for member in members if not member.voter)
    log_event(
        "membership_changed",
        index=entry.index,
        voters=voters,
        learners=learners or "-",
    )
