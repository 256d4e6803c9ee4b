"""Validate one change of a record and apply it to a record set."""

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
from .record_set import RecordKey, RecordSet, StoredRecord, make_listener_key

CountTargets = Callable[[str, str], int]

# Only the administrator may change what a business is allowed to do.
ADMIN_ONLY_KINDS = (RecordKind.BUSINESS, RecordKind.GRANT, RecordKind.EVACUATION)
# Kinds of records that no business owns.
UNOWNED_KINDS = (RecordKind.BUSINESS, RecordKind.EVACUATION)


def apply_change(
    record_set: RecordSet,
    change: RecordChange,
    index: int,
    count_targets: CountTargets,
    domains: Collection[str] = (),
) -> ChangeResult:
    """Apply one change to the record set, or leave the set as it is on an error.

    ``domains`` are the failure domains that have targets.
    """
    current = record_set.find(change.kind, change.business, change.name)
    revision = current.revision if current else 0
    expected = change.expected_revision
    if expected is not None and expected != revision:
        return _refuse(
            change, revision, f"found revision {revision}, expected {expected}"
        )
    if not change.body:
        return _delete(record_set, change, current, count_targets)
    body = decode_body(change.kind, change.body)
    if isinstance(body, Evacuation) and body.name not in domains:
        known = ", ".join(sorted(domains)) or "none"
        error = f"no target is in this failure domain, expected one of: {known}"
        return _refuse(change, revision, error)
    if error := _find_conflict(record_set, change, body, current):
        return _refuse(change, revision, error)
    return _put(record_set, change, body, current, index)


def find_denial(
    record_set: RecordSet, command: ChangeRecords, change: RecordChange
) -> str:
    """Return why the sender may not make this change, or an empty string."""
    if command.admin:
        return ""
    grant = record_set.find_grant(command.token_hash)
    if grant is None:
        return "denied: the token matches no grant"
    if change.kind in ADMIN_ONLY_KINDS:
        return f"denied: records of kind {change.kind} are the administrator's"
    if change.business != grant.business:
        return f"denied: the token is of business {grant.business!r}"
    return ""


def _put(
    record_set: RecordSet,
    change: RecordChange,
    body: RecordBody,
    current: Record | None,
    index: int,
) -> ChangeResult:
    if isinstance(body, Service):
        body = _assign_service_number(record_set, body, current)
    is_unchanged = current is not None and current.body == body
    if current and is_unchanged and current.schema_version == change.schema_version:
        return ChangeResult(change.name, current.revision)
    record = Record(
        change.kind, change.business, change.name, change.schema_version, index, body
    )
    record_set.put(StoredRecord(record, change.document))
    return ChangeResult(change.name, index)


def _assign_service_number(
    record_set: RecordSet, service: Service, current: Record | None
) -> Service:
    if current is not None and isinstance(current.body, Service):
        return replace(service, number=current.body.number)
    # Service numbers are never reused: a delayed packet with the number of a deleted
    # service would reach the targets of another service.
    number = record_set.next_service_number
    record_set.next_service_number += 1
    return replace(service, number=number)


def _delete(
    record_set: RecordSet,
    change: RecordChange,
    current: Record | None,
    count_targets: CountTargets,
) -> ChangeResult:
    if current is None and change.kind == RecordKind.EVACUATION:
        # Ending an evacuation again, maybe by another operator, succeeds.
        return ChangeResult(change.name, 0)
    if current is None:
        return _refuse(change, 0, "does not exist")
    if error := _find_dependent(record_set, change, count_targets):
        return _refuse(change, current.revision, error)
    record_set.remove((change.kind, change.business, change.name))
    return ChangeResult(change.name, 0)


def _find_dependent(
    record_set: RecordSet, change: RecordChange, count_targets: CountTargets
) -> str:
    if change.kind == RecordKind.BUSINESS:
        return _describe_owned_records(record_set, change)
    if change.kind != RecordKind.SERVICE:
        return ""
    # Without the service, open flows to these targets would lose their route.
    if count := count_targets(change.business, change.name):
        return f"still has {count} targets: stop them first"
    for stored in record_set.records.values():
        body = stored.record.body
        if (
            isinstance(body, Drain)
            and body.business == change.business
            and body.service == change.name
        ):
            return f"drain {body.name!r} still names it"
    return ""


def _describe_owned_records(record_set: RecordSet, change: RecordChange) -> str:
    own_key = (change.kind, change.business, change.name)
    owned = [
        key
        for key in record_set.records
        if key[1] == change.business and key != own_key
    ]
    if not owned:
        return ""
    kind, _, name = min(owned)
    return f"still owns {len(owned)} records, such as {kind} {name!r}"


def _find_conflict(
    record_set: RecordSet,
    change: RecordChange,
    body: RecordBody,
    current: Record | None,
) -> str:
    if change.kind in UNOWNED_KINDS:
        return ""
    if record_set.find(RecordKind.BUSINESS, change.business, change.business) is None:
        return f"business {change.business!r} does not exist"
    if isinstance(body, Service):
        return _find_listener_conflict(record_set, change, body) or _find_key_loss(
            change, current
        )
    if isinstance(body, Grant):
        return _find_token_conflict(record_set, body)
    if isinstance(body, Drain):
        service = record_set.find_service(change.business, body.service)
        return "" if service else f"service {body.service!r} does not exist"
    return ""


def _find_listener_conflict(
    record_set: RecordSet, change: RecordChange, service: Service
) -> str:
    own_key: RecordKey = (change.kind, change.business, change.name)
    owner_key = record_set.keys_by_listener.get(make_listener_key(service))
    if owner_key is None or owner_key == own_key:
        return ""
    listener = f"{service.address}:{service.port}/{service.protocol.name.lower()}"
    # Do not disclose the names of another business.
    owner = (
        f"service {owner_key[2]!r}" if owner_key[1] == change.business else "a service"
    )
    return f"key address: {listener} is taken by {owner} of another record"


def _find_key_loss(change: RecordChange, current: Record | None) -> str:
    if change.schema_version != 1 or current is None or current.schema_version == 1:
        return ""
    if not isinstance(current.body, Service):
        return ""
    # Version 1 has no keys for the request policy: the write would silently reset it.
    if current.body.requests == RequestPolicy():
        return ""
    return "version 1 would drop the key requests that version 2 set: write version 2"


def _find_token_conflict(record_set: RecordSet, grant: Grant) -> str:
    other = record_set.find_grant(grant.token_hash)
    if other is None or (other.business, other.name) == (grant.business, grant.name):
        return ""
    return "key token_hash: the token is in use by another grant"


def _refuse(change: RecordChange, revision: int, error: str) -> ChangeResult:
    return ChangeResult(
        change.name, revision, f"{change.kind} {change.name!r}: {error}"
    )
