"""The highest version of a configuration, replicated through the log."""

import msgspec


class PutVersion(msgspec.Struct, frozen=True, array_like=True):
    """Store a version of the whole configuration; ``body`` is opaque here."""

    version: int
    body: bytes


class PutOutcome(msgspec.Struct, frozen=True, array_like=True):
    """Whether the version was accepted, and which one is stored now."""

    is_accepted: bool
    current_version: int


class VersionStore:
    """The highest accepted version, on one control host."""

    def __init__(self) -> None:
        self.version = 0
        self.body = b""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one command and return its outcome.

        A version that is not higher changes nothing: an operator may retry an older
        change after a newer one, and different content for a version that is already
        stored must not become active on the hosts that receive it last.
        """
        put = msgspec.msgpack.decode(command, type=PutVersion)
        is_accepted = put.version > self.version
        if is_accepted:
            self.version, self.body = put.version, put.body
        return msgspec.msgpack.encode(PutOutcome(is_accepted, self.version))

    def take_snapshot(self) -> bytes:
        """Return the whole state, serialized."""
        return msgspec.msgpack.encode(PutVersion(self.version, self.body))

    def restore(self, data: bytes) -> None:
        """Replace the whole state by that of a snapshot."""
        snapshot = msgspec.msgpack.decode(data, type=PutVersion)
        self.version, self.body = snapshot.version, snapshot.body


def encode_put(version: int, body: bytes) -> bytes:
    """Return the command that stores a version."""
    return msgspec.msgpack.encode(PutVersion(version, body))


def decode_put_outcome(reply: bytes) -> PutOutcome:
    """Decode the reply of the state machine to PutVersion."""
    return msgspec.msgpack.decode(reply, type=PutOutcome)
