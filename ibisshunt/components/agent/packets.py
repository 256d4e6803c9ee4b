"""Deliver the packets of the flows that the target owns, and pass on all others."""

import time
from collections.abc import Callable
from typing import Any, Final

import gevent
from gevent.event import Event

from ...coordination.flows.actions import Action, ActionKind
from ...coordination.flows.owner import FlowOwner
from ...coordination.flows.table import ServiceTable
from ...core import Kernel
from ...helpers.clock import read_shared_clock
from ...helpers.datagrams import DatagramSocket, Pair
from ...helpers.logging import log_event
from ...helpers.refusals import RefusalCounter
from ...model.configuration import Configuration, ServiceSlice
from ...protocol.datagram import (
    HEADER_BYTES,
    DatagramKind,
    Header,
    pack_header,
    read_datagram,
)
from ...protocol.packet import PacketError, make_reset, read_packet, scan_packet
from ...settings import AgentSettings

HOUSEKEEPING_SECONDS: Final = 0.25
SWEEP_INTERVAL_SECONDS: Final = 5.0
REPORT_INTERVAL_SECONDS: Final = 1.0
# Headers of balancers are few and alike: they are read once and then looked up.
MAX_KNOWN_HEADERS: Final = 1024
# A stale sender is told so at most this often.
NOTICE_INTERVAL_SECONDS: Final = 1.0
MAX_NOTICED_SENDERS: Final = 2048


class PacketTask:
    """Own the packet socket and the flows of an agent."""

    def __init__(self, settings: AgentSettings, kernel: Kernel) -> None:
        self._settings = settings
        self._configuration: Any = kernel.find("configuration")
        self._announcement: Any = kernel.find("announcement")
        self._metrics: Any = kernel.find("metrics")
        self._wake = Event()
        self._now = time.monotonic()
        self._owner = FlowOwner(settings.max_flows, self._now)
        self._refusals = RefusalCounter("agent")
        self._socket = DatagramSocket(settings.packets)
        self._send = self._socket.send_to
        self._tunnel = settings.target.tunnel.as_pair()
        self._headers: dict[bytes, Header] = {}
        self._noticed: dict[Pair, float] = {}
        self._slice: ServiceSlice | None = None
        self._revision = 0
        self._delivered = self._forwarded = self._resets = 0
        self._flushed: dict[str, int] = {}

    @property
    def address(self) -> Any:
        """Return the address that balancers and other agents send to."""
        return self._socket.address

    def count(self) -> int:
        """Count the flows that the target owns."""
        return self._owner.count()

    def receive(self) -> None:
        """Handle datagrams until killed."""
        self._socket.serve(self._handle)

    def _handle(self, data: bytes, sender: Pair) -> None:
        try:
            self._handle_datagram(data, sender)
        except PacketError as error:
            self._refusals.count(str(error))
        except OSError:
            # A full socket buffer or an unreachable peer: the sender sends again.
            self._refusals.count("send_failed")

    def _handle_datagram(self, data: bytes, sender: Pair) -> None:
        header = self._headers.get(data[:HEADER_BYTES])
        if header is None:
            header, packet = self._read(data)
        else:
            packet = data[HEADER_BYTES:]
        self._now = now = time.monotonic()
        if header.kind != DatagramKind.PACKET:
            self._take_notice(header, packet, now)
            return
        if header.revision < self._revision:
            self._tell_stale(header, sender, now)
        key, bits = scan_packet(packet)
        action = self._owner.handle(header, key, bits, now)
        if action.kind == ActionKind.DELIVER:
            self._send(packet, self._tunnel)
            self._delivered += 1
        else:
            self._carry_out(action, packet)
        if self._owner.has_notices():
            self._send_notices()

    def _read(self, data: bytes) -> tuple[Header, bytes]:
        found = read_datagram(data).value_or(None)
        if found is None:
            raise PacketError("malformed")
        header, packet = found
        if not header.visited:
            if len(self._headers) >= MAX_KNOWN_HEADERS:
                self._headers.clear()
            self._headers[data[:HEADER_BYTES]] = header
        return header, packet

    def _carry_out(self, action: Action, packet: bytes) -> None:
        if action.kind == ActionKind.FORWARD and action.header is not None:
            self._send(pack_header(action.header) + packet, action.pair)
            self._forwarded += 1
            return
        self._refusals.count(action.reason)
        if action.kind == ActionKind.RESET:
            self._reset(packet)

    def _reset(self, packet: bytes) -> None:
        """Tell the caller at once, so that it does not wait for an answer."""
        info = read_packet(packet).value_or(None)
        reset = make_reset(info) if info else None
        if reset is None or self._settings.replies is None:
            return
        self._send(reset, self._settings.replies.as_pair())
        self._resets += 1

    def _take_notice(self, header: Header, payload: bytes, now: float) -> None:
        reason = self._owner.receive(header, payload, now)
        if reason:
            self._refusals.count(reason)

    def _tell_stale(self, header: Header, sender: Pair, now: float) -> None:
        """Tell a sender that its revision of the service is not the newest."""
        if header.service != self._slice.number:
            return
        if self._noticed.get(sender, 0.0) > now:
            return
        if len(self._noticed) >= MAX_NOTICED_SENDERS:
            self._noticed.clear()
        self._noticed[sender] = now + NOTICE_INTERVAL_SECONDS
        notice = Header(
            DatagramKind.REVISION, 0, header.service, self._revision, header.target
        )
        self._send(pack_header(notice), sender)

    def _send_notices(self) -> None:
        for notice in self._owner.take_notices():
            try:
                self._send(notice.data, notice.pair)
            except OSError:
                self._refusals.count("notice_lost")

    def keep_house(self) -> None:
        """Keep table, flows and reports current, until killed."""
        report_deadline = sweep_deadline = time.monotonic()
        while True:
            self._update_table()
            now = time.monotonic()
            self._owner.recall(now)
            self._send_notices()
            if now >= report_deadline:
                report_deadline = now + REPORT_INTERVAL_SECONDS
                self._report(now)
            if now >= sweep_deadline:
                sweep_deadline = now + SWEEP_INTERVAL_SECONDS
                for _ in self._owner.sweep(now):
                    gevent.sleep(0)
            self._wake.wait(HOUSEKEEPING_SECONDS)
            self._wake.clear()

    def wake(self) -> None:
        """Look at the configuration and the announcement at once.

        Peers send flows to a target as soon as it is in their tables: an agent that
        looked later would drop the first packets of each.
        """
        self._wake.set()

    def set_configuration(self, configuration: Configuration) -> None:
        """Take the service's own slice out of a configuration."""
        self.wake()
        target = self._settings.target
        for slice_ in configuration.slices.values():
            service = slice_.service
            if (service.business, service.name) == (target.business, target.service):
                self._slice = slice_
                return

    def _update_table(self) -> None:
        """Build a table when slice, incarnation or a share has changed."""
        state = self._owner.state
        self._owner.set_leaving(self._announcement.leaving)
        incarnation = self._announcement.incarnation
        table, slice_ = state.table, self._slice
        if slice_ is None:
            return
        wall_now = read_shared_clock()
        current = table is not None and table.slice == slice_
        if current and incarnation == state.incarnation and not table.is_old(wall_now):
            return
        table = ServiceTable(slice_, wall_now)
        for _ in table.prepare():
            gevent.sleep(0)
        self._owner.update(table, incarnation, time.monotonic())
        changed = self._revision != table.revision
        self._revision = table.revision
        self._send_notices()
        self._hand_over(everything=False)
        # While a target warms up its share grows and the table with it, once a second:
        # only a new revision is an event.
        if changed:
            log_event("flow_table", service=table.number, revision=table.revision)

    def _hand_over(self, everything: bool) -> None:
        for _ in self._owner.hand_over(everything):
            self._send_notices()
            gevent.sleep(0)

    def _report(self, now: float) -> None:
        self._owner.tell_load()
        self._owner.tell_flows()
        self._send_notices()
        wanted = self._owner.take_wanted_revision()
        if wanted:
            self._configuration.request_pull(wanted)
        self._refusals.flush(self._metrics, now)
        self._metrics.set("ibisshunt_flows", self.count())
        for name, total in self._list_totals().items():
            amount = total - self._flushed.get(name, 0)
            self._metrics.add(f"ibisshunt_packets_{name}_total", amount)
            self._flushed[name] = total

    def _list_totals(self) -> dict[str, int]:
        return {
            "delivered": self._delivered,
            "forwarded": self._forwarded,
            "reset": self._resets,
        }

    def describe(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            **self._owner.describe(),
            **self._list_totals(),
            "refused": dict(self._refusals.totals),
        }

    def close(self) -> None:
        """Tell peers about the flows and close the socket.

        A new agent beside the same target finds its flows through them.
        """
        self._hand_over(everything=True)
        self._socket.close()


def setup(kernel: Kernel, settings: AgentSettings) -> Callable[[], None]:
    """Start the packet path of an agent; return the function that ends it."""
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
    kernel.register("flows", task)
    return unload
