"""Receive and send datagrams without starving the other tasks of the process."""

import socket
import sys
from collections.abc import Callable
from typing import Any, Final

import gevent
from gevent.socket import wait_read

from ..const import MAX_DATAGRAM_BYTES
from ..model.address import Address
from .early import prepare_datagram, take_datagram

# Packets handled before other tasks may run. While data are ready a receive never
# waits, so that without this a flood of packets would starve the task that renews the
# lease: a healthy node would look dead. The event loop looks at sockets and timers
# only after about 50 turns, so that a turn has to be short.
PACKETS_PER_TURN: Final = 16

Pair = tuple[str, int]


def _get_original(names: list[str]) -> list[Any]:
    """Return names of the socket module as they were before gevent patched it."""
    monkey = sys.modules.get("gevent.monkey")
    if monkey is not None:
        return monkey.get_original("socket", names)
    # Programs that patch nothing are spared the import.
    return [getattr(socket, name) for name in names]


def _open(address: Address) -> Any:
    (make_socket,) = _get_original(["socket"])
    opened = make_socket(socket.AF_INET, socket.SOCK_DGRAM)
    prepare_datagram(opened, address.as_pair())
    return opened


class DatagramSocket:
    """Own one UDP socket; use it from one process of gevent tasks.

    The system's own socket class is used below gevent's: a packet then costs one call
    into the kernel, and waiting still lets other tasks run.
    """

    def __init__(self, address: Address) -> None:
        self._socket: Any = take_datagram(address.as_pair()) or _open(address)
        self.address = Address(*self._socket.getsockname())
        self.send_to: Callable[[bytes, Pair], int] = self._socket.sendto

    def serve(self, handle: Callable[[bytes, Pair], None]) -> None:
        """Call ``handle`` with each datagram and its sender, until killed."""
        receive = self._socket.recvfrom
        number = self._socket.fileno()
        while True:
            try:
                for _ in range(PACKETS_PER_TURN):
                    handle(*receive(MAX_DATAGRAM_BYTES))
            except BlockingIOError:
                wait_read(number)
            else:
                gevent.sleep(0)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
