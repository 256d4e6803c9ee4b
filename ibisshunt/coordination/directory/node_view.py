"""Track, on a node, the control hosts and the nodes it works with."""

from collections.abc import Iterable

from ...model.domains import DrainedDomains
from .messages import NO_REVISION, Hello, HelloReply, NodeRole

# How long a node is kept that no control host lists any more, for example while control
# hosts are unreachable.
NODE_RETENTION_SECONDS = 40.0
# How long a control host is contacted that is neither listed nor in the settings.
CONTROL_HOST_RETENTION_SECONDS = 40.0


class NodeView:
    """Track the control hosts and nodes that one node knows; times are in seconds."""

    def __init__(
        self, role: NodeRole, seeds: Iterable[str], failure_domain: str = ""
    ) -> None:
        self.role = role
        self.failure_domain = failure_domain
        self.peers: tuple[str, ...] = ()
        self.same_domain_agents: frozenset[str] = frozenset()
        self.seeds = tuple(seeds)
        self.digest = 0
        self._control_hosts: dict[str, float] = {}
        self._nodes: dict[str, float] = {}
        self._last_reply_at: dict[str, float] = {}
        self._listed_nodes: dict[str, frozenset[str]] = {}

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the seeds by those of newer settings."""
        self.seeds = tuple(seeds)

    def make_hello(
        self,
        version: int,
        is_empty: bool = False,
        drained: DrainedDomains | None = None,
    ) -> Hello:
        """Return the registration message for the control hosts."""
        revision = NO_REVISION if drained is None else drained.revision
        return Hello(
            self.role, version, self.digest, self.failure_domain, is_empty, revision
        )

    def list_control_hosts(self, now: float) -> list[str]:
        """Return the control hosts to register with."""
        recent = [
            address
            for address, seen_at in self._control_hosts.items()
            if now - seen_at < CONTROL_HOST_RETENTION_SECONDS
        ]
        return sorted({*self.seeds, *recent})

    def record_control_host(self, address: str, now: float) -> None:
        """Record a control host that has sent an unsolicited message."""
        self._control_hosts[address] = now

    def list_nodes(self) -> list[str]:
        """Return the nodes to work with."""
        return list(self._nodes)

    def apply_reply(self, address: str, reply: HelloReply, now: float) -> list[str]:
        """Apply a control host's reply; return the nodes that are new.

        The lists of several control hosts are merged: one that has just started, or was
        unreachable, knows only some nodes.
        """
        self._last_reply_at[address] = now
        for control_host in reply.control_hosts:
            self._control_hosts[control_host] = now
        if reply.nodes is None:
            for node in self._nodes:
                self._nodes[node] = now
            return []
        self.digest = reply.digest
        self._listed_nodes[address] = frozenset(reply.nodes)
        # A control host that has just started knows few nodes: its list removes none.
        self.peers = reply.peers or self.peers
        self.same_domain_agents = (
            frozenset(reply.same_domain_nodes) or self.same_domain_agents
        )
        return [node for node in reply.nodes if self.record_node(node, now)]

    def record_node(self, node: str, now: float) -> bool:
        """Record a node that was listed or sent a message; return whether it is new."""
        is_new = node not in self._nodes
        self._nodes[node] = now
        return is_new

    def list_listed_nodes(self, now: float, max_age: float) -> frozenset[str]:
        """Return the nodes listed by control hosts that replied lately."""
        listed: frozenset[str] = frozenset()
        for control_host, nodes in self._listed_nodes.items():
            if now - self._last_reply_at[control_host] < max_age:
                listed |= nodes
        return listed

    def list_recent_control_hosts(self, now: float, max_age: float) -> list[str]:
        """Return the control hosts that replied in the last ``max_age`` seconds."""
        return [
            address
            for address, replied_at in self._last_reply_at.items()
            if now - replied_at < max_age
        ]

    def expire(self, now: float) -> None:
        """Remove nodes that were not listed for the retention time."""
        for node, seen_at in tuple(self._nodes.items()):
            if now - seen_at >= NODE_RETENTION_SECONDS:
                del self._nodes[node]
                self.digest = 0
