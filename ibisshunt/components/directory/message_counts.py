"""Count the messages between nodes by kind, for the metrics page."""

from collections.abc import Iterator

from ...coordination.directory.messages import (
    Chunk,
    FetchChunks,
    HelloReply,
    Subscribe,
    UpdateNotice,
)
from ...coordination.forwarding.messages import (
    AggregatedAnswers,
    CheckpointEntries,
    FlowAnswer,
    FlowLocations,
    FlowQuery,
    LocationQuery,
    RecoveryReply,
    RecoveryRequest,
    RejectedPacket,
    RelayedQuery,
    RelayRequest,
)
from ...helpers.samples import Sample, SampleKind

# Written value of the label ``kind`` for each class whose name differs from it; for all
# others it is the class name in lower case. Dashboards select by these values.
KIND_LABELS: dict[type, str] = {
    AggregatedAnswers: "gathered",
    CheckpointEntries: "noted",
    Chunk: "piece",
    FetchChunks: "fetch",
    FlowAnswer: "told",
    FlowLocations: "known",
    FlowQuery: "ask",
    HelloReply: "welcome",
    LocationQuery: "seek",
    RecoveryReply: "recalled",
    RecoveryRequest: "recall",
    RejectedPacket: "returned",
    RelayRequest: "relay",
    RelayedQuery: "onbehalf",
    Subscribe: "introduce",
    UpdateNotice: "notice",
}


class MessageCounts:
    """Count the messages of one direction, and the bytes of their payloads."""

    def __init__(self, direction: str) -> None:
        self._direction = direction
        self._counts: dict[type, int] = {}
        self._bytes: dict[type, int] = {}

    def add(self, message_class: type, count: int, size: int) -> None:
        """Count messages of one class, each of ``size`` bytes."""
        self._counts[message_class] = self._counts.get(message_class, 0) + count
        self._bytes[message_class] = self._bytes.get(message_class, 0) + count * size

    def list_samples(self) -> Iterator[Sample]:
        """Yield the counts and bytes of each message class that was seen."""
        for message_class, count in self._counts.items():
            labels = {
                "direction": self._direction,
                "kind": get_kind_label(message_class),
            }
            name = "ibisshunt_wire_messages_total"
            yield Sample(name, SampleKind.COUNTER, labels, count)
            name = "ibisshunt_wire_bytes_total"
            yield Sample(name, SampleKind.COUNTER, labels, self._bytes[message_class])


def get_kind_label(message_class: type) -> str:
    """Return the value of the label ``kind`` for a message class."""
    return KIND_LABELS.get(message_class, message_class.__name__.lower())
