"""State machine of a fleet: configuration version and drained failure domains."""

import msgspec

from .domains import DrainedDomainStore, encode_domain_change
from .store import VersionStore

# First byte of a domain change. No PutVersion command begins with it, since msgpack
# does not use this byte; earlier releases wrote only PutVersion commands.
DOMAIN_COMMAND_PREFIX = b"\xc1"


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    version: int
    body: bytes
    # Missing in snapshots of earlier releases, which could not drain domains.
    domains: bytes = msgspec.msgpack.encode({})


class FleetState:
    """The newest configuration and the drained failure domains, on one control host."""

    def __init__(self) -> None:
        self.versions = VersionStore()
        self.domains = DrainedDomainStore()

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one command and return its outcome."""
        if command.startswith(DOMAIN_COMMAND_PREFIX):
            return self.domains.apply(index, command[len(DOMAIN_COMMAND_PREFIX) :])
        return self.versions.apply(index, command)

    def take_snapshot(self) -> bytes:
        """Return the whole state, serialized."""
        versions = self.versions
        domains = self.domains.take_snapshot()
        return msgspec.msgpack.encode(
            _Snapshot(versions.version, versions.body, domains)
        )

    def restore(self, data: bytes) -> None:
        """Replace the whole state by that of a snapshot."""
        snapshot = msgspec.msgpack.decode(data, type=_Snapshot)
        self.versions.version, self.versions.body = snapshot.version, snapshot.body
        self.domains.restore(snapshot.domains)


def encode_domain_command(domain: str, is_drained: bool, known_revision: int) -> bytes:
    """Return the log command that drains a failure domain or reopens it."""
    return DOMAIN_COMMAND_PREFIX + encode_domain_change(
        domain, is_drained, known_revision
    )
