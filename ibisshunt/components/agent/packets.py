"""Deliver the packets of the local target's flows and forward all others."""

import time
from collections.abc import Callable
from typing import Any, Final

import gevent
from gevent.event import Event

from ...coordination.flows.actions import Action, ActionKind
from ...coordination.flows.owner import FlowOwner
from ...coordination.flows.table import ServiceTable
from ...core import Kernel
from ...helpers.clock import read_wall_clock
from ...helpers.datagrams import DatagramSocket, SocketAddress
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
# Balancers use few distinct headers, so parsed ones are cached.
MAX_CACHED_HEADERS: Final = 1024
# Shortest interval between notices to one sender with an outdated revision.
STALE_NOTICE_INTERVAL_SECONDS: Final = 1.0
MAX_TRACKED_STALE_SENDERS: Final = 2048


class PacketTask:
    """Run the packet socket and the flow table of an agent."""

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
        self._header_cache: dict[bytes, Header] = {}
        self._next_stale_notice: dict[SocketAddress, float] = {}
        self._slice: ServiceSlice | None = None
        self._revision = 0
        self._delivered = self._forwarded = self._resets = 0
        self._reported_totals: dict[str, int] = {}

    @property
    def address(self) -> Any:
        """Return the address that balancers and other agents send to."""
        return self._socket.address

    def count(self) -> int:
        """Return the number of flows that the target owns."""
        return self._owner.count()

    def receive(self) -> None:
        """Handle datagrams until killed."""
        self._socket.serve(self._handle)

    def _handle(self, data: bytes, sender: SocketAddress) -> None:
        try:
            self._handle_datagram(data, sender)
        except PacketError as error:
            self._refusals.count(str(error))
        except OSError:
            # Full socket buffer or unreachable peer: the sender retransmits.
            self._refusals.count("send_failed")

    def _handle_datagram(self, data: bytes, sender: SocketAddress) -> None:
        header = self._header_cache.get(data[:HEADER_BYTES])
        if header is None:
            header, packet = self._parse_datagram(data)
        else:
            packet = data[HEADER_BYTES:]
        self._now = now = time.monotonic()
        if header.kind != DatagramKind.PACKET:
            self._handle_notice(header, packet, now)
            return
        if header.revision < self._revision:
            self._notify_stale_sender(header, sender, now)
        key, packet_flags = scan_packet(packet)
        action = self._owner.handle(header, key, packet_flags, now)
        if action.kind == ActionKind.DELIVER:
            self._send(packet, self._tunnel)
            self._delivered += 1
        else:
            self._execute(action, packet)
        if self._owner.has_notices():
            self._send_notices()

    def _parse_datagram(self, data: bytes) -> tuple[Header, bytes]:
        datagram = read_datagram(data).value_or(None)
        if datagram is None:
            raise PacketError("malformed")
        header, packet = datagram
        if not header.visited:
            if len(self._header_cache) >= MAX_CACHED_HEADERS:
                self._header_cache.clear()
            self._header_cache[data[:HEADER_BYTES]] = header
        return header, packet

    def _execute(self, action: Action, packet: bytes) -> None:
        if action.kind == ActionKind.FORWARD and action.header is not None:
            self._send(pack_header(action.header) + packet, action.socket_address)
            self._forwarded += 1
            return
        self._refusals.count(action.reason)
        if action.kind == ActionKind.RESET:
            self._send_reset(packet)

    def _send_reset(self, packet: bytes) -> None:
        """Send a TCP reset, so that the caller does not wait for a timeout."""
        info = read_packet(packet).value_or(None)
        reset = make_reset(info) if info else None
        if reset is None or self._settings.replies is None:
            return
        self._send(reset, self._settings.replies.as_pair())
        self._resets += 1

    def _handle_notice(self, header: Header, payload: bytes, now: float) -> None:
        reason = self._owner.receive(header, payload, now)
        if reason:
            self._refusals.count(reason)

    def _notify_stale_sender(
        self, header: Header, sender: SocketAddress, now: float
    ) -> None:
        """Notify a sender that its revision of the service is outdated."""
        if header.service != self._slice.number:
            return
        if self._next_stale_notice.get(sender, 0.0) > now:
            return
        if len(self._next_stale_notice) >= MAX_TRACKED_STALE_SENDERS:
            self._next_stale_notice.clear()
        self._next_stale_notice[sender] = now + STALE_NOTICE_INTERVAL_SECONDS
        notice = Header(
            DatagramKind.REVISION, 0, header.service, self._revision, header.target
        )
        self._send(pack_header(notice), sender)

    def _send_notices(self) -> None:
        for notice in self._owner.take_notices():
            try:
                self._send(notice.data, notice.socket_address)
            except OSError:
                self._refusals.count("notice_lost")

    def run_housekeeping(self) -> None:
        """Update the table, expire flows and report periodically until killed."""
        report_deadline = sweep_deadline = time.monotonic()
        while True:
            self._update_table()
            now = time.monotonic()
            self._owner.retry_recall(now)
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
        """Apply changes of the configuration and the announcement at once.

        Peers send flows to a target as soon as it is in their tables: an agent that
        updated its own table later would drop the first packets of each flow.
        """
        self._wake.set()

    def update_configuration(self, configuration: Configuration) -> None:
        """Store the slice of the agent's service from a new configuration."""
        self.wake()
        target = self._settings.target
        for slice_ in configuration.slices.values():
            service = slice_.service
            if (service.business, service.name) == (target.business, target.service):
                self._slice = slice_
                return

    def _update_table(self) -> None:
        """Rebuild the table if the slice, incarnation or a share has changed."""
        state = self._owner.state
        self._owner.set_leaving(self._announcement.leaving)
        incarnation = self._announcement.incarnation
        table, slice_ = state.table, self._slice
        if slice_ is None:
            return
        wall_now = read_wall_clock()
        is_current = table is not None and table.slice == slice_
        if (
            is_current
            and incarnation == state.incarnation
            and not table.is_outdated(wall_now)
        ):
            return
        table = ServiceTable(slice_, wall_now)
        for _ in table.precompute():
            gevent.sleep(0)
        self._owner.update(table, incarnation, time.monotonic())
        has_new_revision = self._revision != table.revision
        self._revision = table.revision
        self._send_notices()
        self._advertise_flows(to_backups=False)
        # While a target warms up, its share grows and the table is rebuilt every
        # second: only log a new revision.
        if has_new_revision:
            log_event("flow_table", service=table.number, revision=table.revision)

    def _advertise_flows(self, to_backups: bool) -> None:
        for _ in self._owner.advertise_flows(to_backups):
            self._send_notices()
            gevent.sleep(0)

    def _report(self, now: float) -> None:
        self._owner.send_load()
        self._owner.replicate_flows()
        self._send_notices()
        peer_revision = self._owner.pop_newer_revision()
        if peer_revision:
            self._configuration.record_peer_revision(peer_revision)
        self._refusals.flush(self._metrics, now)
        self._metrics.set("ibisshunt_flows", self.count())
        for name, total in self._list_totals().items():
            amount = total - self._reported_totals.get(name, 0)
            self._metrics.add(f"ibisshunt_packets_{name}_total", amount)
            self._reported_totals[name] = total

    def _list_totals(self) -> dict[str, int]:
        return {
            "delivered": self._delivered,
            "forwarded": self._forwarded,
            "reset": self._resets,
        }

    def dump(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            **self._owner.dump(),
            **self._list_totals(),
            "refused": dict(self._refusals.totals),
        }

    def close(self) -> None:
        """Advertise all flows to peers and close the socket.

        The next agent of the same target recovers its flows from these peers.
        """
        self._advertise_flows(to_backups=True)
        self._socket.close()


def setup(kernel: Kernel, settings: AgentSettings) -> Callable[[], None]:
    """Start the packet path of an agent; return the function that stops it."""
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
    kernel.register("flows", task)
    return unload
