"""Handle requests that read or change records."""

from typing import Any, Final

import grpc
from returns.result import Result

from ...coordination.records.commands import (
    ChangeOutcome,
    ChangeRecords,
    RecordChange,
)
from ...coordination.records.documents import parse_document
from ...coordination.records.record_set import StoredRecord
from ...exceptions import Fault
from ...helpers.clock import read_wall_clock
from ...protocol.messages import (
    ApplyReply,
    ApplyRequest,
    ListedRecord,
    ListReply,
    ListRequest,
    RecordOutcome,
)
from ...protocol.records import HistoryReply, HistoryRequest
from .host import ControlHost, hash_token

MAX_DOCUMENTS: Final = 1_000
MAX_OPERATION_CHARACTERS: Final = 128


class RecordHandler:
    """Handle requests about records; stateless."""

    def __init__(self, host: ControlHost) -> None:
        self._host = host

    def apply(self, request: ApplyRequest, context: Any) -> ApplyReply:
        """Apply changes of records, all or none of them."""
        if error := _find_request_error(request):
            fault = Fault("apply records", "", error)
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(fault))
        store = self._host.state.store
        parsed = [parse_document(text) for text in request.documents]
        if any(result.swap().value_or(None) for result in parsed):
            return ApplyReply(_make_parse_outcomes(parsed), store.revision)
        outcome = self._change(request, parsed, context)
        results = tuple(
            RecordOutcome(result.name, result.revision, result.error)
            for result in outcome.results
        )
        return ApplyReply(results, outcome.revision)

    def list_records(self, request: ListRequest, context: Any) -> ListReply:
        """Return the current records."""
        self._host.wait_for_read_barrier(context)
        store = self._host.state.store
        stored_records = store.list_records(request.business)
        return ListReply(
            tuple(_make_listed_record(stored) for stored in stored_records),
            store.revision,
        )

    def list_history(self, request: HistoryRequest, context: Any) -> HistoryReply:
        """Return the latest changes."""
        self._host.wait_for_read_barrier(context)
        store = self._host.state.store
        entries = store.history.list_entries(request.business)
        return HistoryReply(entries, store.revision)

    def _change(
        self,
        request: ApplyRequest,
        parsed: list[Result[RecordChange, Fault]],
        context: Any,
    ) -> ChangeOutcome:
        command = ChangeRecords(
            operation=request.operation,
            token_hash=hash_token(request.token),
            admin=self._host.is_admin(request.token),
            now=read_wall_clock(),
            changes=tuple(result.unwrap() for result in parsed),
        )
        store = self._host.state.store
        if cached_outcome := store.outcome_cache.find(command):
            return cached_outcome
        if not self._host.is_leader():
            # A lagging follower might reject a token that was granted just before.
            self._host.wait_for_read_barrier(context)
        outcome = store.precheck(command)
        if outcome is not None:
            return outcome
        return self._host.propose(command, ChangeOutcome, context)


def _find_request_error(request: ApplyRequest) -> str:
    if not 0 < len(request.operation) <= MAX_OPERATION_CHARACTERS:
        count = len(request.operation)
        return (
            f"key operation: found {count} characters, "
            f"expected 1-{MAX_OPERATION_CHARACTERS}"
        )
    if not 0 < len(request.documents) <= MAX_DOCUMENTS:
        count = len(request.documents)
        return f"key documents: found {count} records, expected 1-{MAX_DOCUMENTS}"
    return ""


def _make_parse_outcomes(
    parsed: list[Result[RecordChange, Fault]],
) -> tuple[RecordOutcome, ...]:
    not_applied = "not applied: another record of the request is malformed"
    return tuple(
        RecordOutcome("", 0, fault.reason)
        if (fault := result.swap().value_or(None))
        else RecordOutcome(result.unwrap().name, 0, not_applied)
        for result in parsed
    )


def _make_listed_record(stored: StoredRecord) -> ListedRecord:
    record = stored.record
    return ListedRecord(
        record.kind,
        record.business,
        record.name,
        record.schema_version,
        record.revision,
        stored.document,
    )
