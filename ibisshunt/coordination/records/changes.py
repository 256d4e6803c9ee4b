"""Decide whether one change of a record is accepted."""

from collections.abc import Callable, Collection
from dataclasses import replace

from ...model.record import (
    Drain,
    Evacuation,
    Grant,
    Record,
    RecordBody,
    RecordKind,
    RequestPolicy,
    Service,
)
from .commands import ChangeRecords, ChangeResult, RecordChange, decode_body
from .draft import Draft, RecordKey, StoredRecord, listen_key

CountTargets = Callable[[str, str], int]

# Only the administrator may change how much a business is allowed.
ADMIN_KINDS = (RecordKind.BUSINESS, RecordKind.GRANT, RecordKind.EVACUATION)
# Kinds that belong to no business.
FLEET_KINDS = (RecordKind.BUSINESS, RecordKind.EVACUATION)


def change_record(
    draft: Draft,
    change: RecordChange,
    index: int,
    count_targets: CountTargets,
    domains: Collection[str] = (),
) -> ChangeResult:
    """Try one change on the draft; leave the draft as it is on an error.

    ``domains`` are the failure domains in which there are targets.
    """
    current = draft.find(change.kind, change.business, change.name)
    found = current.revision if current else 0
    expected = change.expected_revision
    if expected is not None and expected != found:
        return _refuse(change, found, f"found revision {found}, expected {expected}")
    if not change.body:
        return _delete(draft, change, current, count_targets)
    body = decode_body(change.kind, change.body)
    if isinstance(body, Evacuation) and body.name not in domains:
        known = ", ".join(sorted(domains)) or "none"
        error = f"no target is in this failure domain, expected one of: {known}"
        return _refuse(change, found, error)
    if error := _find_conflict(draft, change, body, current):
        return _refuse(change, found, error)
    return _put(draft, change, body, current, index)


def find_denial(draft: Draft, command: ChangeRecords, change: RecordChange) -> str:
    """Return why the sender may not make this change, or an empty text."""
    if command.admin:
        return ""
    grant = draft.find_grant(command.token_hash)
    if grant is None:
        return "denied: the token matches no grant"
    if change.kind in ADMIN_KINDS:
        return f"denied: records of kind {change.kind} are the administrator's"
    if change.business != grant.business:
        return f"denied: the token is of business {grant.business!r}"
    return ""


def _put(
    draft: Draft,
    change: RecordChange,
    body: RecordBody,
    current: Record | None,
    index: int,
) -> ChangeResult:
    if isinstance(body, Service):
        body = _number_service(draft, body, current)
    same = current is not None and current.body == body
    if current and same and current.schema_version == change.schema_version:
        return ChangeResult(change.name, current.revision)
    record = Record(
        change.kind, change.business, change.name, change.schema_version, index, body
    )
    draft.put(StoredRecord(record, change.document))
    return ChangeResult(change.name, index)


def _number_service(draft: Draft, service: Service, current: Record | None) -> Service:
    if current is not None and isinstance(current.body, Service):
        return replace(service, number=current.body.number)
    # A number is never used twice: a packet that is still on its way under the old
    # number would reach the targets of another service.
    number = draft.next_service
    draft.next_service += 1
    return replace(service, number=number)


def _delete(
    draft: Draft,
    change: RecordChange,
    current: Record | None,
    count_targets: CountTargets,
) -> ChangeResult:
    if current is None and change.kind == RecordKind.EVACUATION:
        # An end that is sent again, maybe by another operator, finds its work done.
        return ChangeResult(change.name, 0)
    if current is None:
        return _refuse(change, 0, "does not exist")
    if error := _find_dependent(draft, change, count_targets):
        return _refuse(change, current.revision, error)
    draft.remove((change.kind, change.business, change.name))
    return ChangeResult(change.name, 0)


def _find_dependent(
    draft: Draft, change: RecordChange, count_targets: CountTargets
) -> str:
    if change.kind == RecordKind.BUSINESS:
        return _describe_owned(draft, change)
    if change.kind != RecordKind.SERVICE:
        return ""
    # The flows of these targets would lose their route with the service.
    if count := count_targets(change.business, change.name):
        return f"still has {count} targets: stop them first"
    for stored in draft.records.values():
        body = stored.record.body
        if (
            isinstance(body, Drain)
            and body.business == change.business
            and body.service == change.name
        ):
            return f"drain {body.name!r} still names it"
    return ""


def _describe_owned(draft: Draft, change: RecordChange) -> str:
    own = (change.kind, change.business, change.name)
    owned = [key for key in draft.records if key[1] == change.business and key != own]
    if not owned:
        return ""
    kind, _, name = min(owned)
    return f"still owns {len(owned)} records, such as {kind} {name!r}"


def _find_conflict(
    draft: Draft, change: RecordChange, body: RecordBody, current: Record | None
) -> str:
    if change.kind in FLEET_KINDS:
        return ""
    if draft.find(RecordKind.BUSINESS, change.business, change.business) is None:
        return f"business {change.business!r} does not exist"
    if isinstance(body, Service):
        return _find_listener(draft, change, body) or _find_loss(change, current)
    if isinstance(body, Grant):
        return _find_holder(draft, body)
    if isinstance(body, Drain):
        found = draft.find_service(change.business, body.service)
        return "" if found else f"service {body.service!r} does not exist"
    return ""


def _find_listener(draft: Draft, change: RecordChange, service: Service) -> str:
    own: RecordKey = (change.kind, change.business, change.name)
    holder = draft.listeners.get(listen_key(service))
    if holder is None or holder == own:
        return ""
    where = f"{service.address}:{service.port}/{service.protocol.name.lower()}"
    # Another business's names stay its own affair.
    who = f"service {holder[2]!r}" if holder[1] == change.business else "a service"
    return f"key address: {where} is taken by {who} of another record"


def _find_loss(change: RecordChange, current: Record | None) -> str:
    if change.schema_version != 1 or current is None or current.schema_version == 1:
        return ""
    if not isinstance(current.body, Service):
        return ""
    # Version 1 has no key for these: writing it would set them back unseen.
    if current.body.requests == RequestPolicy():
        return ""
    return "version 1 would drop the key requests that version 2 set: write version 2"


def _find_holder(draft: Draft, grant: Grant) -> str:
    other = draft.find_grant(grant.token_hash)
    if other is None or (other.business, other.name) == (grant.business, grant.name):
        return ""
    return "key token_hash: the token is in use by another grant"


def _refuse(change: RecordChange, revision: int, error: str) -> ChangeResult:
    return ChangeResult(
        change.name, revision, f"{change.kind} {change.name!r}: {error}"
    )
