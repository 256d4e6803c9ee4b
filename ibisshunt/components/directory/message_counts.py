"""Count the messages between nodes by kind, for the metrics page."""

from collections.abc import Iterator

from ...helpers.samples import Sample, SampleKind


class MessageCounts:
    """Own the counts of one direction; bytes are those of the datagrams' contents."""

    def __init__(self, direction: str) -> None:
        self._direction = direction
        self._counts: dict[type, int] = {}
        self._bytes: dict[type, int] = {}

    def add(self, kind: type, count: int, size: int) -> None:
        """Count messages of one kind, each of ``size`` bytes."""
        self._counts[kind] = self._counts.get(kind, 0) + count
        self._bytes[kind] = self._bytes.get(kind, 0) + count * size

    def list_samples(self) -> Iterator[Sample]:
        """Yield the counts and bytes of each kind that was seen."""
        for kind, count in self._counts.items():
            labels = {"direction": self._direction, "kind": kind.__name__.lower()}
            name = "ibisshunt_wire_messages_total"
            yield Sample(name, SampleKind.COUNTER, labels, count)
            name = "ibisshunt_wire_bytes_total"
            yield Sample(name, SampleKind.COUNTER, labels, self._bytes[kind])
