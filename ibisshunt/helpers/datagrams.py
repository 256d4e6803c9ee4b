"""Send and receive datagrams without starving the other tasks of the process."""

import socket
import sys
from collections.abc import Callable
from typing import Any, Final

import gevent
from gevent.socket import wait_read

from ..const import MAX_DATAGRAM_BYTES
from ..model.address import Address
from .prebound_sockets import pop_datagram_socket, prepare_datagram_socket

# Packets handled before other tasks may run. A receive does not yield while packets are
# queued: without this limit a flood would starve the task that renews the lease, and a
# healthy node would appear dead. The event loop polls sockets and timers only after
# about 50 turns of the tasks, so each turn has to be short.
PACKETS_PER_TURN: Final = 16

SocketAddress = tuple[str, int]


def _get_unpatched(names: list[str]) -> list[Any]:
    """Return members of the socket module as they were before gevent patched it."""
    monkey = sys.modules.get("gevent.monkey")
    if monkey is not None:
        return monkey.get_original("socket", names)
    # Programs that patch nothing need not import gevent.monkey.
    return [getattr(socket, name) for name in names]


def _open(address: Address) -> Any:
    (make_socket,) = _get_unpatched(["socket"])
    datagram_socket = make_socket(socket.AF_INET, socket.SOCK_DGRAM)
    prepare_datagram_socket(datagram_socket, address.as_pair())
    return datagram_socket


class DatagramSocket:
    """A UDP socket for gevent tasks.

    It uses the unpatched socket class, so that each packet costs a single system call.
    Other tasks run while it waits for packets.
    """

    def __init__(self, address: Address) -> None:
        self._socket: Any = pop_datagram_socket(address.as_pair()) or _open(address)
        self.address = Address(*self._socket.getsockname())
        self.send_to: Callable[[bytes, SocketAddress], int] = self._socket.sendto

    def serve(self, handle: Callable[[bytes, SocketAddress], None]) -> None:
        """Call ``handle`` with each datagram and its sender until killed."""
        receive = self._socket.recvfrom
        file_descriptor = self._socket.fileno()
        while True:
            try:
                for _ in range(PACKETS_PER_TURN):
                    handle(*receive(MAX_DATAGRAM_BYTES))
            except BlockingIOError:
                wait_read(file_descriptor)
            else:
                gevent.sleep(0)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
