"""Remember, on a control host, the nodes that introduced themselves."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from zlib import crc32

import msgspec

from ...model.domains import DrainedDomains
from .messages import UNHEARD_REVISION, Hello, NodeRole, Welcome

# A node that was silent this long is left out: longer than a restart, so that a list
# does not change at each.
NODE_SECONDS = 8.0
# How long a node of the former run may take to introduce itself again.
CONFIRM_SECONDS = 1.0
# How long a control host must have run before its lists are whole: two introductions of
# each node, so that one of them may be lost.
SETTLE_SECONDS = 1.7


class KnownNode(msgspec.Struct, frozen=True, array_like=True):
    """Hold what outlives a restart of the control host; ``role`` is a NodeRole."""

    address: str
    role: int
    domain: str


@dataclass(slots=True)
class Node:
    """Hold one node; ``heard_at`` is in seconds."""

    role: NodeRole
    version: int
    heard_at: float
    domain: str = ""
    is_empty: bool = False
    drained_revision: int = UNHEARD_REVISION


@dataclass(frozen=True, slots=True)
class _Lists:
    """Hold the lists for nodes of one role and failure domain."""

    nodes: tuple[str, ...]
    peers: tuple[str, ...]
    near: tuple[str, ...]
    digest: int


class Registry:
    """Own the nodes that one control host has heard of; it starts at ``now``.

    ``known`` are the nodes of its former run. When a whole fleet restarts, callers
    send packets of flows that ended with it; a balancer may only tell them so once it
    has heard all agents, and would otherwise wait until the list is surely whole.
    """

    def __init__(
        self, now: float = float("-inf"), known: Iterable[KnownNode] = ()
    ) -> None:
        heard_at = now + CONFIRM_SECONDS - NODE_SECONDS
        self.nodes: dict[str, Node] = {
            node.address: Node(NodeRole(node.role), 0, heard_at, node.domain)
            for node in known
        }
        self._settled_at = now if self.nodes else now + SETTLE_SECONDS
        self._lists: dict[tuple[NodeRole, str], _Lists] = {}

    def take(
        self,
        address: str,
        hello: Hello,
        version: int,
        control: tuple[str, ...],
        now: float,
        drained: DrainedDomains | None = None,
    ) -> Welcome:
        """Take an introduction; return the answer.

        The drained domains go along when the node does not hold them.
        """
        role = NodeRole(hello.role)
        known = self.nodes.get(address)
        self.nodes[address] = Node(
            role,
            hello.version,
            now,
            hello.domain,
            hello.is_empty,
            hello.drained_revision,
        )
        told = drained if _is_behind(hello.drained_revision, drained) else None
        if known is None or (known.role, known.domain) != (role, hello.domain):
            self._lists.clear()
        lists = self._find_lists(role, hello.domain)
        settled = now >= self._settled_at
        if hello.digest == lists.digest:
            return Welcome(version, lists.digest, control, None, (), settled, (), told)
        peers = tuple(peer for peer in lists.peers if peer != address)
        return Welcome(
            version,
            lists.digest,
            control,
            lists.nodes,
            peers,
            settled,
            lists.near,
            told,
        )

    def remove(self, address: str) -> bool:
        """Leave out a node that has said so; return whether it was there.

        Only silence would tell otherwise, and until then each balancer that starts
        waits for the node, and resets no flow that ended with its target.
        """
        if self.nodes.pop(address, None) is None:
            return False
        self._lists.clear()
        return True

    def sweep(self, now: float) -> list[str]:
        """Leave silent nodes out; return their addresses."""
        silent = [
            address
            for address, node in self.nodes.items()
            if now - node.heard_at >= NODE_SECONDS
        ]
        for address in silent:
            del self.nodes[address]
        if silent:
            self._lists.clear()
        return silent

    def list_known(self) -> tuple[KnownNode, ...]:
        """Return all nodes that may hold flows, in the order of their addresses."""
        return tuple(
            KnownNode(address, int(node.role), node.domain)
            for address, node in sorted(self.nodes.items())
            if not node.is_empty
        )

    def list_behind(
        self, version: int, drained: DrainedDomains | None = None
    ) -> list[str]:
        """Return the nodes that hold an older configuration or drained domains."""
        return [
            address
            for address, node in self.nodes.items()
            if node.version < version or _is_behind(node.drained_revision, drained)
        ]

    def _find_lists(self, role: NodeRole, domain: str) -> _Lists:
        """Return what nodes of a role and failure domain are told."""
        found = self._lists.get((role, domain))
        if found is None:
            wanted = NodeRole.AGENT if role == NodeRole.BALANCER else NodeRole.BALANCER
            nodes = self._list(lambda node: node.role == wanted)
            peers = self._list(lambda node: (node.role, node.domain) == (role, domain))
            near = self._list(lambda node: (node.role, node.domain) == (wanted, domain))
            if role == NodeRole.AGENT:
                # An agent serves all balancers alike and asks none for flows.
                peers = near = ()
            digest = make_digest((*nodes, "-", *peers, "-", *near))
            found = _Lists(nodes, peers, near, digest)
            self._lists[role, domain] = found
        return found

    def _list(self, is_wanted: Callable[[Node], bool]) -> tuple[str, ...]:
        return tuple(
            sorted(address for address, node in self.nodes.items() if is_wanted(node))
        )


def _is_behind(revision: int, drained: DrainedDomains | None) -> bool:
    return drained is not None and revision < drained.revision


def make_digest(addresses: Iterable[str]) -> int:
    """Return a number that changes with a list of addresses; never 0."""
    return crc32(",".join(addresses).encode()) or 1
