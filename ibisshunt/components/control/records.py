"""Answer operators who write and read records."""

from typing import Any, Final

import grpc
from returns.result import Result

from ...coordination.records.commands import (
    ChangeOutcome,
    ChangeRecords,
    RecordChange,
)
from ...coordination.records.documents import parse_document
from ...coordination.records.draft import StoredRecord
from ...exceptions import Fault
from ...helpers.clock import read_shared_clock
from ...protocol.messages import (
    ApplyReply,
    ApplyRequest,
    ListedRecord,
    ListReply,
    ListRequest,
    RecordOutcome,
)
from ...protocol.records import HistoryReply, HistoryRequest
from .host import Host, hash_token

MAX_DOCUMENTS: Final = 1_000
MAX_OPERATION_CHARACTERS: Final = 128


class RecordHandler:
    """Answer requests about records; it keeps no state of its own."""

    def __init__(self, host: Host) -> None:
        self._host = host

    def apply(self, request: ApplyRequest, context: Any) -> ApplyReply:
        """Accept changes of records, all or none."""
        if error := _find_error(request):
            fault = Fault("apply records", "", error)
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(fault))
        store = self._host.state.store
        parsed = [parse_document(text) for text in request.documents]
        if any(result.swap().value_or(None) for result in parsed):
            return ApplyReply(_explain_faults(parsed), store.revision)
        outcome = self._change(request, parsed, context)
        results = tuple(
            RecordOutcome(result.name, result.revision, result.error)
            for result in outcome.results
        )
        return ApplyReply(results, outcome.revision)

    def list_records(self, request: ListRequest, context: Any) -> ListReply:
        """Return the records as they are now."""
        self._host.pass_barrier(context)
        store = self._host.state.store
        found = store.list_records(request.business)
        return ListReply(
            tuple(_show_record(stored) for stored in found), store.revision
        )

    def list_history(self, request: HistoryRequest, context: Any) -> HistoryReply:
        """Return the latest changes."""
        self._host.pass_barrier(context)
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
            now=read_shared_clock(),
            changes=tuple(result.unwrap() for result in parsed),
        )
        store = self._host.state.store
        if answer := store.answers.find(command):
            return answer
        if not self._host.is_leader():
            # A host that lags might deny a token that was granted a moment ago.
            self._host.pass_barrier(context)
        outcome = store.precheck(command)
        if outcome is not None:
            return outcome
        return self._host.propose(command, ChangeOutcome, context)


def _find_error(request: ApplyRequest) -> str:
    if not 0 < len(request.operation) <= MAX_OPERATION_CHARACTERS:
        found = len(request.operation)
        return (
            f"key operation: found {found} characters, "
            f"expected 1-{MAX_OPERATION_CHARACTERS}"
        )
    if not 0 < len(request.documents) <= MAX_DOCUMENTS:
        found = len(request.documents)
        return f"key documents: found {found} records, expected 1-{MAX_DOCUMENTS}"
    return ""


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
