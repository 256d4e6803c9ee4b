"""Bind sockets before the rest of a program is imported, for the program to use later.

A small host needs a quarter of a second to import a program. Data that arrives at an
unbound port during that time is lost: a refused target reconnects after 0.2 s, a caller
retransmits its packet after 0.2-0.8 s. Data that arrives at a bound socket waits until
the program reads it. This module imports only the standard library's ``socket``.
"""

import socket

# Send and receive buffer of a datagram socket.
BUFFER_BYTES = 4 * 1024 * 1024
# Connections that may wait to be accepted.
BACKLOG = 64

SocketAddress = tuple[str, int]

_datagram_sockets: dict[SocketAddress, socket.socket] = {}
_stream_listeners: dict[SocketAddress, socket.socket] = {}


def bind_datagram_socket(address: SocketAddress) -> None:
    """Bind a datagram socket; if that fails, the program itself reports the error."""
    datagram_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        prepare_datagram_socket(datagram_socket, address)
    except OSError:
        datagram_socket.close()
        return
    _datagram_sockets[address] = datagram_socket


def prepare_datagram_socket(
    datagram_socket: socket.socket, address: SocketAddress
) -> None:
    """Set the options of a datagram socket and bind it; raise OSError on failure."""
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        datagram_socket.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
    datagram_socket.setblocking(False)
    datagram_socket.bind(address)


def bind_stream_listener(address: SocketAddress) -> None:
    """Listen for connections; if that fails, the program itself reports the error."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind(address)
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        return
    listener.setblocking(False)
    _stream_listeners[address] = listener


def pop_datagram_socket(address: SocketAddress) -> socket.socket | None:
    """Remove and return the datagram socket bound to an address, or None."""
    return _datagram_sockets.pop(address, None)


def pop_stream_listener(address: SocketAddress) -> socket.socket | None:
    """Remove and return the listener bound to an address, or None."""
    return _stream_listeners.pop(address, None)
