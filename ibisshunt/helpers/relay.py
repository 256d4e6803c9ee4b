"""Relay TCP streams."""

import struct
from contextlib import suppress
from typing import Final

import gevent
from gevent import socket

CHUNK_BYTES: Final = 65_536
HALF_CLOSED_IDLE_SECONDS: Final = 2.0
_LINGER_ZERO: Final = struct.pack("ii", 1, 0)


class _Copy:
    """Copy bytes from one connection to another in a task."""

    def __init__(self, source: socket.socket, sink: socket.socket) -> None:
        self.copied_bytes = 0
        self._source = source
        self._sink = sink
        self.task = gevent.spawn(self._run)

    def _run(self) -> None:
        try:
            while chunk := self._source.recv(CHUNK_BYTES):
                self._sink.sendall(chunk)
                self.copied_bytes += len(chunk)
            self._sink.shutdown(socket.SHUT_WR)
        except OSError:
            # Reset both connections: this also ends the copy in the other direction,
            # which may be blocked on one of them.
            reset_connection(self._source)
            reset_connection(self._sink)

    def wait_until_idle(self, seconds: float) -> None:
        """Block until the copy has ended or copied nothing for ``seconds``."""
        previous_bytes = -1
        while not self.task.ready() and self.copied_bytes != previous_bytes:
            previous_bytes = self.copied_bytes
            self.task.join(seconds)


def relay_streams(caller: socket.socket, target: socket.socket) -> None:
    """Copy bytes in both directions until both sides have closed; then close both.

    A half-close is passed on, so that a caller that has sent its whole request and
    closed its side still receives the whole response. If one connection breaks, the
    other is reset: an ordinary close would make a truncated response look complete.
    """
    to_target, to_caller = _Copy(caller, target), _Copy(target, caller)
    to_caller.task.join()
    # The target has closed its side. A caller that never closes would keep the stream
    # open, and delay every planned stop, forever.
    to_target.wait_until_idle(HALF_CLOSED_IDLE_SECONDS)
    caller.close()
    target.close()
    to_target.task.join()


def reset_connection(connection: socket.socket) -> None:
    """Close with an RST, so that the peer gets an error instead of an end of file."""
    with suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    connection.close()
