"""Open sockets before the rest of a program is loaded, and hand them on.

A thin host takes a quarter of a second to import a program. What arrives meanwhile at a
closed port is lost: a target that has been refused tries again 0.2 s later, a caller's
packet after 0.2-0.8 s. At an open one it waits until the program reads it. Nothing but
the standard library's sockets is imported here.
"""

import socket

# Bytes that wait at a datagram socket at most.
BUFFER_BYTES = 4 * 1024 * 1024
# Connections that wait to be accepted.
BACKLOG = 64

Pair = tuple[str, int]

_datagram: dict[Pair, socket.socket] = {}
_stream: dict[Pair, socket.socket] = {}


def open_datagram(pair: Pair) -> None:
    """Bind a datagram socket; an address that cannot be bound is left to its user."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        prepare_datagram(opened, pair)
    except OSError:
        opened.close()
        return
    _datagram[pair] = opened


def prepare_datagram(opened: socket.socket, pair: Pair) -> None:
    """Bind a datagram socket as programs use it; raise OSError when it cannot be."""
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        opened.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
    opened.setblocking(False)
    opened.bind(pair)


def open_stream(pair: Pair) -> None:
    """Listen for connections; an address that cannot be bound is left to its user."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        opened.bind(pair)
        opened.listen(BACKLOG)
    except OSError:
        opened.close()
        return
    opened.setblocking(False)
    _stream[pair] = opened


def take_datagram(pair: Pair) -> socket.socket | None:
    """Return the datagram socket that was opened early, once."""
    return _datagram.pop(pair, None)


def take_stream(pair: Pair) -> socket.socket | None:
    """Return the listener that was opened early, once."""
    return _stream.pop(pair, None)
