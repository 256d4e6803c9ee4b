"""Apply log entries to the records and wake the tasks that wait for a change."""

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
    """Manage the record store and the configuration updates of one host."""

    def __init__(self) -> None:
        self.store = RecordStore()
        self.sender = Sender()
        self._changed = Event()

    def make_state_machine(self) -> StateMachine:
        """Return the state machine of the replicated log."""
        return StateMachine(self.apply, self.take_snapshot, self.restore)

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one command and return its encoded outcome.

        Raises StorageError, which stops the process, if the command cannot be decoded:
        skipping it would let this host's records diverge from those of its peers.
        """
        decoded = decode_command(command)
        if fault := decoded.swap().value_or(None):
            raise StorageError(Fault("apply command", f"index {index}", fault.reason))
        previous_revision = self.store.revision
        outcome: ChangeOutcome | TargetOutcome = self.store.apply(
            index, decoded.unwrap()
        )
        if self.store.revision != previous_revision:
            self.sender.advance(self.store.configuration)
            self.notify_waiters()
        return encode(outcome)

    def take_snapshot(self) -> bytes:
        """Return the encoded state."""
        return take_snapshot(self.store)

    def restore(self, data: bytes) -> None:
        """Replace the state by an encoded snapshot."""
        decoded = read_snapshot(data)
        if fault := decoded.swap().value_or(None):
            raise StorageError(Fault("restore snapshot", "", fault.reason))
        self.store = decoded.unwrap()
        self.sender.restart(self.store.configuration)
        self.notify_waiters()

    def wait_for_revision_after(self, revision: int, timeout: float) -> None:
        """Return once there is a newer revision, or after ``timeout`` seconds."""
        if self.store.revision <= revision:
            self._changed.wait(timeout)

    def notify_waiters(self) -> None:
        """Wake all tasks that wait for a newer revision."""
        changed, self._changed = self._changed, Event()
        changed.set()
