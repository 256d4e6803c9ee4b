"""Track, on a control host, the nodes that register with it."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from zlib import crc32

import msgspec

from ...model.domains import DrainedDomains
from .messages import NO_REVISION, Hello, HelloReply, NodeRole

# Silence after which a node is removed: longer than a restart, so that lists do not
# change at each restart.
NODE_TIMEOUT_SECONDS = 8.0
# How long a node of the previous run may take to register again.
CONFIRMATION_SECONDS = 1.0
# How long a control host must have run before its lists are complete: two registrations
# of each node, so that one of them may be lost.
SETTLE_SECONDS = 1.7


class SavedNode(msgspec.Struct, frozen=True, array_like=True):
    """A node as saved across restarts of the control host; ``role`` is a NodeRole."""

    address: str
    role: int
    failure_domain: str


@dataclass(slots=True)
class RegisteredNode:
    """A registered node; ``last_hello_at`` is in seconds."""

    role: NodeRole
    version: int
    last_hello_at: float
    failure_domain: str = ""
    is_empty: bool = False
    drained_revision: int = NO_REVISION


@dataclass(frozen=True, slots=True)
class _NodeLists:
    """Lists for nodes of one role and failure domain."""

    nodes: tuple[str, ...]
    peers: tuple[str, ...]
    same_domain: tuple[str, ...]
    digest: int


class Registry:
    """Manage the nodes registered with one control host, which starts at ``now``.

    ``saved`` are the nodes of its previous run. When a whole fleet restarts, callers
    send packets of flows that ended with it. A balancer may reset these only once it
    has received a status from every agent; without the saved nodes it would wait until
    the list is certainly complete.
    """

    def __init__(
        self, now: float = float("-inf"), saved: Iterable[SavedNode] = ()
    ) -> None:
        last_hello_at = now + CONFIRMATION_SECONDS - NODE_TIMEOUT_SECONDS
        self.nodes: dict[str, RegisteredNode] = {
            node.address: RegisteredNode(
                NodeRole(node.role), 0, last_hello_at, node.failure_domain
            )
            for node in saved
        }
        self._settled_at = now if self.nodes else now + SETTLE_SECONDS
        self._lists: dict[tuple[NodeRole, str], _NodeLists] = {}

    def handle_hello(
        self,
        address: str,
        hello: Hello,
        version: int,
        control_hosts: tuple[str, ...],
        now: float,
        drained: DrainedDomains | None = None,
    ) -> HelloReply:
        """Register a node; return the reply.

        The drained domains are included if the node does not hold them.
        """
        role = NodeRole(hello.role)
        known = self.nodes.get(address)
        self.nodes[address] = RegisteredNode(
            role,
            hello.version,
            now,
            hello.failure_domain,
            hello.is_empty,
            hello.drained_revision,
        )
        newer_drained = (
            drained if _is_outdated(hello.drained_revision, drained) else None
        )
        if known is None or (known.role, known.failure_domain) != (
            role,
            hello.failure_domain,
        ):
            self._lists.clear()
        lists = self._get_lists(role, hello.failure_domain)
        is_settled = now >= self._settled_at
        if hello.digest == lists.digest:
            return HelloReply(
                version,
                lists.digest,
                control_hosts,
                None,
                (),
                is_settled,
                (),
                newer_drained,
            )
        peers = tuple(peer for peer in lists.peers if peer != address)
        return HelloReply(
            version,
            lists.digest,
            control_hosts,
            lists.nodes,
            peers,
            is_settled,
            lists.same_domain,
            newer_drained,
        )

    def remove(self, address: str) -> bool:
        """Remove a node that leaves; return whether it was registered.

        Until its silence is noticed, each balancer that starts would wait for the node,
        and reset no flow that ended with its target.
        """
        if self.nodes.pop(address, None) is None:
            return False
        self._lists.clear()
        return True

    def sweep(self, now: float) -> list[str]:
        """Remove silent nodes; return their addresses."""
        silent = [
            address
            for address, node in self.nodes.items()
            if now - node.last_hello_at >= NODE_TIMEOUT_SECONDS
        ]
        for address in silent:
            del self.nodes[address]
        if silent:
            self._lists.clear()
        return silent

    def list_nodes_to_save(self) -> tuple[SavedNode, ...]:
        """Return all nodes that may hold flows, in the order of their addresses."""
        return tuple(
            SavedNode(address, int(node.role), node.failure_domain)
            for address, node in sorted(self.nodes.items())
            if not node.is_empty
        )

    def list_outdated(
        self, version: int, drained: DrainedDomains | None = None
    ) -> list[str]:
        """Return the nodes with an older configuration or older drained domains."""
        return [
            address
            for address, node in self.nodes.items()
            if node.version < version or _is_outdated(node.drained_revision, drained)
        ]

    def _get_lists(self, role: NodeRole, failure_domain: str) -> _NodeLists:
        """Return the lists for nodes of a role and failure domain."""
        lists = self._lists.get((role, failure_domain))
        if lists is None:
            listed_role = (
                NodeRole.AGENT if role == NodeRole.BALANCER else NodeRole.BALANCER
            )
            nodes = self._list_nodes(lambda node: node.role == listed_role)
            peers = self._list_nodes(
                lambda node: (node.role, node.failure_domain) == (role, failure_domain)
            )
            same_domain = self._list_nodes(
                lambda node: (
                    (node.role, node.failure_domain) == (listed_role, failure_domain)
                )
            )
            if role == NodeRole.AGENT:
                # An agent serves all balancers alike and sends no flow queries to
                # peers.
                peers = same_domain = ()
            digest = compute_digest((*nodes, "-", *peers, "-", *same_domain))
            lists = _NodeLists(nodes, peers, same_domain, digest)
            self._lists[role, failure_domain] = lists
        return lists

    def _list_nodes(
        self, is_listed: Callable[[RegisteredNode], bool]
    ) -> tuple[str, ...]:
        return tuple(
            sorted(address for address, node in self.nodes.items() if is_listed(node))
        )


def _is_outdated(revision: int, drained: DrainedDomains | None) -> bool:
    return drained is not None and revision < drained.revision


def compute_digest(addresses: Iterable[str]) -> int:
    """Return a number that changes with a list of addresses; never 0."""
    return crc32(",".join(addresses).encode()) or 1
