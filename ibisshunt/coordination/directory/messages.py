"""Messages between nodes and control hosts."""

from enum import IntEnum
from typing import Annotated

import msgspec

from ...model.domains import DrainedDomains

# Revision of drained domains that a node reports if it has received none.
NO_REVISION = -1
# Counts; a message with a negative one is rejected when it is decoded.
Count = Annotated[int, msgspec.Meta(ge=0)]


class NodeRole(IntEnum):
    """Role of a node."""

    BALANCER = 0
    AGENT = 1


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """Register a node with a control host.

    ``version`` is the configuration it holds, ``digest`` that of its node list.
    ``is_empty`` means that it has no flows and will get none: its target is gone.
    ``drained_revision`` is the revision of the drained domains it holds.
    """

    role: NodeRole
    version: Count
    digest: int
    failure_domain: str = ""
    is_empty: bool = False
    drained_revision: int = NO_REVISION


class HelloReply(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """Answer Hello.

    ``nodes`` are the addresses that the node works with, or None if its digest is up to
    date; ``peers`` are nodes of its role and failure domain, and come with ``nodes``,
    and so do ``same_domain_nodes``, those of ``nodes`` in its failure domain.
    ``is_settled`` means that the sender has run long enough for every node to have
    registered. ``drained_domains`` is None while the sender does not know them for
    certain.
    """

    version: Count
    digest: int
    control_hosts: tuple[str, ...]
    nodes: tuple[str, ...] | None
    peers: tuple[str, ...] = ()
    is_settled: bool = False
    same_domain_nodes: tuple[str, ...] = ()
    drained_domains: DrainedDomains | None = None


class Leave(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """Unregister a node that stops for good, together with its target."""


class Subscribe(msgspec.Struct, frozen=True, array_like=True, tag="i"):
    """Ask an agent to send its status to this balancer.

    ``drained_domains`` are those that the balancer holds: an agent that starts while no
    control host is reachable gets them from it.
    """

    drained_domains: DrainedDomains | None = None


class UpdateNotice(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """Announce the version of the configuration that the sender holds.

    ``drained_domains`` is None while the sender does not know them for certain.
    """

    version: Count
    drained_domains: DrainedDomains | None = None


class FetchChunks(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """Request chunks of a configuration, from ``first_chunk`` on."""

    version: Count
    first_chunk: Count


class Chunk(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Carry chunk ``index`` of ``count``; ``checksum`` covers all of them."""

    version: Count
    index: Count
    count: Annotated[int, msgspec.Meta(ge=1)]
    checksum: int
    data: bytes
