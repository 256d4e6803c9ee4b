"""Which failure domains are drained, replicated through the log."""

from collections.abc import Callable

import msgspec

from ...model.domains import DrainedDomains


class DomainChange(msgspec.Struct, frozen=True, array_like=True):
    """Drain a failure domain, or reopen it.

    ``known_revision`` is the revision of the domain's last change that the proposing
    host had applied when it received the call.
    """

    domain: str
    is_drained: bool
    known_revision: int


class DomainOutcome(msgspec.Struct, frozen=True, array_like=True):
    """Whether the domain is in the requested state, and its last change's revision.

    ``changed`` is whether this command changed the state.
    """

    is_applied: bool
    revision: int
    changed: bool = False


class _DomainState(msgspec.Struct, frozen=True, array_like=True):
    revision: int = 0
    is_drained: bool = False


_INITIAL_STATE = _DomainState()


class DrainedDomainStore:
    """State and last change of each failure domain, on one control host.

    ``on_change`` is called after each change of the state; it must not block.
    """

    def __init__(self) -> None:
        self.on_change: Callable[[], None] = lambda: None
        self._states: dict[str, _DomainState] = {}

    def find_revision(self, domain: str) -> int:
        """Return the revision of a domain's last change, 0 if there was none."""
        return self._states.get(domain, _INITIAL_STATE).revision

    def list_drained(self) -> DrainedDomains:
        """Return the drained domains with the revision of the last change."""
        revision = max(
            (current.revision for current in self._states.values()), default=0
        )
        drained = sorted(
            name for name, current in self._states.items() if current.is_drained
        )
        return DrainedDomains(revision, tuple(drained))

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one change at this log index and return its outcome.

        Operators retry a change, on any host, until it is acknowledged. A host that was
        suspended may propose such a duplicate after the opposite change was committed.
        It knew an older revision then, so the duplicate must not undo the newer change.
        """
        change = msgspec.msgpack.decode(command, type=DomainChange)
        current = self._states.get(change.domain, _INITIAL_STATE)
        if current.is_drained == change.is_drained:
            return msgspec.msgpack.encode(DomainOutcome(True, current.revision))
        if change.known_revision < current.revision:
            return msgspec.msgpack.encode(DomainOutcome(False, current.revision))
        self._states[change.domain] = _DomainState(index, change.is_drained)
        self.on_change()
        return msgspec.msgpack.encode(DomainOutcome(True, index, True))

    def take_snapshot(self) -> bytes:
        """Return the whole state, serialized."""
        return msgspec.msgpack.encode(self._states)

    def restore(self, data: bytes) -> None:
        """Replace the whole state by that of a snapshot."""
        self._states = msgspec.msgpack.decode(data, type=dict[str, _DomainState])
        self.on_change()


def encode_domain_change(domain: str, is_drained: bool, known_revision: int) -> bytes:
    """Return the encoded change that drains a domain or reopens it."""
    return msgspec.msgpack.encode(DomainChange(domain, is_drained, known_revision))


def decode_domain_outcome(reply: bytes) -> DomainOutcome:
    """Decode the reply of the state machine to a domain change."""
    return msgspec.msgpack.decode(reply, type=DomainOutcome)
