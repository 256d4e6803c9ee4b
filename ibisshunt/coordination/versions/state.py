"""Drive all that operators order of a fleet by one replicated log."""

import msgspec

from .domains import DomainStore, encode_order
from .store import VersionStore

# First byte of a command for a failure domain. No command of a version begins with it:
# msgpack does not use this byte, and earlier releases wrote versions alone.
DOMAIN_MARK = b"\xc1"


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    version: int
    body: bytes
    # Snapshots of earlier releases end before this: no domain was ordered then.
    domains: bytes = msgspec.msgpack.encode({})


class FleetState:
    """Own the newest configuration and the drained failure domains of one host."""

    def __init__(self) -> None:
        self.versions = VersionStore()
        self.domains = DomainStore()

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one command and return its outcome."""
        if command.startswith(DOMAIN_MARK):
            return self.domains.apply(index, command[len(DOMAIN_MARK) :])
        return self.versions.apply(index, command)

    def take_snapshot(self) -> bytes:
        """Return the whole state."""
        held = self.versions
        domains = self.domains.take_snapshot()
        return msgspec.msgpack.encode(_Snapshot(held.version, held.body, domains))

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""
        held = msgspec.msgpack.decode(data, type=_Snapshot)
        self.versions.version, self.versions.body = held.version, held.body
        self.domains.restore(held.domains)


def encode_domain_command(domain: str, is_drained: bool, known: int) -> bytes:
    """Return the command of the log for an order of a failure domain."""
    return DOMAIN_MARK + encode_order(domain, is_drained, known)
