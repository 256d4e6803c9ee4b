"""Apply the log to the records and wake those who wait for a change."""

from gevent.event import Event

from ...coordination.distribution.sender import Sender
from ...coordination.records.commands import (
    ChangeOutcome,
    TargetOutcome,
    decode_command,
)
from ...coordination.records.snapshot import read_snapshot, take_snapshot
from ...coordination.records.store import RecordStore
from ...exceptions import Fault, StorageError
from ...protocol.codec import encode
from ..consensus import StateMachine


class ControlState:
    """Own the record store and the sender of one host."""

    def __init__(self) -> None:
        self.store = RecordStore()
        self.sender = Sender()
        self._changed = Event()

    def as_machine(self) -> StateMachine:
        """Return what the log drives."""
        return StateMachine(self.apply, self.take_snapshot, self.restore)

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one command and return its outcome.

        A command that cannot be read stops the process: skipping it would let this
        host's records drift away from those of its peers.
        """
        found = decode_command(command)
        if fault := found.swap().value_or(None):
            raise StorageError(Fault("apply command", f"index {index}", fault.reason))
        before = self.store.revision
        outcome: ChangeOutcome | TargetOutcome = self.store.apply(index, found.unwrap())
        if self.store.revision != before:
            self.sender.advance(self.store.configuration)
            self.wake()
        return encode(outcome)

    def take_snapshot(self) -> bytes:
        """Return the whole state."""
        return take_snapshot(self.store)

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""
        found = read_snapshot(data)
        if fault := found.swap().value_or(None):
            raise StorageError(Fault("restore snapshot", "", fault.reason))
        self.store = found.unwrap()
        self.sender.restart(self.store.configuration)
        self.wake()

    def wait_beyond(self, revision: int, timeout: float) -> None:
        """Return when there is a newer revision, or after ``timeout`` seconds."""
        if self.store.revision <= revision:
            self._changed.wait(timeout)

    def wake(self) -> None:
        """Let all who wait look again."""
        changed, self._changed = self._changed, Event()
        changed.set()
