"""Decide to which agent a balancer sends a packet."""

import ipaddress
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from ...model.configuration import Configuration, ServiceSlice
from ...model.record import Service
from ...protocol.datagram import KNOWN_ONLY, DatagramKind, Header, pack_header
from ...protocol.packet import ICMP_ERROR, OPENS, TCP, PacketError, scan_packet
from .callers import make_caller_check
from .ranking import find_bucket
from .table import NOBODY, ServiceTable

# Former addresses a balancer remembers at most.
MAX_FORMER_ADDRESSES: Final = 4096
# Packets a second that may search for a flow although their caller or address is no
# longer in the record. Each may visit every agent of the service, so that without a
# bound a stranger could multiply its packets.
SEARCHES_PER_SECOND: Final = 2000
# The reason for refusing a packet of a service that has no target at all.
NO_TARGET: Final = "no_target"

Pair = tuple[str, int]


@dataclass(frozen=True, slots=True)
class FormerAddress:
    """Remember where a service was reached until a deadline in seconds."""

    service: int
    deadline: float


class _Route:
    """Hold what the hot path needs of one service."""

    __slots__ = ("admit", "heads", "known_heads", "service", "table")

    def __init__(self, slice_: ServiceSlice, now: float) -> None:
        self.service = slice_.service
        self.table = ServiceTable(slice_, now)
        self.admit = make_caller_check(slice_.service.callers)
        self.heads = [_make_head(self.table, index, 0) for index in self._indexes()]
        self.known_heads = [
            _make_head(self.table, index, KNOWN_ONLY) for index in self._indexes()
        ]

    def _indexes(self) -> range:
        return range(len(self.table.targets))


def _make_head(table: ServiceTable, index: int, flags: int) -> tuple[Pair, bytes]:
    """Return where the agent listens and the header to put before its packets."""
    target = table.targets[index]
    header = Header(
        DatagramKind.PACKET, flags, table.number, table.revision, target.incarnation
    )
    return target.announcement.packets.as_pair(), pack_header(header)


def _pack_service_address(service: Service) -> bytes:
    """Return the 7 bytes by which a packet names its service."""
    ip = ipaddress.IPv4Address(service.address).packed
    return bytes([service.protocol]) + ip + service.port.to_bytes(2, "big")


class Router:
    """Route packets by the configuration in force, without any state of a flow."""

    def __init__(self) -> None:
        self._routes: dict[int, _Route] = {}
        self._addresses: dict[bytes, _Route] = {}
        self._former: dict[bytes, FormerAddress] = {}
        self._search_second = 0
        self._searches = 0

    def update(self, configuration: Configuration, now: float) -> int:
        """Take a configuration into force; return how many tables were rebuilt.

        Only services whose slice changed are rebuilt. ``now`` is wall-clock seconds.
        """
        rebuilt = 0
        for number, slice_ in configuration.slices.items():
            old = self._routes.get(number)
            if old is not None and old.table.slice == slice_:
                continue
            self._replace(number, _Route(slice_, now), now)
            rebuilt += 1
        for number in self._routes.keys() - configuration.slices.keys():
            self._forget(self._routes.pop(number))
        return rebuilt

    def refresh(self, now: float) -> float:
        """Rebuild tables with a share that grew; return when to come again."""
        for number, route in list(self._routes.items()):
            if route.table.is_old(now):
                self._replace(number, _Route(route.table.slice, now), now)
        for address, former in list(self._former.items()):
            if former.deadline <= now:
                del self._former[address]
        return min(self._list_deadlines(), default=now + 1.0)

    def _list_deadlines(self) -> Iterable[float]:
        return (route.table.valid_until for route in self._routes.values())

    def _replace(self, number: int, route: _Route, now: float) -> None:
        old = self._routes.get(number)
        self._routes[number] = route
        address = _pack_service_address(route.service)
        if old is not None:
            self._forget(old)
            former = _pack_service_address(old.service)
            if former != address and len(self._former) < MAX_FORMER_ADDRESSES:
                # Flows that began at the former address carry it in every packet.
                # They go on until they have been idle for as long as flows may be.
                idle = old.service.idle_timeout_ms / 1000
                self._former[former] = FormerAddress(number, now + idle)
        self._addresses[address] = route
        self._former.pop(address, None)

    def _forget(self, route: _Route) -> None:
        """Take the service's address out, unless another service has it by now."""
        address = _pack_service_address(route.service)
        held = self._addresses.get(address)
        if held is not None and held.service.number == route.service.number:
            del self._addresses[address]

    def route(self, data: bytes, now: float) -> tuple[Pair, bytes]:
        """Return the agent's address and the header to put before the packet.

        Raise PacketError with the reason for a packet that goes nowhere.
        """
        key, bits = scan_packet(data)
        route = self._addresses.get(key[0:1] + key[5:9] + key[11:13])
        if route is None or bits & ICMP_ERROR or not route.admit(key[1:5]):
            return self._route_known(key, bits, route, now)
        index = route.table.find_first(find_bucket(key))
        if index == NOBODY:
            raise PacketError(NO_TARGET)
        return route.heads[index]

    def _route_known(
        self, key: bytes, bits: int, route: _Route | None, now: float
    ) -> tuple[Pair, bytes]:
        """Route a packet that may belong to an old flow but opens none.

        A changed address or list of callers is a planned change: flows that are
        established go on, and the agents know which these are.
        """
        reason = "caller_not_allowed"
        if route is None:
            reason = "unknown_service"
            former = self._former.get(key[0:1] + key[5:9] + key[11:13])
            route = self._routes.get(former.service) if former else None
        if route is None or (bits & TCP and bits & OPENS):
            raise PacketError(reason)
        if not self._may_search(now):
            raise PacketError("search_limit")
        index = route.table.find_first(find_bucket(key))
        if index == NOBODY:
            raise PacketError(NO_TARGET)
        return route.known_heads[index]

    def _may_search(self, now: float) -> bool:
        second = int(now)
        if second != self._search_second:
            self._search_second, self._searches = second, 0
        self._searches += 1
        return self._searches <= SEARCHES_PER_SECOND

    def describe(self) -> dict[str, int]:
        """Return the sizes of the state, for the dump."""
        return {"services": len(self._routes), "former_addresses": len(self._former)}
