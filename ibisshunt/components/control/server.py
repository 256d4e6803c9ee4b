"""Answer operators, balancers and agents."""

import hashlib
import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final

import grpc
from returns.result import Result

from ...const import HEARTBEAT_SECONDS, LEASE_SECONDS, RPC_TIMEOUT_SECONDS
from ...coordination.records.commands import (
    AnnounceTarget,
    ChangeOutcome,
    ChangeRecords,
    Command,
    RecordChange,
    TargetOutcome,
    encode_command,
)
from ...coordination.records.documents import parse_document
from ...coordination.records.draft import StoredRecord
from ...coordination.records.targets import find_session
from ...exceptions import Fault
from ...helpers.logging import log_event
from ...model.configuration import ConfigurationUpdate
from ...model.target import Announcement, TargetState
from ...protocol.codec import decode
from ...protocol.messages import (
    AnnounceReply,
    AnnounceRequest,
    ApplyReply,
    ApplyRequest,
    ListedRecord,
    ListReply,
    ListRequest,
    NodeStatus,
    RecordOutcome,
    ReportReply,
    ReportRequest,
    StatusReply,
    StatusRequest,
    TargetStatus,
    WatchRequest,
)
from ...settings import ControlSettings
from .log import Log
from .state import ControlState

MAX_DOCUMENTS: Final = 1_000


@dataclass(frozen=True, slots=True)
class Report:
    """Hold what a node reported, and when by the monotonic clock."""

    role: str
    revision: int
    received: float


class ControlServer:
    """Own the requests to one control host."""

    def __init__(
        self, settings: ControlSettings, state: ControlState, log: Log
    ) -> None:
        self.address = settings.rpc
        self._settings = settings
        self._state = state
        self._log = log
        self._reports: dict[str, Report] = {}
        self._flows: dict[int, int] = {}
        self._stopping = False

    def apply(self, request: ApplyRequest, context: Any) -> ApplyReply:
        """Accept changes of records, all or none."""
        store = self._state.store
        if not request.operation:
            _abort(context, Fault("apply", "", "key operation: expected an id"))
        if not 0 < len(request.documents) <= MAX_DOCUMENTS:
            reason = f"found {len(request.documents)} documents, 1-{MAX_DOCUMENTS}"
            _abort(context, Fault("apply", "", f"{reason} expected"))
        parsed = [parse_document(text) for text in request.documents]
        if any(result.swap().value_or(None) for result in parsed):
            return ApplyReply(_explain_faults(parsed), store.revision)
        command = ChangeRecords(
            operation=request.operation,
            token_hash=hash_token(request.token),
            admin=self._is_admin(request.token),
            now=time.time(),
            changes=tuple(result.unwrap() for result in parsed),
        )
        outcome = store.precheck(command)
        if outcome is None:
            outcome = self._propose(command, ChangeOutcome, context)
        results = tuple(
            RecordOutcome(result.name, result.revision, result.error)
            for result in outcome.results
        )
        return ApplyReply(results, outcome.revision)

    def list_records(self, request: ListRequest, context: Any) -> ListReply:
        """Return the records as they are now."""
        self._pass_barrier(context)
        store = self._state.store
        found = store.list_records(request.business)
        return ListReply(
            tuple(_show_record(stored) for stored in found), store.revision
        )

    def watch(
        self, request: WatchRequest, context: Any
    ) -> Iterator[ConfigurationUpdate]:
        """Yield a snapshot or delta, then each change, and heartbeats between them."""
        # A host cut off from the others holds an old configuration without knowing.
        # A node with empty memory could not tell: only a fresh quorum may serve it.
        self._pass_barrier(context)
        services = frozenset(request.services)
        since = request.since
        while not self._stopping and context.is_active():
            update = self._state.sender.make_update(since, services)
            yield update
            since = max(since, update.revision)
            self._state.wait_beyond(since, HEARTBEAT_SECONDS)

    def announce(self, request: AnnounceRequest, context: Any) -> AnnounceReply:
        """Admit a target or renew its lease."""
        found = self._find_unchanged(request)
        if found:
            self._flows[found] = request.flows
            return AnnounceReply(found, LEASE_SECONDS)
        command = AnnounceTarget(request.announcement, request.leaving, time.time())
        outcome = self._propose(command, TargetOutcome, context)
        if outcome.error:
            return AnnounceReply(0, 0.0, outcome.error)
        self._flows[outcome.incarnation] = request.flows
        return AnnounceReply(outcome.incarnation, LEASE_SECONDS)

    def report(self, request: ReportRequest, context: Any) -> ReportReply:
        """Note the revision that a node has in force."""
        report = Report(request.role, request.revision, time.monotonic())
        self._reports[request.node] = report
        return ReportReply(self._state.store.revision)

    def tell_status(self, request: StatusRequest, context: Any) -> StatusReply:
        """Return the state of the whole system."""
        now = time.monotonic()
        store = self._state.store
        return StatusReply(
            revision=store.revision,
            leader=self._log.leader(),
            services=tuple(
                f"{found.service.business}/{found.service.name}"
                for found in store.slices.values()
            ),
            targets=tuple(
                TargetStatus(
                    f"{found.service.business}/{found.service.name}",
                    target.name,
                    target.state.value,
                    target.incarnation,
                    self._flows.get(target.incarnation, 0),
                )
                for found in store.slices.values()
                for target in found.targets
            ),
            nodes=tuple(
                NodeStatus(node, found.role, found.revision, now - found.received)
                for node, found in sorted(self._reports.items())
            ),
        )

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        store = self._state.store
        return {
            "leader": self._log.leader(),
            "revision": store.revision,
            "records": len(store.draft.records),
            "targets": sum(len(found) for found in store.targets.values()),
            "nodes": {node: found.revision for node, found in self._reports.items()},
        }

    def stop(self) -> None:
        """End the watch streams."""
        self._stopping = True

    def _find_unchanged(self, request: AnnounceRequest) -> int:
        """Return the incarnation if the announcement changes nothing, else 0."""
        announced: Announcement = request.announcement
        key = (announced.business, announced.service)
        target = find_session(self._state.store.targets.get(key, ()), announced)
        if target is None or target.announcement != announced:
            return 0
        wanted = TargetState.LEAVING if request.leaving else TargetState.READY
        final = target.state == TargetState.LEAVING
        return target.incarnation if final or target.state == wanted else 0

    def _is_admin(self, token: str) -> bool:
        wanted = self._settings.admin_token_hash
        return not wanted or hash_token(token) == wanted

    def _pass_barrier(self, context: Any) -> None:
        barrier = self._log.read_barrier(RPC_TIMEOUT_SECONDS)
        if fault := barrier.swap().value_or(None):
            _abort(context, fault)

    def _propose(self, command: Command, kind: Any, context: Any) -> Any:
        reply = self._log.propose(encode_command(command), RPC_TIMEOUT_SECONDS)
        if fault := reply.swap().value_or(None):
            log_event("propose_failed", step=fault.step, reason=fault.reason)
            _abort(context, fault)
        return decode(reply.unwrap(), kind).unwrap()


def hash_token(token: str) -> str:
    """Return the SHA-256 of a token in hexadecimal, "" for none."""
    return hashlib.sha256(token.encode()).hexdigest() if token else ""


def _explain_faults(
    parsed: list[Result[RecordChange, Fault]],
) -> tuple[RecordOutcome, ...]:
    undone = "not applied: another record of the request is malformed"
    return tuple(
        RecordOutcome("", 0, fault.reason)
        if (fault := result.swap().value_or(None))
        else RecordOutcome(result.unwrap().name, 0, undone)
        for result in parsed
    )


def _show_record(stored: StoredRecord) -> ListedRecord:
    record = stored.record
    return ListedRecord(
        record.kind,
        record.business,
        record.name,
        record.schema_version,
        record.revision,
        stored.document,
    )


def _abort(context: Any, fault: Fault) -> None:
    context.abort(grpc.StatusCode.UNAVAILABLE, str(fault))
