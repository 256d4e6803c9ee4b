"""Receive and send datagrams without starving the other tasks of the process."""

from collections.abc import Callable
from typing import Any, Final

import gevent
from gevent import monkey
from gevent.socket import wait_read

from ..const import MAX_DATAGRAM_BYTES
from ..model.address import Address

# Packets handled before other tasks may run. While data are ready a receive never
# waits, so that without this a flood of packets would starve the task that renews the
# lease: a healthy node would look dead. The event loop looks at sockets and timers
# only after about 50 turns, so that a turn has to be short.
PACKETS_PER_TURN: Final = 16
BUFFER_BYTES: Final = 4 * 1024 * 1024

Pair = tuple[str, int]


class DatagramSocket:
    """Own one UDP socket; use it from one process of gevent tasks.

    The system's own socket class is used below gevent's: a packet then costs one call
    into the kernel, and waiting still lets other tasks run.
    """

    def __init__(self, address: Address) -> None:
        original = monkey.get_original
        families = original("socket", ["AF_INET", "SOCK_DGRAM", "SOL_SOCKET"])
        family, kind, level = families
        self._socket: Any = original("socket", "socket")(family, kind)
        receive_option, send_option = original("socket", ["SO_RCVBUF", "SO_SNDBUF"])
        self._socket.setsockopt(level, receive_option, BUFFER_BYTES)
        self._socket.setsockopt(level, send_option, BUFFER_BYTES)
        self._socket.setblocking(False)
        self._socket.bind(address.as_pair())
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
