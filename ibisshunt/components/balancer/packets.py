"""Forward packets from the network fabric to the agents that may own their flows."""

import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Final

import gevent

from ...coordination.flows.router import NO_TARGET, Router
from ...core import Kernel
from ...helpers.clock import read_wall_clock
from ...helpers.datagrams import DatagramSocket, SocketAddress
from ...helpers.refusals import RefusalCounter
from ...model.configuration import Configuration
from ...protocol.datagram import HEADER_VERSION, DatagramKind, read_datagram
from ...protocol.packet import PacketError, make_reset, read_packet
from ...settings import BalancerSettings

HOUSEKEEPING_SECONDS: Final = 1.0


class PacketTask:
    """Run the packet socket and the router of a balancer."""

    def __init__(self, settings: BalancerSettings, kernel: Kernel) -> None:
        self._configuration: Any = kernel.find("configuration")
        self._metrics: Any = kernel.find("metrics")
        self._router = Router()
        self._refusals = RefusalCounter("balancer")
        self._socket = DatagramSocket(settings.packets)
        self._send = self._socket.send_to
        self._reply_address = settings.replies.as_pair() if settings.replies else None
        self._newest_peer_revision = 0
        self._now = read_wall_clock()
        self._forwarded = 0
        self._reported_forwarded = 0

    @property
    def address(self) -> Any:
        """Return the address to which the fabric sends packets."""
        return self._socket.address

    def receive(self) -> None:
        """Forward packets until killed."""
        self._socket.serve(self._handle)

    def _handle(self, data: bytes, sender: SocketAddress) -> None:
        if data[:1] == _NOTICE_PREFIX:
            self._handle_notice(data)
            return
        try:
            pair, header = self._router.route(data, self._now)
            self._send(header + data, pair)
        except PacketError as error:
            self._drop(data, str(error))
        except OSError:
            # Full socket buffer or unreachable agent: the sender retransmits.
            self._refusals.count("send_failed")
        else:
            self._forwarded += 1

    def _drop(self, data: bytes, reason: str) -> None:
        self._refusals.count(reason)
        if reason != NO_TARGET or self._reply_address is None:
            return
        info = read_packet(data).value_or(None)
        # Only reset new flows: a balancer that does not know the targets yet would
        # break an established one.
        reset = make_reset(info) if info and info.opens_flow else None
        if reset is None:
            return
        with suppress(OSError):
            self._send(reset, self._reply_address)

    def _handle_notice(self, data: bytes) -> None:
        """Record that an agent has a newer revision than this balancer."""
        datagram = read_datagram(data).value_or(None)
        if datagram is None or datagram[0].kind != DatagramKind.REVISION:
            self._refusals.count("malformed")
            return
        self._newest_peer_revision = max(
            self._newest_peer_revision, datagram[0].revision
        )

    def update_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration; it is active when this returns."""
        self._now = read_wall_clock()
        self._router.update(configuration, self._now)

    def run_housekeeping(self) -> None:
        """Refresh warm-ups, report counts and request newer revisions until killed."""
        while True:
            gevent.sleep(HOUSEKEEPING_SECONDS)
            self._now = read_wall_clock()
            self._router.refresh(self._now)
            self._refusals.flush(self._metrics, time.monotonic())
            amount = self._forwarded - self._reported_forwarded
            self._reported_forwarded = self._forwarded
            self._metrics.add("ibisshunt_packets_forwarded_total", amount)
            self._request_newer_revision()

    def _request_newer_revision(self) -> None:
        peer_revision, self._newest_peer_revision = self._newest_peer_revision, 0
        if peer_revision > self._configuration.current.revision:
            self._configuration.record_peer_revision(peer_revision)

    def dump(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            **self._router.dump(),
            "forwarded": self._forwarded,
            "refused": dict(self._refusals.totals),
        }

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()


_NOTICE_PREFIX: Final = bytes([HEADER_VERSION])


def setup(kernel: Kernel, settings: BalancerSettings) -> Callable[[], None]:
    """Start the packet path of a balancer; return the function that stops it."""
    task = PacketTask(settings, kernel)
    kernel.find("configuration").subscribe(task.update_configuration)
    greenlets = [
        kernel.spawn("packets", task.receive),
        kernel.spawn("packets_housekeeping", task.run_housekeeping),
    ]

    def unload() -> None:
        gevent.killall(greenlets)
        task.close()

    kernel.register("packets", task, unload, task.dump)
    return unload
