"""Hold the records while the changes of one command are tried."""

from dataclasses import dataclass, field

from ...model.record import Grant, Record, RecordKind, Service

RecordKey = tuple[RecordKind, str, str]
ListenKey = tuple[str, int, int]

NO_KEY: RecordKey = (RecordKind.GRANT, "", "")


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """Hold a record and the text in which its business wrote it."""

    record: Record
    document: str


@dataclass(slots=True)
class Draft:
    """Hold all records by key, and who has each address and each token.

    Changes are tried on a copy, which replaces the original only when every change of
    the command is accepted: a command is put in force whole or not at all.
    """

    records: dict[RecordKey, StoredRecord] = field(default_factory=dict)
    listeners: dict[ListenKey, RecordKey] = field(default_factory=dict)
    holders: dict[str, RecordKey] = field(default_factory=dict)
    next_service: int = 1

    def copy(self) -> "Draft":
        """Return a draft that can be changed without changing this one."""
        return Draft(
            dict(self.records),
            dict(self.listeners),
            dict(self.holders),
            self.next_service,
        )

    def find(self, kind: RecordKind, business: str, name: str) -> Record | None:
        """Return the record, or None."""
        stored = self.records.get((kind, business, name))
        return stored.record if stored else None

    def find_service(self, business: str, name: str) -> Service | None:
        """Return the service, or None."""
        record = self.find(RecordKind.SERVICE, business, name)
        return record.body if record and isinstance(record.body, Service) else None

    def find_grant(self, token_hash: str) -> Grant | None:
        """Return the grant of a token, or None."""
        stored = self.records.get(self.holders.get(token_hash, NO_KEY))
        body = stored.record.body if stored else None
        return body if isinstance(body, Grant) else None

    def put(self, stored: StoredRecord) -> None:
        """Add or replace a record."""
        record = stored.record
        key = (record.kind, record.business, record.name)
        self.remove(key)
        self.records[key] = stored
        if isinstance(record.body, Service):
            self.listeners[listen_key(record.body)] = key
        if isinstance(record.body, Grant):
            self.holders[record.body.token_hash] = key

    def remove(self, key: RecordKey) -> None:
        """Remove a record if it is there."""
        stored = self.records.pop(key, None)
        body = stored.record.body if stored else None
        if isinstance(body, Service):
            del self.listeners[listen_key(body)]
        if isinstance(body, Grant):
            del self.holders[body.token_hash]


def listen_key(service: Service) -> ListenKey:
    """Return what tells the packets of one service from those of all others."""
    return (service.address, service.port, int(service.protocol))
