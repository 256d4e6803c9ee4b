"""All records, with indexes by listener and by token."""

from dataclasses import dataclass, field

from ...model.record import Grant, Record, RecordKind, Service

RecordKey = tuple[RecordKind, str, str]
ListenerKey = tuple[str, int, int]

# The key of an unknown token; no record has it.
MISSING_KEY: RecordKey = (RecordKind.GRANT, "", "")


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record and the document in which its business wrote it."""

    record: Record
    document: str


@dataclass(slots=True)
class RecordSet:
    """All records by key, with indexes for unique listeners and tokens.

    Changes are applied to a copy, which replaces the original only if every change of
    the command is accepted: a command takes effect as a whole or not at all.
    """

    records: dict[RecordKey, StoredRecord] = field(default_factory=dict)
    keys_by_listener: dict[ListenerKey, RecordKey] = field(default_factory=dict)
    keys_by_token_hash: dict[str, RecordKey] = field(default_factory=dict)
    next_service_number: int = 1

    def copy(self) -> "RecordSet":
        """Return a copy that can be changed independently."""
        return RecordSet(
            dict(self.records),
            dict(self.keys_by_listener),
            dict(self.keys_by_token_hash),
            self.next_service_number,
        )

    def find(self, kind: RecordKind, business: str, name: str) -> Record | None:
        """Return the record with this key, or None."""
        stored = self.records.get((kind, business, name))
        return stored.record if stored else None

    def find_service(self, business: str, name: str) -> Service | None:
        """Return the service with this name, or None."""
        record = self.find(RecordKind.SERVICE, business, name)
        return record.body if record and isinstance(record.body, Service) else None

    def find_grant(self, token_hash: str) -> Grant | None:
        """Return the grant with this token, or None."""
        stored = self.records.get(self.keys_by_token_hash.get(token_hash, MISSING_KEY))
        body = stored.record.body if stored else None
        return body if isinstance(body, Grant) else None

    def put(self, stored: StoredRecord) -> None:
        """Add or replace a record."""
        record = stored.record
        key = (record.kind, record.business, record.name)
        self.remove(key)
        self.records[key] = stored
        if isinstance(record.body, Service):
            self.keys_by_listener[make_listener_key(record.body)] = key
        if isinstance(record.body, Grant):
            self.keys_by_token_hash[record.body.token_hash] = key

    def remove(self, key: RecordKey) -> None:
        """Remove a record if it exists."""
        stored = self.records.pop(key, None)
        body = stored.record.body if stored else None
        if isinstance(body, Service):
            del self.keys_by_listener[make_listener_key(body)]
        if isinstance(body, Grant):
            del self.keys_by_token_hash[body.token_hash]


def make_listener_key(service: Service) -> ListenerKey:
    """Return the address, port and protocol that identify a service's packets."""
    return (service.address, service.port, int(service.protocol))
