"""Name what nodes and control hosts tell each other."""

from enum import IntEnum
from typing import Annotated

import msgspec

from ...model.domains import DrainedDomains

# The revision of drained domains that a node tells which has heard of none.
UNHEARD_REVISION = -1
# Numbers that count something: a message with another one is refused when it is read.
Count = Annotated[int, msgspec.Meta(ge=0)]


class NodeRole(IntEnum):
    """Name what a node does."""

    BALANCER = 0
    AGENT = 1


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """Introduce a node to a control host.

    ``version`` is the configuration it holds, ``digest`` the list of nodes it knows,
    ``domain`` its failure domain. ``is_empty`` tells that it holds no flows and will
    hold none: its target has gone. ``drained_revision`` is that of the drained domains
    it holds.
    """

    role: NodeRole
    version: Count
    digest: int
    domain: str = ""
    is_empty: bool = False
    drained_revision: int = UNHEARD_REVISION


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """Answer Hello.

    ``nodes`` are the addresses that the node works with, or None when the digest says
    that it knows them; ``peers`` are nodes of its role and failure domain, and come
    with ``nodes``; so do ``near``, those of ``nodes`` in its failure domain.
    ``control`` are the control hosts. ``settled`` tells that the sender has run for
    long enough to have heard all nodes. ``drained`` are the drained domains, None while
    the sender cannot be sure of them.
    """

    version: Count
    digest: int
    control: tuple[str, ...]
    nodes: tuple[str, ...] | None
    peers: tuple[str, ...] = ()
    settled: bool = False
    near: tuple[str, ...] = ()
    drained: DrainedDomains | None = None


class Leave(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """Tell a control host that the node goes for good, with its target."""


class Introduce(msgspec.Struct, frozen=True, array_like=True, tag="i"):
    """Tell an agent of a balancer that wants its status.

    ``drained`` are the drained domains that the balancer holds: an agent that starts
    while control is away learns of them from it.
    """

    drained: DrainedDomains | None = None


class Notice(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """Tell that the sender holds that version of the configuration.

    ``drained`` are the drained domains, None while it cannot be sure of them.
    """

    version: Count
    drained: DrainedDomains | None = None


class Fetch(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """Ask for pieces of a configuration, from ``first`` on."""

    version: Count
    first: Count


class Piece(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Bring piece ``index`` of ``count``; ``checksum`` covers the whole."""

    version: Count
    index: Count
    count: Annotated[int, msgspec.Meta(ge=1)]
    checksum: int
    data: bytes
