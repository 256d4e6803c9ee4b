"""Hold the records while the changes of one command are tried."""

from dataclasses import dataclass, field

from ...model.record import Record, RecordKind, Service

RecordKey = tuple[RecordKind, str, str]
ListenKey = tuple[str, int, int]


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """Hold a record and the text in which its business wrote it."""

    record: Record
    document: str


@dataclass(slots=True)
class Draft:
    """Hold all records by key, and the key of the service at each address.

    Changes are tried on a copy, which replaces the original only when every change of
    the command is accepted: a command is put in force whole or not at all.
    """

    records: dict[RecordKey, StoredRecord] = field(default_factory=dict)
    listeners: dict[ListenKey, RecordKey] = field(default_factory=dict)
    next_service: int = 1

    def copy(self) -> "Draft":
        """Return a draft that can be changed without changing this one."""
        return Draft(dict(self.records), dict(self.listeners), self.next_service)

    def find(self, kind: RecordKind, business: str, name: str) -> Record | None:
        """Return the record, or None."""
        stored = self.records.get((kind, business, name))
        return stored.record if stored else None

    def find_service(self, business: str, name: str) -> Service | None:
        """Return the service, or None."""
        record = self.find(RecordKind.SERVICE, business, name)
        return record.body if record and isinstance(record.body, Service) else None

    def put(self, stored: StoredRecord) -> None:
        """Add or replace a record."""
        record = stored.record
        key = (record.kind, record.business, record.name)
        self.remove(key)
        self.records[key] = stored
        if isinstance(record.body, Service):
            self.listeners[listen_key(record.body)] = key

    def remove(self, key: RecordKey) -> None:
        """Remove a record if it is there."""
        stored = self.records.pop(key, None)
        if stored and isinstance(stored.record.body, Service):
            del self.listeners[listen_key(stored.record.body)]


def listen_key(service: Service) -> ListenKey:
    """Return what tells the packets of one service from those of all others."""
    return (service.address, service.port, int(service.protocol))
