"""Forward callers' packets from the sockets of one balancer."""

import random
from typing import Any

import gevent

from ...coordination.directory.messages import Introduce
from ...coordination.forwarding.balancer import Action, Balancer
from ...coordination.forwarding.messages import Reset, Returned, Send, Status, Told
from ...coordination.forwarding.routes import RouteTable
from ...helpers.clock import read_clock
from ...helpers.datagrams import DatagramSocket
from ...helpers.decisions import DecisionLog
from ...model.node import NodeSettings
from ...protocol.segments import SegmentCodec
from ..directory.inner import InnerSocket

# How often searches go on and old flows are forgotten. Unit: seconds. Source: below
# the interval at which a search is asked again.
SWEEP_SECONDS = 0.05
IDLE_SWEEP_SECONDS = 0.25


class BalancerTask:
    """Own the packet socket and the decisions of one balancer."""

    def __init__(
        self, settings: NodeSettings, codec: SegmentCodec, inner: InnerSocket
    ) -> None:
        if settings.packets is None:
            raise ValueError("a balancer needs an address for packets")
        self.log = DecisionLog()
        self.balancer = Balancer(random.random, self.log.tell_event)
        self.packets = 0
        self.unreadable = 0
        self._codec = codec
        self._inner = inner
        self._port = settings.packets.port
        self._socket = DatagramSocket(settings.packets)
        inner.handle(Status, self._take_status)
        inner.handle(Returned, self._take_returned)
        inner.handle(Told, self._take_told)

    def run(self) -> None:
        """Serve callers until killed."""
        self._socket.serve(self._take_packet)

    def run_sweep(self) -> None:
        """Go on with searches until killed."""
        while True:
            busy = bool(self.balancer.searches)
            gevent.sleep(SWEEP_SECONDS if busy else IDLE_SWEEP_SECONDS)
            self._carry_out(self.balancer.sweep(read_clock()))

    def take_routes(self, routes: RouteTable) -> None:
        """Put a configuration in force."""
        self.balancer.take_routes(routes)

    def meet(self, peer: str) -> None:
        """Ask a new agent for its status."""
        self._inner.send(peer, Introduce())

    def is_usable(self) -> bool:
        """Tell whether this balancer could place a flow."""
        return self.balancer.is_usable(read_clock())

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        balancer = self.balancer
        return {
            "version": balancer.routes.version,
            "flows": len(balancer.flows),
            "searches": len(balancer.searches),
            "counters": balancer.counters,
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
        self._carry_out(self.balancer.take(segment, read_clock()))

    def _take_status(self, peer: str, status: Status) -> None:
        self.balancer.learn(peer, status, read_clock())

    def _take_returned(self, peer: str, message: Returned) -> None:
        segment = self._codec.parse_inward(message.packet)
        if segment is None:
            self.unreadable += 1
            return
        now = read_clock()
        self._carry_out(self.balancer.take_returned(peer, message, segment, now))

    def _take_told(self, peer: str, message: Told) -> None:
        now = read_clock()
        actions = self.balancer.take_told(peer, message.key, message.answer, now)
        self._carry_out(actions)

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._inner.send(action.peer, action.message)
            else:
                self._reset(action)

    def _reset(self, action: Reset) -> None:
        self.log.tell_event(
            "reset_sent", flow=action.segment.key.hex(), reason=action.reason
        )
        packet = self._codec.make_reset(action.segment)
        caller = self._codec.find_caller(action.segment)
        try:
            self._socket.send_to(packet, (caller, self._port))
        except OSError as error:
            # The caller repeats its packet and is answered then.
            self.log.tell_event("reset_unsent", peer=caller, error=error)
