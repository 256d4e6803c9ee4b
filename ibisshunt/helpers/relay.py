"""Copy bytes between two connections."""

import struct
from contextlib import suppress
from typing import Final

import gevent
from gevent import socket

CHUNK_BYTES: Final = 65_536
_LINGER_ZERO: Final = struct.pack("ii", 1, 0)


def relay_streams(first: socket.socket, second: socket.socket) -> None:
    """Copy both ways until both sides have ended; then close both.

    An end of file is passed on alone, so that a caller which has sent all of its
    request still gets the whole answer. A broken side resets the other: a plain
    close would make a partial answer look like a whole one.
    """
    tasks = [
        gevent.spawn(_copy, first, second),
        gevent.spawn(_copy, second, first),
    ]
    gevent.joinall(tasks)
    first.close()
    second.close()


def reset_connection(connection: socket.socket) -> None:
    """Close with a reset, so that the peer sees an error and not an end of file."""
    with suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    connection.close()


def _copy(source: socket.socket, sink: socket.socket) -> None:
    try:
        while part := source.recv(CHUNK_BYTES):
            sink.sendall(part)
        sink.shutdown(socket.SHUT_WR)
    except OSError:
        # Both at once: the reset also ends the copy of the other way, which may
        # wait on one of these connections.
        reset_connection(source)
        reset_connection(sink)
