"""Introduce a relayed TCP stream to the agent that is to take it."""

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


class Verdict(IntEnum):
    """Answer a preamble; no byte of the caller's goes on before TAKEN."""

    TAKEN = 1
    WRONG_SERVICE = 2
    WRONG_INCARNATION = 3
    CALLER_REFUSED = 4
    LEAVING = 5
    TARGET_UNREACHABLE = 6
    MALFORMED = 7


@dataclass(frozen=True, slots=True)
class Preamble:
    """Name the service, the target and the caller of a stream."""

    service_number: int
    incarnation: int
    revision: int
    caller: Address


def send_preamble(connection: socket.socket, preamble: Preamble) -> None:
    """Write the preamble; raise OSError when the connection breaks."""
    body = encode(preamble)
    connection.sendall(LENGTH.pack(len(body)) + body)


def receive_preamble(
    connection: socket.socket, timeout: float
) -> Result[Preamble, Fault]:
    """Read the preamble within ``timeout`` seconds."""
    step = "receive preamble"
    try:
        with gevent.Timeout(timeout, TimeoutError("no preamble in time")):
            (length,) = LENGTH.unpack(_receive(connection, LENGTH.size))
            body = _receive(connection, length)
    except (OSError, EOFError) as error:
        return Failure(Fault(step, "", str(error)))
    return decode(body, Preamble)


def send_verdict(connection: socket.socket, verdict: Verdict) -> None:
    """Write the verdict; raise OSError when the connection breaks."""
    connection.sendall(bytes([verdict]))


def receive_verdict(
    connection: socket.socket, timeout: float
) -> Result[Verdict, Fault]:
    """Read the verdict within ``timeout`` seconds."""
    step = "receive verdict"
    try:
        with gevent.Timeout(timeout, TimeoutError("no verdict in time")):
            return Success(Verdict(_receive(connection, VERDICT_BYTES)[0]))
    except (OSError, EOFError, ValueError) as error:
        return Failure(Fault(step, "", str(error)))


def _receive(connection: socket.socket, size: int) -> bytes:
    parts = bytearray()
    while len(parts) < size:
        part = connection.recv(size - len(parts))
        if not part:
            raise EOFError(f"closed after {len(parts)} of {size} bytes")
        parts += part
    return bytes(parts)
