"""Forward callers' packets from the sockets of one balancer."""

import random
from collections.abc import Callable, Iterator
from typing import Any

import gevent

from ...coordination.directory.messages import Introduce
from ...coordination.forwarding.balancer import Action, Balancer
from ...coordination.forwarding.messages import (
    Gathered,
    Known,
    Pong,
    Reset,
    Returned,
    Seek,
    Send,
    Status,
)
from ...coordination.forwarding.routes import RouteTable
from ...helpers.clock import read_clock
from ...helpers.datagrams import DatagramSocket
from ...helpers.decisions import DecisionLog
from ...helpers.samples import LatencyHistogram, Sample
from ...model.domains import DrainedDomains
from ...model.node import NodeSettings
from ...protocol.segments import SegmentCodec
from ..directory.inner import InnerSocket
from .balancer_samples import list_balancer_samples

# How often searches go on and old flows are forgotten.
SWEEP_SECONDS = 0.02
IDLE_SWEEP_SECONDS = 0.1
# A balancer that stops forwards until callers have left it for this long: a few packets
# of each open flow would come in it.
QUIET_SECONDS = 0.4
# How long it goes on at least and at most. Routers leave a host out after two misses of
# a probe, but use all hosts of a domain when too few are in rotation.
LEAVE_SECONDS = 1.3
STOP_SECONDS = 5.0


# What changes a balancer's belief in its targets.
RARE_EVENTS = frozenset(
    ("target_learned", "target_doubted", "target_deaf", "target_forgotten")
)


class BalancerTask:
    """Own the packet socket and the decisions of one balancer."""

    def __init__(
        self, settings: NodeSettings, codec: SegmentCodec, inner: InnerSocket
    ) -> None:
        if settings.packets is None:
            raise ValueError("a balancer needs an address for packets")
        self.log = DecisionLog(rare=RARE_EVENTS)
        self.held = LatencyHistogram("ibisshunt_held_opening_seconds")
        self.balancer = Balancer(
            random.random, self.log.tell_event, read_clock(), self.held.observe
        )
        self.packets = 0
        # The directory, which knows who is in the same failure domain, is made after
        # this task: other balancers, and agents.
        self.list_peers: Callable[[], tuple[str, ...]] = tuple
        self.list_near: Callable[[], frozenset[str]] = frozenset
        self.find_drained: Callable[[], DrainedDomains | None] = lambda: None
        self.unreadable = 0
        self._packet_at = read_clock()
        self._codec = codec
        self._inner = inner
        self._port = settings.packets.port
        self._socket = DatagramSocket(settings.packets)
        inner.handle(Status, self._take_status)
        inner.handle(Returned, self._take_returned)
        inner.handle(Gathered, self._take_gathered)
        inner.handle(Seek, self._take_seek)
        inner.handle(Known, self._take_known)
        inner.handle(Pong, self._take_pong)

    def run(self) -> None:
        """Serve callers until killed."""
        self._socket.serve(self._take_packet)

    def run_sweep(self) -> None:
        """Go on with searches until killed."""
        while True:
            self.balancer.peers = self.list_peers()
            self.balancer.state.near = self.list_near()
            busy = self.balancer.is_busy()
            gevent.sleep(SWEEP_SECONDS if busy else IDLE_SWEEP_SECONDS)
            self._carry_out(self.balancer.sweep(read_clock()))

    def take_routes(self, routes: RouteTable) -> None:
        """Put a configuration in force."""
        self.balancer.take_routes(routes)
        self._carry_out(self.balancer.sweep(read_clock()))

    def meet(self, peer: str) -> None:
        """Ask a new agent for its status."""
        self.balancer.expect(peer, read_clock())
        self._inner.send(peer, Introduce(self.find_drained()))

    def finish_list(self, named: frozenset[str]) -> None:
        """Take the list of all agents from control."""
        self.balancer.finish_list(named)

    def is_usable(self) -> bool:
        """Tell whether this balancer could place a flow."""
        return self.balancer.is_usable(read_clock())

    def wait_until_left(self) -> None:
        """Go on forwarding until routers send no packets any more, 5 s at most.

        Routers that have too few nodes send packets to this one though it is not
        ready; a listener that closes then costs each caller 1.4 s.
        """
        self.hand_over()
        started_at = read_clock()
        while (now := read_clock()) < started_at + STOP_SECONDS:
            quiet = now >= self._packet_at + QUIET_SECONDS
            if quiet and now >= started_at + LEAVE_SECONDS:
                return
            gevent.sleep(QUIET_SECONDS / 4)

    def hand_over(self) -> None:
        """Tell the balancers that take over where all flows are.

        Each would else have to ask every agent for every flow, at the moment when the
        load of this balancer comes to them.
        """
        for message in self.balancer.list_known():
            for peer in self.balancer.peers:
                self._inner.send(peer, message)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def list_samples(self) -> Iterator[Sample]:
        """Yield the samples of the metrics page."""
        return list_balancer_samples(self.balancer, self.log, self.held)

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        balancer = self.balancer
        return {
            "version": balancer.routes.version,
            "flows": len(balancer.flows),
            "searches": len(balancer.searches),
            "counters": balancer.state.counters,
            "targets": {
                address: target.status for address, target in balancer.targets.items()
            },
        }

    def _take_packet(self, data: bytes, sender: tuple[str, int]) -> None:
        segment = self._codec.parse_inward(data)
        if segment is None:
            self.unreadable += 1
            return
        self.packets += 1
        now = self._packet_at = read_clock()
        self._carry_out(self.balancer.take(segment, now))

    def _take_status(self, peer: str, status: Status) -> None:
        now = read_clock()
        self.balancer.learn(peer, status, now)
        # A word that tells of a queue lets none of them go; the sweep looks again.
        if self.balancer.state.openings and status.active <= status.slots:
            self._carry_out(self.balancer.open_again(now))

    def _take_returned(self, peer: str, message: Returned) -> None:
        segment = self._codec.parse_inward(message.packet)
        if segment is None:
            self.unreadable += 1
            return
        now = read_clock()
        self._carry_out(self.balancer.take_returned(peer, message, segment, now))

    def _take_gathered(self, peer: str, message: Gathered) -> None:
        self._carry_out(self.balancer.take_gathered(message, read_clock()))

    def _take_seek(self, peer: str, message: Seek) -> None:
        known = self.balancer.tell_known(message, read_clock())
        if known is not None:
            self._inner.send(peer, known)

    def _take_pong(self, peer: str, message: Pong) -> None:
        self.balancer.take_pong(peer, message.number, read_clock())

    def _take_known(self, peer: str, message: Known) -> None:
        self._carry_out(self.balancer.take_known(message, read_clock()))

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._inner.send(action.peer, action.message)
            else:
                self._reset(action)

    def _reset(self, action: Reset) -> None:
        packet = self._codec.make_reset(action.segment)
        caller = self._codec.find_caller(action.segment)
        try:
            self._socket.send_to(packet, (caller, self._port))
        except OSError as error:
            # The caller repeats its packet and is answered then.
            self.log.tell_event("reset_unsent", peer=caller, error=error)
