"""Pack and parse the datagrams between balancers and agents.

Each datagram starts with a header; a packet or a list of flow keys follows. Datagrams
from the network and to targets carry a bare IPv4 packet instead (GUE variant 1).

A pointer is an agent's entry for a flow that its target does not own; it names the
owner. After a restart, an agent recalls its flows: it queries its peers for the flows
whose pointers name its target.
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
KNOWN_ONLY: Final = 1  # deliver only if the flow is known: neither open nor adopt it
OWNER_QUERY: Final = 2  # passed from agent to agent to find the owner of the flow
NO_OTHER_OWNER: Final = 4  # no other agent owns the flow: returned to the origin
BY_POINTER: Final = 8  # the sender has a pointer that names the receiver as owner
REDIRECTED: Final = 16  # redirected due to load or a limit: accept or refuse it
FINAL_REDIRECT: Final = 32  # returned to an agent that redirected it: last attempt

# version, kind, flags, length of visited, service number, revision, target,
# origin, IPv4 address and port of reply_to
_HEADER = struct.Struct("!BBBBIQQQ4sH")
_VISITED = struct.Struct("!Q")
# instance id of the owner, number of keys
_POINTER = struct.Struct("!QH")
_LOAD = struct.Struct("!d")
# instance id of the sender's target, start id of the agent
_RECALL = struct.Struct("!QQ")
# number of keys sent in reply, status of the instance
_RECALLED = struct.Struct("!IB")

HEADER_BYTES: Final = _HEADER.size
# A datagram with this many keys fits into an Ethernet frame of 1500 bytes.
MAX_KEYS: Final = 100


SocketAddress = tuple[str, int]
UNSET_ADDRESS: Final[SocketAddress] = ("0.0.0.0", 0)


class DatagramKind(IntEnum):
    """Kind of a datagram."""

    PACKET = 1
    POINTER = 2
    LOAD = 3
    REVISION = 4
    RECALL = 5
    RECALLED = 6


@dataclass(frozen=True, slots=True)
class Header:
    """Header of a datagram: its sender, receiver and path.

    ``service`` is the service number and ``revision`` the revision of the sender's
    slice of that service. ``target`` is the incarnation that the sender addresses.
    ``origin`` is the incarnation whose agent queries for the owner of the flow, 0 if
    none, and ``reply_to`` the packet socket of that agent, which may be missing in the
    table of the agent that answers. ``visited`` lists the incarnations that have
    handled the packet, in order. It limits the number of hops and prevents forwarding
    loops.
    """

    kind: int
    flags: int
    service: int
    revision: int
    target: int
    origin: int = 0
    reply_to: SocketAddress = UNSET_ADDRESS
    visited: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class PointerList:
    """Keys of flows and the target that owns them.

    ``owner`` is the incarnation (``origin`` in the header) and ``socket_address`` the
    packet socket of its agent (``reply_to``). ``instance_id`` identifies the target
    on its host and does not change when the agent restarts.
    """

    owner: int
    instance_id: int
    socket_address: SocketAddress
    keys: tuple[bytes, ...]


def pack_header(header: Header) -> bytes:
    """Encode a header."""
    fixed_fields = _HEADER.pack(
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
        return fixed_fields
    return fixed_fields + b"".join(map(_VISITED.pack, header.visited))


def read_datagram(data: bytes) -> Result[tuple[Header, bytes], Fault]:
    """Split a datagram into header and payload; fail if it is malformed."""
    if len(data) < _HEADER.size:
        return Failure(Fault("read datagram", "", f"truncated: {len(data)} bytes"))
    version, kind, flags, hops, *numbers, ip, port = _HEADER.unpack_from(data)
    if version != HEADER_VERSION:
        return Failure(Fault("read datagram", "", f"unknown header version {version}"))
    payload_start = _HEADER.size + hops * _VISITED.size
    if len(data) < payload_start:
        return Failure(Fault("read datagram", "", f"truncated: {hops} hops announced"))
    visited: tuple[int, ...] = ()
    if hops:
        visited = struct.unpack_from(f"!{hops}Q", data, _HEADER.size)
    reply_to = (".".join(map(str, ip)), port)
    header = Header(kind, flags, *numbers, reply_to, visited)
    return Success((header, data[payload_start:]))


def pack_pointers(header: Header, pointers: PointerList) -> bytes:
    """Encode a POINTER datagram, which names the owner of some flows."""
    fixed_fields = _POINTER.pack(pointers.instance_id, len(pointers.keys))
    pointer_header = replace(
        header,
        kind=DatagramKind.POINTER,
        origin=pointers.owner,
        reply_to=pointers.socket_address,
    )
    return pack_header(pointer_header) + fixed_fields + b"".join(pointers.keys)


def read_pointers(header: Header, payload: bytes) -> Result[PointerList, Fault]:
    """Parse the payload of a POINTER datagram."""
    if len(payload) < _POINTER.size:
        return Failure(Fault("read pointers", "", f"truncated: {len(payload)} bytes"))
    instance_id, count = _POINTER.unpack_from(payload)
    body = payload[_POINTER.size :]
    if len(body) != count * KEY_BYTES:
        return Failure(Fault("read pointers", "", f"wrong size for {count} keys"))
    keys = (body[i : i + KEY_BYTES] for i in range(0, len(body), KEY_BYTES))
    pointers = PointerList(header.origin, instance_id, header.reply_to, tuple(keys))
    return Success(pointers)


def pack_load(header: Header, load: float) -> bytes:
    """Encode a LOAD datagram, which reports the sender's load."""
    return pack_header(replace(header, kind=DatagramKind.LOAD)) + _LOAD.pack(load)


def read_load(payload: bytes) -> Result[float, Fault]:
    """Parse the payload of a LOAD datagram."""
    if len(payload) != _LOAD.size:
        return Failure(Fault("read load", "", f"wrong size: {len(payload)} bytes"))
    return Success(_LOAD.unpack(payload)[0])


def pack_recall(header: Header, instance_id: int, start_id: int) -> bytes:
    """Encode a RECALL datagram, which requests the sender's flows from a peer.

    ``instance_id`` identifies the sender's target, as in PointerList.
    ``start_id`` is a 64-bit number that differs between starts of the agent.
    """
    recall_header = replace(header, kind=DatagramKind.RECALL)
    return pack_header(recall_header) + _RECALL.pack(instance_id, start_id)


def read_recall(payload: bytes) -> Result[tuple[int, int], Fault]:
    """Parse the instance id and the start id in a RECALL datagram."""
    if len(payload) != _RECALL.size:
        return Failure(Fault("read recall", "", f"wrong size: {len(payload)} bytes"))
    return Success(_RECALL.unpack(payload))


def pack_recalled(header: Header, key_count: int, status: int) -> bytes:
    """Encode a RECALLED datagram, which ends the reply to a RECALL datagram."""
    recalled_header = replace(header, kind=DatagramKind.RECALLED)
    return pack_header(recalled_header) + _RECALLED.pack(key_count, status)


def read_recalled(payload: bytes) -> Result[tuple[int, int], Fault]:
    """Parse the number of keys and the instance status in a RECALLED datagram."""
    if len(payload) != _RECALLED.size:
        return Failure(Fault("read recalled", "", f"wrong size: {len(payload)} bytes"))

    return Success(_RECALLED.unpack(payload))
