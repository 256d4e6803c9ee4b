"""Take packets from the fabric and send each to the agent that may own its flow."""

import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Final

import gevent

from ...coordination.flows.router import NO_TARGET, Router
from ...core import Kernel
from ...helpers.clock import read_shared_clock
from ...helpers.datagrams import DatagramSocket, Pair
from ...helpers.refusals import RefusalCounter
from ...model.configuration import Configuration
from ...protocol.datagram import HEADER_VERSION, DatagramKind, read_datagram
from ...protocol.packet import PacketError, make_reset, read_packet
from ...settings import BalancerSettings

HOUSEKEEPING_SECONDS: Final = 1.0


class PacketTask:
    """Own the packet socket and the router of a balancer."""

    def __init__(self, settings: BalancerSettings, kernel: Kernel) -> None:
        self._configuration: Any = kernel.find("configuration")
        self._metrics: Any = kernel.find("metrics")
        self._router = Router()
        self._refusals = RefusalCounter("balancer")
        self._socket = DatagramSocket(settings.packets)
        self._send = self._socket.send_to
        self._replies = settings.replies.as_pair() if settings.replies else None
        self._wanted_revision = 0
        self._now = read_shared_clock()
        self._forwarded = 0
        self._flushed = 0

    @property
    def address(self) -> Any:
        """Return the address that the fabric sends to."""
        return self._socket.address

    def receive(self) -> None:
        """Forward packets until killed."""
        self._socket.serve(self._handle)

    def _handle(self, data: bytes, sender: Pair) -> None:
        if data[:1] == _NOTICE:
            self._take_notice(data)
            return
        try:
            pair, head = self._router.route(data, self._now)
            self._send(head + data, pair)
        except PacketError as error:
            self._refuse(data, str(error))
        except OSError:
            # A full socket buffer or an unreachable agent: the sender sends again.
            self._refusals.count("send_failed")
        else:
            self._forwarded += 1

    def _refuse(self, data: bytes, reason: str) -> None:
        self._refusals.count(reason)
        if reason != NO_TARGET or self._replies is None:
            return
        info = read_packet(data).value_or(None)
        # Only a new flow: a balancer that has not heard of the targets yet would break
        # an established one by a reset.
        reset = make_reset(info) if info and info.opens else None
        if reset is None:
            return
        with suppress(OSError):
            self._send(reset, self._replies)

    def _take_notice(self, data: bytes) -> None:
        """Note that an agent has a newer revision than this balancer."""
        found = read_datagram(data).value_or(None)
        if found is None or found[0].kind != DatagramKind.REVISION:
            self._refusals.count("malformed")
            return
        self._wanted_revision = max(self._wanted_revision, found[0].revision)

    def set_configuration(self, configuration: Configuration) -> None:
        """Hand over a configuration; it is in force when this returns."""
        self._now = read_shared_clock()
        self._router.update(configuration, self._now)

    def keep_house(self) -> None:
        """Refresh ramps, report counts and pull what is missing, until killed."""
        while True:
            gevent.sleep(HOUSEKEEPING_SECONDS)
            self._now = read_shared_clock()
            self._router.refresh(self._now)
            self._refusals.flush(self._metrics, time.monotonic())
            amount = self._forwarded - self._flushed
            self._flushed = self._forwarded
            self._metrics.add("ibisshunt_packets_forwarded_total", amount)
            self._pull()

    def _pull(self) -> None:
        wanted, self._wanted_revision = self._wanted_revision, 0
        if wanted > self._configuration.current.revision:
            self._configuration.request_pull(wanted)

    def describe(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            **self._router.describe(),
            "forwarded": self._forwarded,
            "refused": dict(self._refusals.totals),
        }

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()


_NOTICE: Final = bytes([HEADER_VERSION])


def setup(kernel: Kernel, settings: BalancerSettings) -> Callable[[], None]:
    """Start the packet path of a balancer; return the function that ends it."""
    task = PacketTask(settings, kernel)
    kernel.find("configuration").subscribe(task.set_configuration)
    greenlets = [
        kernel.spawn("packets", task.receive),
        kernel.spawn("packets_housekeeping", task.keep_house),
    ]

    def unload() -> None:
        gevent.killall(greenlets)
        task.close()

    kernel.register("packets", task, unload, task.describe)
    return unload
