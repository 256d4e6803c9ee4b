"""Carry out what the decisions ask for: write, send, sync, apply, answer.

The driver knows no socket and no task, so tests run it on a folder in memory and stop
it at any write.
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
from ..storage.store import Batch, Recovered, Store

SNAPSHOT_ENTRIES = 1_000
SNAPSHOT_BYTES = 16 * 1024 * 1024
KEPT_TIMINGS = 8_192
# Ticket of a request that no caller waits for.
NO_TICKET = 0


@dataclass(frozen=True, slots=True)
class StateMachine:
    """Hold the closures of a deterministic state machine.

    ``apply`` must give the same reply on every host and must not raise.
    """

    apply: Callable[[int, bytes], bytes]
    take_snapshot: Callable[[], bytes]
    restore: Callable[[bytes], None]


@dataclass(frozen=True, slots=True)
class ProposalTiming:
    """Hold the parts of one accepted proposal's latency, in seconds."""

    sync: float
    quorum: float
    apply: float


@dataclass(slots=True)
class Pending:
    """Hold a proposal of this host that is in its log but not committed."""

    ticket: int
    term: int
    appended_at: float
    synced_at: float = 0.0


Answer = Callable[[int, Result[Any, Fault]], None]


class Driver:
    """Own the state of one host and its store.

    ``deliver`` sends an envelope without waiting, ``answer`` resolves a ticket,
    ``clock`` returns seconds and is used for figures only.
    """

    def __init__(
        self,
        store: Store,
        recovered: Recovered,
        machine: StateMachine,
        settings: ConsensusSettings,
        draw: Callable[[], float],
        deliver: Callable[[Envelope], None],
        answer: Answer,
        clock: Callable[[], float],
        snapshot_entries: int = SNAPSHOT_ENTRIES,
    ) -> None:
        identity = recovered.identity
        self.host = f"{identity.name}/{identity.disk}"
        self.state = make_state(
            self.host,
            settings,
            draw,
            clock(),
            recovered.hard,
            recovered.base,
            recovered.entries,
            recovered.snapshot,
        )
        self.applied = 0
        self.syncs = 0
        self.snapshots = 0
        self.timings: deque[ProposalTiming] = deque(maxlen=KEPT_TIMINGS)
        self._store = store
        self._machine = machine
        self._deliver = deliver
        self._answer = answer
        self._clock = clock
        self._snapshot_entries = snapshot_entries
        self._pending: dict[int, Pending] = {}
        self._reads: list[tuple[int, int]] = []
        self._seen: tuple[Any, ...] = ()
        self._told = ""
        if recovered.snapshot is not None:
            self._restore(recovered.snapshot)

    def step(self, events: list[Event], now: float) -> None:
        """Take a batch of events; one sync covers everything they ask for."""
        for event in events:
            handle(self.state, event, now)
        out = collect(self.state, now)
        while _has_work(out):
            self._carry_out(out, now)
            out = collect(self.state, now)
        # A confirmation can commit an entry without asking for anything else.
        self._apply()
        self._compact_if_due(now)
        self._log_changes()

    def _carry_out(self, out: Outputs, now: float) -> None:
        self._register(out)
        wrote = self._write(out)
        for envelope in out.messages:
            self._deliver(envelope)
        if wrote:
            self._sync(now)
        for envelope in out.promises:
            self._deliver(envelope)
        for refused in out.refused:
            self._refuse(refused)
        self._reads += [(ready.index, ready.ticket) for ready in out.reads]

    def _refuse(self, refused: Refused) -> None:
        fault = NotAccepted("take request", "", refused.reason)
        self._answer(refused.ticket, Failure(fault))
        if refused.ticket == NO_TICKET and refused.reason != self._told:
            self._told = refused.reason
            log_event("host_not_admitted", reason=refused.reason)

    def _register(self, out: Outputs) -> None:
        for appended in out.appended:
            pending = Pending(appended.ticket, appended.term, self._clock())
            self._pending[appended.index] = pending

    def _write(self, out: Outputs) -> bool:
        if out.installed is not None:
            # The log in memory holds all that this batch appended; it is written
            # whole behind the snapshot.
            self._save(out.installed)
            self._restore(out.installed)
            return True
        if out.hard is None and not out.entries:
            return False
        self._store.write(Batch(self.state.hard, tuple(out.entries)))
        return True

    def _sync(self, now: float) -> None:
        log = self.state.log
        synced = Synced(log.last_index, log.last_term)
        self._store.sync()
        self.syncs += 1
        synced_at = self._clock()
        for pending in self._pending.values():
            pending.synced_at = pending.synced_at or synced_at
        handle(self.state, synced, now)

    def _apply(self) -> None:
        committed_at = self._clock()
        while self.applied < self.state.commit:
            entry = self.state.log.get(self.applied + 1)
            reply = b""
            if entry.kind is EntryKind.COMMAND:
                reply = self._machine.apply(entry.index, entry.command)
            elif entry.membership is not None:
                _log_membership(entry)
            self.applied = entry.index
            self._settle(entry, reply, committed_at)
        ready = [ticket for index, ticket in self._reads if index <= self.applied]
        self._reads = [pair for pair in self._reads if pair[0] > self.applied]
        for ticket in ready:
            self._answer(ticket, Success(self.applied))

    def _settle(self, entry: Entry, reply: bytes, committed_at: float) -> None:
        pending = self._pending.pop(entry.index, None)
        if pending is None:
            return
        if pending.term != entry.term:
            # Another entry was committed in its place: it never can be.
            reason = "another leader replaced the entry"
            fault = NotAccepted("propose", "", reason)
            self._answer(pending.ticket, Failure(fault))
            return
        synced_at = pending.synced_at or committed_at
        timing = ProposalTiming(
            synced_at - pending.appended_at,
            max(0.0, committed_at - synced_at),
            self._clock() - committed_at,
        )
        self.timings.append(timing)
        self._answer(pending.ticket, Success(reply))

    def _restore(self, snapshot: Snapshot) -> None:
        self._machine.restore(snapshot.data)
        self.applied = snapshot.index
        for index in [found for found in self._pending if found <= snapshot.index]:
            reason = "a snapshot covers the entry"
            fault = OutcomeUnknown("propose", "", reason)
            self._answer(self._pending.pop(index).ticket, Failure(fault))

    def _compact_if_due(self, now: float) -> None:
        state = self.state
        covered = state.snapshot.index if state.snapshot else 0
        entries = self.applied - covered
        large = self._store.log_bytes >= SNAPSHOT_BYTES and entries > 0
        if entries < self._snapshot_entries and not large:
            return
        snapshot = Snapshot(
            self.applied,
            state.log.term_at(self.applied) or 0,
            state.log.membership_at(self.applied),
            self._machine.take_snapshot(),
        )
        handle(state, Compact(snapshot), now)
        self._save(snapshot)
        self.snapshots += 1
        log_event("snapshot_saved", index=snapshot.index, bytes=len(snapshot.data))

    def _save(self, snapshot: Snapshot) -> None:
        log = self.state.log
        self._store.save_snapshot(snapshot, self.state.hard, log.base, log.entries())

    def _log_changes(self) -> None:
        state = self.state
        seen = (state.term, state.role, state.leader)
        if seen != self._seen and state.role in (Role.FOLLOWER, Role.LEADER):
            self._seen = seen
            log_event(
                "consensus_role",
                host=self.host,
                term=state.term,
                role=state.role,
                leader=state.leader,
            )


def _has_work(out: Outputs) -> bool:
    return bool(
        out.hard
        or out.entries
        or out.installed
        or out.messages
        or out.promises
        or out.appended
        or out.refused
        or out.reads
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
