"""Keep a balancer or agent in touch: introduce it, and fetch new configurations."""

import random
import zlib
from collections.abc import Callable
from typing import Any

import gevent

from ...coordination.directory.contacts import Contacts
from ...coordination.directory.download import Download, make_pieces
from ...coordination.directory.messages import (
    Fetch,
    Introduce,
    Leave,
    NodeRole,
    Notice,
    Piece,
    Welcome,
)
from ...helpers.clock import read_clock
from ...helpers.logging import log_event, warn_event
from ...model.domains import DrainedDomains
from .inner import InnerSocket

# How often a node introduces itself; its answer also mends a lost notice of a new
# configuration.
HELLO_SECONDS = 0.7
# The same while it knows no control host.
FIRST_HELLO_SECONDS = 0.1
TICK_SECONDS = 0.1
# How often, and at which interval, a node that goes for good says so.
LEAVE_TIMES = 2
LEAVE_SECONDS = 0.05
# How many of the nodes that were learned together a log line names: a line for each
# would take a thin host longer than to meet them.
FIRST_NAMED = 3
# How long after its last answer a control host counts as heard: three introductions.
IN_TOUCH_SECONDS = 2.2


class NodeDirectory:
    """Own one node's contacts and its copy of the configuration."""

    def __init__(
        self,
        inner: InnerSocket,
        role: NodeRole,
        seeds: tuple[str, ...],
        take_configuration: Callable[[bytes], int | None],
        meet: Callable[[str], None],
        domain: str = "",
        finish_list: Callable[[frozenset[str]], None] = lambda named: None,
        is_empty: Callable[[], bool] = lambda: False,
        take_drained: Callable[[DrainedDomains], None] = lambda drained: None,
    ) -> None:
        self.contacts = Contacts(role, seeds, domain)
        self.version = 0
        self.drained: DrainedDomains | None = None
        self._whole = b""
        self._download = Download()
        self._inner = inner
        self._take_configuration = take_configuration
        self._meet = meet
        self._finish_list = finish_list
        self._is_empty = is_empty
        self._take_drained_there = take_drained
        self._in_touch = False
        self._has_left = False
        inner.handle(Welcome, self._take_welcome)
        inner.handle(Notice, self._take_notice)
        inner.handle(Piece, self._take_piece)
        inner.handle(Fetch, self._take_fetch)
        inner.handle(Introduce, self._take_introduce)

    def run(self) -> None:
        """Keep in touch until killed."""
        hello_at = 0.0
        while True:
            now = read_clock()
            if now >= hello_at:
                hello_at = now + self._introduce(now)
            self._ask(self._download.sweep(now))
            self.contacts.sweep(now)
            gevent.sleep(TICK_SECONDS)

    def leave(self) -> None:
        """Tell all control hosts that this node goes for good."""
        self._has_left = True
        for _ in range(LEAVE_TIMES):
            for address in self.contacts.list_control(read_clock()):
                self._inner.send(address, Leave())
            gevent.sleep(LEAVE_SECONDS)

    def offer(self, peer: str, version: int) -> None:
        """Take the word that a node holds a version."""
        self._ask(self._download.offer(peer, version, read_clock()))

    def is_in_touch(self) -> bool:
        """Tell whether a control host was heard lately."""
        return bool(self.list_heard())

    def list_heard(self) -> list[str]:
        """Return the control hosts that were heard lately."""
        return self.contacts.list_heard(read_clock(), IN_TOUCH_SECONDS)

    def list_control(self) -> list[str]:
        """Return all control hosts that are known."""
        return self.contacts.list_control(read_clock())

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        now = read_clock()
        return {
            "version": self.version,
            "drained": self.drained,
            "control": self.contacts.list_control(now),
            "nodes": self.contacts.list_nodes(),
            "in_touch": self.is_in_touch(),
        }

    def _introduce(self, now: float) -> float:
        if self._has_left:
            return HELLO_SECONDS
        hello = self.contacts.make_hello(self.version, self._is_empty(), self.drained)
        for address in self.contacts.list_control(now):
            self._inner.send(address, hello)
        in_touch = self.is_in_touch()
        if in_touch != self._in_touch:
            self._in_touch = in_touch
            if in_touch:
                log_event("control_in_touch", version=self.version)
            else:
                warn_event("control_out_of_touch", version=self.version)
        pause = HELLO_SECONDS if in_touch else FIRST_HELLO_SECONDS
        # Spread: all nodes of a fleet start within a moment and would else speak in
        # the same one for ever.
        return pause * (0.8 + 0.4 * random.random())

    def _take_welcome(self, peer: str, welcome: Welcome) -> None:
        self._take_drained(peer, welcome.drained)
        learned = self.contacts.take(peer, welcome, read_clock())
        if learned:
            first = ",".join(learned[:FIRST_NAMED])
            log_event("nodes_learned", peer=peer, count=len(learned), first=first)
        for node in learned:
            self._meet(node)
        if welcome.settled:
            named = self.contacts.list_named(read_clock(), IN_TOUCH_SECONDS)
            self._finish_list(named)
        self.offer(peer, welcome.version)

    def _take_notice(self, peer: str, notice: Notice) -> None:
        now = read_clock()
        self._take_drained(peer, notice.drained)
        self.contacts.note_control(peer, now)
        if not self.is_in_touch():
            # A control host that has just started: it may tell who else is there. It
            # need not be a seed, and after an outage the seeds may be back later.
            self._introduce(now)
        self.offer(peer, notice.version)

    def _take_drained(self, peer: str, found: DrainedDomains | None) -> None:
        """Put drained domains in force, unless the same or newer ones are."""
        held = self.drained
        if found is None or (held is not None and found.revision <= held.revision):
            return
        self.drained = found
        log_event(
            "drained_domains_in_force",
            revision=found.revision,
            domains=",".join(found.domains) or "none",
            source=peer,
        )
        self._take_drained_there(found)
        if held is not None:
            # At once: control counts who is behind, and would tell this node again.
            self._introduce(read_clock())

    def _take_introduce(self, peer: str, message: Introduce) -> None:
        self._take_drained(peer, message.drained)
        self.contacts.note(peer, read_clock())
        self._meet(peer)

    def _take_piece(self, peer: str, piece: Piece) -> None:
        whole, ask = self._download.take(peer, piece, read_clock())
        self._ask(ask)
        if whole is None:
            return
        try:
            version = self._take_configuration(zlib.decompress(whole))
        except zlib.error as error:
            warn_event("configuration_unreadable", peer=peer, error=error)
            return
        if version is None or version <= self.version:
            return
        self.version, self._whole = version, whole
        self._download.hold(version)
        log_event("configuration_in_force", version=version, source=peer)
        # At once: control counts who is behind, and would tell this node again.
        self._introduce(read_clock())

    def _take_fetch(self, peer: str, fetch: Fetch) -> None:
        if self.version < fetch.version:
            return
        for piece in make_pieces(self.version, self._whole, fetch.first):
            self._inner.send(peer, piece)

    def _ask(self, question: tuple[str, Fetch] | None) -> None:
        if question is not None:
            self._inner.send(*question)
