"""What nodes tell each other, by kind, for who looks for what fills a link."""

from ibisshunt.components.directory.inner import InnerSocket
from ibisshunt.coordination.forwarding.messages import Ping
from ibisshunt.model.address import Address


def read_samples(inner):
    return {
        (found.name, found.labels["direction"], found.labels["kind"]): found.value
        for found in inner.list_samples()
    }


def test_messages_and_bytes_are_counted_by_kind_and_direction():
    inner = InnerSocket(Address("127.0.0.1", 0))
    inner.send_all(("127.0.0.1", "127.0.0.2"), Ping(7))
    inner._take(b"not a message", ("127.0.0.1", 1))
    inner._take(b"\x92\xa1k\xc4\x01x", ("127.0.0.1", 1))
    inner.close()
    found = read_samples(inner)
    assert found["ibisshunt_wire_messages_total", "sent", "ping"] == 2
    assert found["ibisshunt_wire_bytes_total", "sent", "ping"] == 2 * 4
    assert found["ibisshunt_wire_messages_total", "received", "seek"] == 1
    assert found["ibisshunt_wire_bytes_total", "received", "seek"] == 6
    assert len(found) == 4
