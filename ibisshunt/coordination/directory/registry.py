"""Remember, on a control host, the nodes that introduced themselves."""

from collections.abc import Iterable
from dataclasses import dataclass
from zlib import crc32

from .messages import Hello, NodeRole, Welcome

# A node that was silent this long is left out. Unit: seconds. Source: ten missed
# introductions; longer than a restart, so that a list does not change at each.
NODE_SECONDS = 8.0


@dataclass(slots=True)
class Node:
    """Hold one node; ``heard_at`` is in seconds."""

    role: NodeRole
    version: int
    heard_at: float


class Registry:
    """Own the nodes that one control host has heard of."""

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        self._lists: dict[NodeRole, tuple[tuple[str, ...], int]] = {}
        self._list_again()

    def take(
        self,
        address: str,
        hello: Hello,
        version: int,
        control: tuple[str, ...],
        now: float,
    ) -> Welcome:
        """Take an introduction; return the answer."""
        role = NodeRole(hello.role)
        known = self.nodes.get(address)
        self.nodes[address] = Node(role, hello.version, now)
        if known is None or known.role != role:
            self._list_again()
        wanted = NodeRole.AGENT if role == NodeRole.BALANCER else NodeRole.BALANCER
        nodes, digest = self._lists[wanted]
        told = None if hello.digest == digest else nodes
        return Welcome(version, digest, control, told)

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
            self._list_again()
        return silent

    def list_behind(self, version: int) -> list[str]:
        """Return the nodes that hold an older configuration."""
        return [
            address for address, node in self.nodes.items() if node.version < version
        ]

    def _list_again(self) -> None:
        for role in NodeRole:
            found = sorted(
                address for address, node in self.nodes.items() if node.role == role
            )
            self._lists[role] = (tuple(found), make_digest(found))


def make_digest(addresses: Iterable[str]) -> int:
    """Return a number that changes with a list of addresses; never 0."""
    return crc32(",".join(addresses).encode()) or 1
