"""Messages between nodes are counted by kind, to show which kind fills a link."""

from ibisshunt.components.directory.internal_socket import InternalSocket, Message
from ibisshunt.components.directory.message_counts import MessageCounts
from ibisshunt.coordination.forwarding.messages import Ping
from ibisshunt.model.address import Address

# Written value of the label ``kind`` by the tag of the message.
LABELS = {
    "c": "noted",
    "d": "deliver",
    "e": "recall",
    "f": "fetch",
    "g": "gathered",
    "h": "hello",
    "i": "introduce",
    "k": "seek",
    "l": "leave",
    "m": "recalled",
    "n": "notice",
    "o": "known",
    "p": "piece",
    "q": "ping",
    "r": "returned",
    "s": "status",
    "t": "told",
    "u": "pong",
    "w": "welcome",
    "y": "relay",
    "z": "onbehalf",
}


def read_samples(socket):
    return {
        (found.name, found.labels["direction"], found.labels["kind"]): found.value
        for found in socket.list_samples()
    }


def test_messages_and_bytes_are_counted_by_kind_and_direction():
    socket = InternalSocket(Address("127.0.0.1", 0))
    socket.send_all(("127.0.0.1", "127.0.0.2"), Ping(7))
    socket._handle_datagram(b"not a message", ("127.0.0.1", 1))
    socket._handle_datagram(b"\x92\xa1k\xc4\x01x", ("127.0.0.1", 1))
    socket.close()
    found = read_samples(socket)
    assert found["ibisshunt_wire_messages_total", "sent", "ping"] == 2
    assert found["ibisshunt_wire_bytes_total", "sent", "ping"] == 2 * 4
    assert found["ibisshunt_wire_messages_total", "received", "seek"] == 1
    assert found["ibisshunt_wire_bytes_total", "received", "seek"] == 6
    assert len(found) == 4


def test_labels_do_not_depend_on_the_names_of_message_classes():
    # Guards against dashboards that lose a message when its class is renamed.
    found = {}
    for message_class in Message.__args__:
        counts = MessageCounts("sent")
        counts.add(message_class, 1, 4)
        (label,) = {sample.labels["kind"] for sample in counts.list_samples()}
        found[message_class.__struct_config__.tag] = label
    assert found == LABELS
