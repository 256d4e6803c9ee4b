"""Read and write the datagrams between balancers and agents.

Each datagram starts with a fixed header; a packet follows it, or keys of flows. From
the fabric and towards targets the payload is a bare IPv4 packet (GUE variant 1).
"""

import struct
from dataclasses import dataclass, replace
from enum import IntEnum
from typing import Final

from returns.result import Failure, Result, Success

from ..exceptions import Fault
from .packet import KEY_BYTES

HEADER_VERSION: Final = 1

# Flags of a forwarded packet.
KNOWN_ONLY: Final = 1  # deliver only when the flow is known: open and adopt nothing
SEEKING: Final = 2  # asks whether another agent owns the flow, before it is taken
SOUGHT: Final = 4  # no other agent owns the flow: back at the agent that asked
BY_POINTER: Final = 8  # the sender holds a pointer that names the receiver as owner
PASSED: Final = 16  # passed on by load or bound: the receiver takes or refuses it
INSISTED: Final = 32  # handed back to a taker that passed it on: nobody else takes it

# version, kind, flags, hops, service number, revision, target, origin, its address
_HEADER = struct.Struct("!BBBBIQQQ4sH")
_VISITED = struct.Struct("!Q")
# owner's place, number of keys
_POINTER = struct.Struct("!QH")
_LOAD = struct.Struct("!d")
# place, number of the start
_RECALL = struct.Struct("!QQ")
# number of keys sent before, verdict on the place
_RECALLED = struct.Struct("!IB")

HEADER_BYTES: Final = _HEADER.size
# Keeps a datagram of keys below an Ethernet frame of 1500 bytes.
MAX_KEYS: Final = 100


Pair = tuple[str, int]
NOWHERE: Final[Pair] = ("0.0.0.0", 0)


class DatagramKind(IntEnum):
    """Number the kinds of datagram."""

    PACKET = 1
    POINTER = 2
    LOAD = 3
    REVISION = 4
    RECALL = 5
    RECALLED = 6


@dataclass(frozen=True, slots=True)
class Header:
    """Describe where a datagram comes from and goes to.

    ``service`` is the number of the service, ``revision`` that of the sender's slice
    of it. ``target`` is the incarnation the sender meant, ``origin`` that of the agent
    that asked for the flow (0 when none did) and ``reply_to`` that agent's packet
    socket: who answers need not have it in its table. ``visited`` holds the
    incarnations that have seen the packet, in order: it bounds the walk and ends every
    circle.
    """

    kind: int
    flags: int
    service: int
    revision: int
    target: int
    origin: int = 0
    reply_to: Pair = NOWHERE
    visited: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class PointerList:
    """Name the target that owns some flows.

    ``owner`` is the incarnation (in the header as ``origin``), ``place`` the number
    that stays when the agent restarts beside its target, ``pair`` the agent's packet
    socket (``reply_to``).
    """

    owner: int
    place: int
    pair: Pair
    keys: tuple[bytes, ...]


def pack_header(header: Header) -> bytes:
    """Return the bytes that go before the payload."""
    fixed = _HEADER.pack(
        HEADER_VERSION,
        header.kind,
        header.flags,
        len(header.visited),
        header.service,
        header.revision,
        header.target,
        header.origin,
        bytes(map(int, header.reply_to[0].split("."))),
        header.reply_to[1],
    )
    if not header.visited:
        return fixed
    return fixed + b"".join(map(_VISITED.pack, header.visited))


def read_datagram(data: bytes) -> Result[tuple[Header, bytes], Fault]:
    """Split a datagram into its header and payload; refuse what does not fit."""
    if len(data) < _HEADER.size:
        return Failure(Fault("read datagram", "", f"only {len(data)} bytes"))
    version, kind, flags, hops, *numbers, ip, port = _HEADER.unpack_from(data)
    if version != HEADER_VERSION:
        return Failure(Fault("read datagram", "", f"header version {version}"))
    start = _HEADER.size + hops * _VISITED.size
    if len(data) < start:
        return Failure(Fault("read datagram", "", f"{hops} hops do not fit"))
    visited: tuple[int, ...] = ()
    if hops:
        visited = struct.unpack_from(f"!{hops}Q", data, _HEADER.size)
    reply_to = (".".join(map(str, ip)), port)
    header = Header(kind, flags, *numbers, reply_to, visited)
    return Success((header, data[start:]))


def pack_pointers(header: Header, pointers: PointerList) -> bytes:
    """Return a datagram that tells a peer who owns some flows."""
    fixed = _POINTER.pack(pointers.place, len(pointers.keys))
    head = replace(
        header,
        kind=DatagramKind.POINTER,
        origin=pointers.owner,
        reply_to=pointers.pair,
    )
    return pack_header(head) + fixed + b"".join(pointers.keys)


def read_pointers(header: Header, payload: bytes) -> Result[PointerList, Fault]:
    """Read the payload of a POINTER datagram."""
    if len(payload) < _POINTER.size:
        return Failure(Fault("read pointers", "", f"only {len(payload)} bytes"))
    place, count = _POINTER.unpack_from(payload)
    body = payload[_POINTER.size :]
    if len(body) != count * KEY_BYTES:
        return Failure(Fault("read pointers", "", f"{count} keys do not fit"))
    keys = (body[at : at + KEY_BYTES] for at in range(0, len(body), KEY_BYTES))
    pointers = PointerList(header.origin, place, header.reply_to, tuple(keys))
    return Success(pointers)


def pack_load(header: Header, load: float) -> bytes:
    """Return a datagram that tells a peer the sender's load."""
    return pack_header(replace(header, kind=DatagramKind.LOAD)) + _LOAD.pack(load)


def read_load(payload: bytes) -> Result[float, Fault]:
    """Read the payload of a LOAD datagram."""
    if len(payload) != _LOAD.size:
        return Failure(Fault("read load", "", f"{len(payload)} bytes"))
    return Success(_LOAD.unpack(payload)[0])


def pack_recall(header: Header, place: int, start: int) -> bytes:
    """Return a datagram that asks a peer for the flows it knows of a target.

    ``start`` is a number of 64 bits that differs from one start to the next.
    """
    head = replace(header, kind=DatagramKind.RECALL)
    return pack_header(head) + _RECALL.pack(place, start)


def read_recall(payload: bytes) -> Result[tuple[int, int], Fault]:
    """Read place and start of a RECALL datagram."""
    if len(payload) != _RECALL.size:
        return Failure(Fault("read recall", "", f"{len(payload)} bytes"))
    return Success(_RECALL.unpack(payload))


def pack_recalled(header: Header, total: int, verdict: int) -> bytes:
    """Return a datagram that ends the answer to a RECALL datagram."""
    head = replace(header, kind=DatagramKind.RECALLED)
    return pack_header(head) + _RECALLED.pack(total, verdict)


def read_recalled(payload: bytes) -> Result[tuple[int, int], Fault]:
    """Read the number of keys and the verdict of a RECALLED datagram."""
    if len(payload) != _RECALLED.size:
        return Failure(Fault("read recalled", "", f"{len(payload)} bytes"))
    return Success(_RECALLED.unpack(payload))
