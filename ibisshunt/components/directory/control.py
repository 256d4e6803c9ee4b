"""Answer nodes on a control host: who is there, and which configuration is in force."""

import zlib
from collections.abc import Callable
from typing import Any

import gevent

from ...coordination.directory.download import make_pieces
from ...coordination.directory.messages import Fetch, Hello, Leave, Notice
from ...coordination.directory.registry import Registry
from ...coordination.versions import VersionStore
from ...helpers.clock import read_clock
from ...helpers.logging import log_event
from .inner import InnerSocket
from .known import NodeFile

# How often nodes that hold an older version are told again. Unit: seconds. Source: a
# datagram or two may be lost, and all must know within 3 s.
TELL_SECONDS = 0.25
# How often the list of nodes is written when it has changed. Unit: seconds. Source:
# one write for all nodes that a fleet's start brings.
SAVE_SECONDS = 1.0


class ControlDirectory:
    """Own the registry of one control host."""

    def __init__(
        self,
        inner: InnerSocket,
        store: VersionStore,
        list_control: Callable[[], tuple[str, ...]],
        file: NodeFile,
    ) -> None:
        known = file.load()
        self.registry = Registry(read_clock(), known)
        self._file = file
        self._saved = known
        self._inner = inner
        self._store = store
        self._list_control = list_control
        self._packed: tuple[int, bytes] = (0, b"")
        inner.handle(Hello, self._take_hello)
        inner.handle(Leave, self._take_leave)
        inner.handle(Fetch, self._take_fetch)

    def run(self) -> None:
        """Tell nodes of newer versions until killed."""
        while True:
            gevent.sleep(TELL_SECONDS)
            self.announce()
            for address in self.registry.sweep(read_clock()):
                log_event("node_silent", peer=address)

    def run_saving(self) -> None:
        """Keep the list of nodes on disk until killed."""
        while True:
            gevent.sleep(SAVE_SECONDS)
            known = self.registry.list_known()
            if known != self._saved and self._file.save(known):
                self._saved = known

    def announce(self) -> None:
        """Tell each node that holds an older version of the present one."""
        version = self._store.version
        for address in self.registry.list_behind(version):
            self._inner.send(address, Notice(version))

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            address: {"role": node.role.name, "version": node.version}
            for address, node in self.registry.nodes.items()
        }

    def _take_hello(self, peer: str, hello: Hello) -> None:
        is_new = peer not in self.registry.nodes
        control = self._list_control()
        version = self._store.version
        welcome = self.registry.take(peer, hello, version, control, read_clock())
        self._inner.send(peer, welcome)
        if is_new:
            log_event("node_heard", peer=peer, role=hello.role, version=hello.version)

    def _take_leave(self, peer: str, message: Leave) -> None:
        if self.registry.remove(peer):
            log_event("node_left", peer=peer)

    def _take_fetch(self, peer: str, fetch: Fetch) -> None:
        version, whole = self._pack()
        if version < fetch.version:
            return
        for piece in make_pieces(version, whole, fetch.first):
            self._inner.send(peer, piece)

    def _pack(self) -> tuple[int, bytes]:
        if self._packed[0] != self._store.version:
            packed = zlib.compress(self._store.body, 6)
            self._packed = (self._store.version, packed)
        return self._packed
