import pytest
from returns.result import Success

from ibisshunt.components.control.log import JOURNAL_NAME, Journal, StateMachine
from ibisshunt.exceptions import StorageError


def open_journal(folder):
    applied = []

    def apply(index, command):
        applied.append((index, command))
        return command.upper()

    machine = StateMachine(apply, lambda: b"", lambda data: None)
    return Journal("c1", folder, machine), applied


def write(folder, *commands):
    journal, _ = open_journal(folder)
    for command in commands:
        assert journal.propose(command, 1.0) == Success(command.upper())
    journal.stop()


def test_a_torn_last_record_is_dropped_and_the_others_are_kept(tmp_path):
    # Hazard 14. The process dies in the middle of a write. The last record was never
    # answered; all before it were, and none of them may be lost.
    write(tmp_path, b"one", b"two")
    path = tmp_path / JOURNAL_NAME
    path.write_bytes(path.read_bytes() + b"\0\0\0\x09half")
    journal, applied = open_journal(tmp_path)
    assert applied == [(1, b"one"), (2, b"two")]
    journal.propose(b"three", 1.0)
    journal.stop()
    assert open_journal(tmp_path)[1][-1] == (3, b"three")


def test_a_wrong_checksum_in_the_middle_stops_with_a_clear_error(tmp_path):
    write(tmp_path, b"one", b"two")
    path = tmp_path / JOURNAL_NAME
    path.write_bytes(path.read_bytes().replace(b"one", b"0ne"))
    with pytest.raises(StorageError, match="wrong checksum at byte 0"):
        open_journal(tmp_path)
