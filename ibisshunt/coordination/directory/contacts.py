"""Remember, on a node, the control hosts and the nodes it works with."""

from collections.abc import Iterable

from ...model.domains import DrainedDomains
from .messages import UNHEARD_REVISION, Hello, NodeRole, Welcome

# How long a node is kept that no control host lists any more, as while control is cut
# off.
UNLISTED_SECONDS = 40.0
# How long a control host is asked that is neither listed nor in the settings.
CONTROL_SECONDS = 40.0


class Contacts:
    """Own what one node knows of the others; times are in seconds."""

    def __init__(self, role: NodeRole, seeds: Iterable[str], domain: str = "") -> None:
        self.role = role
        self.domain = domain
        self.peers: tuple[str, ...] = ()
        self.near: frozenset[str] = frozenset()
        self.seeds = tuple(seeds)
        self.digest = 0
        self._control: dict[str, float] = {}
        self._nodes: dict[str, float] = {}
        self._heard: dict[str, float] = {}
        self._listed: dict[str, frozenset[str]] = {}

    def take_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the seeds by those of newer settings."""
        self.seeds = tuple(seeds)

    def make_hello(
        self,
        version: int,
        is_empty: bool = False,
        drained: DrainedDomains | None = None,
    ) -> Hello:
        """Return the introduction for the control hosts."""
        revision = UNHEARD_REVISION if drained is None else drained.revision
        return Hello(self.role, version, self.digest, self.domain, is_empty, revision)

    def list_control(self, now: float) -> list[str]:
        """Return the control hosts to introduce this node to."""
        listed = [
            address
            for address, at in self._control.items()
            if now - at < CONTROL_SECONDS
        ]
        return sorted({*self.seeds, *listed})

    def note_control(self, address: str, now: float) -> None:
        """Take a control host that has spoken without being asked."""
        self._control[address] = now

    def list_nodes(self) -> list[str]:
        """Return the nodes to work with."""
        return list(self._nodes)

    def take(self, address: str, welcome: Welcome, now: float) -> list[str]:
        """Take a control host's answer; return the nodes that are new.

        Lists of several control hosts are joined: one that has just started, or was
        cut off, knows only some nodes.
        """
        self._heard[address] = now
        for control in welcome.control:
            self._control[control] = now
        if welcome.nodes is None:
            for node in self._nodes:
                self._nodes[node] = now
            return []
        self.digest = welcome.digest
        self._listed[address] = frozenset(welcome.nodes)
        # A control host that has just started knows few: its list takes nobody away.
        self.peers = welcome.peers or self.peers
        self.near = frozenset(welcome.near) or self.near
        return [node for node in welcome.nodes if self.note(node, now)]

    def note(self, node: str, now: float) -> bool:
        """Take a node that was listed or heard; return whether it is new."""
        is_new = node not in self._nodes
        self._nodes[node] = now
        return is_new

    def list_named(self, now: float, within: float) -> frozenset[str]:
        """Return the nodes that a control host heard lately has in its list."""
        named: frozenset[str] = frozenset()
        for control, nodes in self._listed.items():
            if now - self._heard[control] < within:
                named |= nodes
        return named

    def list_heard(self, now: float, within: float) -> list[str]:
        """Return the control hosts heard in the last ``within`` seconds."""
        return [address for address, at in self._heard.items() if now - at < within]

    def sweep(self, now: float) -> None:
        """Forget nodes that were not listed for long."""
        for node, at in tuple(self._nodes.items()):
            if now - at >= UNLISTED_SECONDS:
                del self._nodes[node]
                self.digest = 0
