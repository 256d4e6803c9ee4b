"""Copy bytes between two connections."""

import struct
from contextlib import suppress
from typing import Final

import gevent
from gevent import socket

CHUNK_BYTES: Final = 65_536
HALF_CLOSED_SECONDS: Final = 2.0
_LINGER_ZERO: Final = struct.pack("ii", 1, 0)


class _Copy:
    """Copy one way between two connections and count the bytes."""

    def __init__(self, source: socket.socket, sink: socket.socket) -> None:
        self.moved = 0
        self._source = source
        self._sink = sink
        self.task = gevent.spawn(self._run)

    def _run(self) -> None:
        try:
            while part := self._source.recv(CHUNK_BYTES):
                self._sink.sendall(part)
                self.moved += len(part)
            self._sink.shutdown(socket.SHUT_WR)
        except OSError:
            # Both at once: the reset also ends the copy of the other way, which may
            # wait on one of these connections.
            reset_connection(self._source)
            reset_connection(self._sink)

    def wait_until_idle(self, seconds: float) -> None:
        """Return when the copy has ended or moved nothing for ``seconds``."""
        before = -1
        while not self.task.ready() and self.moved != before:
            before = self.moved
            self.task.join(seconds)


def relay_streams(caller: socket.socket, target: socket.socket) -> None:
    """Copy both ways until both sides have ended; then close both.

    An end of file is passed on alone, so that a caller which has sent all of its
    request still gets the whole answer. A broken side resets the other: a plain
    close would make a partial answer look like a whole one.
    """
    upward, downward = _Copy(caller, target), _Copy(target, caller)
    downward.task.join()
    # The target has said all it will. A caller that never closes would hold the
    # stream, and every planned stop, for ever.
    upward.wait_until_idle(HALF_CLOSED_SECONDS)
    caller.close()
    target.close()
    upward.task.join()


def reset_connection(connection: socket.socket) -> None:
    """Close with a reset, so that the peer sees an error and not an end of file."""
    with suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    connection.close()
