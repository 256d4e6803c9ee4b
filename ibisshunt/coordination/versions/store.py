"""Keep the newest version of a complete configuration, driven by a replicated log."""

import msgspec


class PutVersion(msgspec.Struct, frozen=True, array_like=True):
    """Ask for a version to be held; ``body`` is opaque here."""

    version: int
    body: bytes


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """Tell whether the version was taken, and which is held now."""

    taken: bool
    held: int


class VersionStore:
    """Own the newest accepted version of one control host."""

    def __init__(self) -> None:
        self.version = 0
        self.body = b""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one command and return its outcome.

        A version that is not higher changes nothing: an operator may send an older
        change again after a newer one, and other content under a version that is
        held must not come into force on the hosts that see it last.
        """
        put = msgspec.msgpack.decode(command, type=PutVersion)
        taken = put.version > self.version
        if taken:
            self.version, self.body = put.version, put.body
        return msgspec.msgpack.encode(Outcome(taken, self.version))

    def take_snapshot(self) -> bytes:
        """Return the whole state."""
        return msgspec.msgpack.encode(PutVersion(self.version, self.body))

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""
        held = msgspec.msgpack.decode(data, type=PutVersion)
        self.version, self.body = held.version, held.body


def encode_put(version: int, body: bytes) -> bytes:
    """Return the command that asks for a version to be held."""
    return msgspec.msgpack.encode(PutVersion(version, body))


def decode_outcome(reply: bytes) -> Outcome:
    """Read the reply of the state machine."""
    return msgspec.msgpack.decode(reply, type=Outcome)
