"""Exchange the preamble of a relayed TCP stream between balancer and agent.

The balancer sends a length of two bytes and a MessagePack body before the caller's
bytes; the agent replies with a verdict of one byte.
"""

import struct
from dataclasses import dataclass
from enum import IntEnum
from typing import Final

import gevent
from gevent import socket
from returns.result import Failure, Result, Success

from ..exceptions import Fault
from ..model.address import Address
from .codec import decode, encode

LENGTH: Final = struct.Struct("!H")
VERDICT_BYTES: Final = 1


class PreambleStatus(IntEnum):
    """Reply of an agent to a preamble.

    The balancer relays none of the caller's bytes before it receives TAKEN.
    """

    TAKEN = 1
    WRONG_SERVICE = 2
    WRONG_INCARNATION = 3
    CALLER_REFUSED = 4
    LEAVING = 5
    TARGET_UNREACHABLE = 6
    MALFORMED = 7


@dataclass(frozen=True, slots=True)
class Preamble:
    """The service, target and caller of a stream."""

    service_number: int
    incarnation: int
    revision: int
    caller: Address


def send_preamble(connection: socket.socket, preamble: Preamble) -> None:
    """Send a preamble; raise OSError if the connection breaks."""
    body = encode(preamble)
    connection.sendall(LENGTH.pack(len(body)) + body)


def receive_preamble(
    connection: socket.socket, timeout: float
) -> Result[Preamble, Fault]:
    """Receive a preamble; fail if it does not arrive within ``timeout`` seconds."""
    step = "receive preamble"
    try:
        with gevent.Timeout(timeout, TimeoutError("no preamble within the timeout")):
            (length,) = LENGTH.unpack(_receive(connection, LENGTH.size))
            body = _receive(connection, length)
    except (OSError, EOFError) as error:
        return Failure(Fault(step, "", str(error)))
    return decode(body, Preamble)


def send_verdict(connection: socket.socket, verdict: PreambleStatus) -> None:
    """Send a verdict; raise OSError if the connection breaks."""
    connection.sendall(bytes([verdict]))


def receive_verdict(
    connection: socket.socket, timeout: float
) -> Result[PreambleStatus, Fault]:
    """Receive a verdict; fail if it does not arrive within ``timeout`` seconds."""
    step = "receive verdict"
    try:
        with gevent.Timeout(timeout, TimeoutError("no verdict within the timeout")):
            return Success(PreambleStatus(_receive(connection, VERDICT_BYTES)[0]))
    except (OSError, EOFError, ValueError) as error:
        return Failure(Fault(step, "", str(error)))


def _receive(connection: socket.socket, size: int) -> bytes:
    received = bytearray()
    while len(received) < size:
        chunk = connection.recv(size - len(received))
        if not chunk:
            raise EOFError(f"connection closed after {len(received)} of {size} bytes")
        received += chunk
    return bytes(received)
