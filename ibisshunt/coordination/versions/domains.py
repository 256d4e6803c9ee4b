"""Keep which failure domains are drained, driven by a replicated log."""

from collections.abc import Callable

import msgspec

from ...model.domains import DrainedDomains


class DomainOrder(msgspec.Struct, frozen=True, array_like=True):
    """Ask for a failure domain to be drained, or to be open again.

    ``known`` is the revision of the domain's last order that the sender had applied
    when it took the call.
    """

    domain: str
    is_drained: bool
    known: int


class DomainOutcome(msgspec.Struct, frozen=True, array_like=True):
    """Tell whether the domain is as ordered, and the revision of its last order.

    ``changed`` tells that it was not so before.
    """

    in_force: bool
    revision: int
    changed: bool = False


class _LastOrder(msgspec.Struct, frozen=True, array_like=True):
    revision: int = 0
    is_drained: bool = False


_NEVER_ORDERED = _LastOrder()


class DomainStore:
    """Own the last order for each failure domain on one control host.

    ``changed`` is called, without waiting, whenever an order has come into force.
    """

    def __init__(self) -> None:
        self.changed: Callable[[], None] = lambda: None
        self._orders: dict[str, _LastOrder] = {}

    def find_revision(self, domain: str) -> int:
        """Return the revision of a domain's last order, 0 when there was none."""
        return self._orders.get(domain, _NEVER_ORDERED).revision

    def list_drained(self) -> DrainedDomains:
        """Return what is in force."""
        revision = max((last.revision for last in self._orders.values()), default=0)
        drained = sorted(name for name, last in self._orders.items() if last.is_drained)
        return DrainedDomains(revision, tuple(drained))

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one order at this position of the log and return its outcome.

        Operators send an order again, to any host, until it is acknowledged. A host
        that was suspended may propose such a copy after the opposite order was
        accepted; it knew an older revision, and must not undo the newer order.
        """
        order = msgspec.msgpack.decode(command, type=DomainOrder)
        last = self._orders.get(order.domain, _NEVER_ORDERED)
        if last.is_drained == order.is_drained:
            return msgspec.msgpack.encode(DomainOutcome(True, last.revision))
        if order.known < last.revision:
            return msgspec.msgpack.encode(DomainOutcome(False, last.revision))
        self._orders[order.domain] = _LastOrder(index, order.is_drained)
        self.changed()
        return msgspec.msgpack.encode(DomainOutcome(True, index, True))

    def take_snapshot(self) -> bytes:
        """Return the whole state."""
        return msgspec.msgpack.encode(self._orders)

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""
        self._orders = msgspec.msgpack.decode(data, type=dict[str, _LastOrder])
        self.changed()


def encode_order(domain: str, is_drained: bool, known: int) -> bytes:
    """Return the command that drains a domain or opens it again."""
    return msgspec.msgpack.encode(DomainOrder(domain, is_drained, known))


def decode_domain_outcome(reply: bytes) -> DomainOutcome:
    """Read the reply of the state machine."""
    return msgspec.msgpack.decode(reply, type=DomainOutcome)
