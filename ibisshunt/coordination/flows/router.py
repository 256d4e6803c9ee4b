"""Choose the agent to which a balancer sends a packet."""

import ipaddress
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from ...model.configuration import Configuration, ServiceSlice
from ...model.record import Service
from ...protocol.datagram import KNOWN_ONLY, DatagramKind, Header, pack_header
from ...protocol.packet import ICMP_ERROR, OPENS_FLOW, TCP, PacketError, scan_packet
from .callers import make_caller_check
from .ranking import find_bucket
from .table import NO_TARGET_INDEX, ServiceTable

# Limits the memory for former addresses of services.
MAX_FORMER_ADDRESSES: Final = 4096
# Packets per second that may search for a flow although their caller or address is no
# longer in the service record. Each may visit every agent of the service: without a
# limit an attacker could amplify its traffic.
SEARCHES_PER_SECOND: Final = 2000
# Reason for refusing a packet of a service without any target.
NO_TARGET: Final = "no_target"

SocketAddress = tuple[str, int]


@dataclass(frozen=True, slots=True)
class FormerAddress:
    """A former address of a service, routed until a deadline in seconds."""

    service: int
    deadline: float


class _Route:
    """Table and prepared headers of one service."""

    __slots__ = (
        "is_caller_allowed",
        "packed_headers",
        "known_only_headers",
        "service",
        "table",
    )

    def __init__(self, slice_: ServiceSlice, now: float) -> None:
        self.service = slice_.service
        self.table = ServiceTable(slice_, now)
        self.is_caller_allowed = make_caller_check(slice_.service.callers)
        self.packed_headers = [
            _pack_packet_header(self.table, index, 0) for index in self._indexes()
        ]
        self.known_only_headers = [
            _pack_packet_header(self.table, index, KNOWN_ONLY)
            for index in self._indexes()
        ]

    def _indexes(self) -> range:
        return range(len(self.table.targets))


def _pack_packet_header(
    table: ServiceTable, index: int, flags: int
) -> tuple[SocketAddress, bytes]:
    """Return the address of a target's agent and the header for its packets."""
    target = table.targets[index]
    header = Header(
        DatagramKind.PACKET, flags, table.number, table.revision, target.incarnation
    )
    return target.announcement.packets.as_pair(), pack_header(header)


def _pack_service_address(service: Service) -> bytes:
    """Return the 7 bytes that identify a service in a packet: protocol, IP, port."""
    ip = ipaddress.IPv4Address(service.address).packed
    return bytes([service.protocol]) + ip + service.port.to_bytes(2, "big")


class Router:
    """Route packets by the active configuration, without any flow state."""

    def __init__(self) -> None:
        self._routes: dict[int, _Route] = {}
        self._addresses: dict[bytes, _Route] = {}
        self._former_addresses: dict[bytes, FormerAddress] = {}
        self._search_second = 0
        self._search_count = 0

    def update(self, configuration: Configuration, now: float) -> int:
        """Apply a configuration; return how many tables were rebuilt.

        Only services whose slice changed are rebuilt. ``now`` is wall-clock seconds.
        """
        rebuilt = 0
        for number, slice_ in configuration.slices.items():
            previous = self._routes.get(number)
            if previous is not None and previous.table.slice == slice_:
                continue
            self._replace(number, _Route(slice_, now), now)
            rebuilt += 1
        for number in self._routes.keys() - configuration.slices.keys():
            self._remove_address(self._routes.pop(number))
        return rebuilt

    def refresh(self, now: float) -> float:
        """Rebuild tables whose slow-start shares grew; return when to call again."""
        for number, route in list(self._routes.items()):
            if route.table.is_outdated(now):
                self._replace(number, _Route(route.table.slice, now), now)
        for address, former in list(self._former_addresses.items()):
            if former.deadline <= now:
                del self._former_addresses[address]
        return min(self._list_deadlines(), default=now + 1.0)

    def _list_deadlines(self) -> Iterable[float]:
        return (route.table.valid_until for route in self._routes.values())

    def _replace(self, number: int, route: _Route, now: float) -> None:
        previous = self._routes.get(number)
        self._routes[number] = route
        address = _pack_service_address(route.service)
        if previous is not None:
            self._remove_address(previous)
            former = _pack_service_address(previous.service)
            if former != address and len(self._former_addresses) < MAX_FORMER_ADDRESSES:
                # Established flows carry the former address in every packet. They are
                # routed for one idle timeout after the change.
                idle = previous.service.idle_timeout_ms / 1000
                self._former_addresses[former] = FormerAddress(number, now + idle)
        self._addresses[address] = route
        self._former_addresses.pop(address, None)

    def _remove_address(self, route: _Route) -> None:
        """Remove the address of a service, unless another service has it now."""
        address = _pack_service_address(route.service)
        current = self._addresses.get(address)
        if current is not None and current.service.number == route.service.number:
            del self._addresses[address]

    def route(self, data: bytes, now: float) -> tuple[SocketAddress, bytes]:
        """Return the agent's address and the header to prepend to the packet.

        Raise PacketError with the reason if the packet cannot be routed.
        """
        key, packet_flags = scan_packet(data)
        route = self._addresses.get(key[0:1] + key[5:9] + key[11:13])
        if (
            route is None
            or packet_flags & ICMP_ERROR
            or not route.is_caller_allowed(key[1:5])
        ):
            return self._route_known(key, packet_flags, route, now)
        index = route.table.find_first_index(find_bucket(key))
        if index == NO_TARGET_INDEX:
            raise PacketError(NO_TARGET)
        return route.packed_headers[index]

    def _route_known(
        self, key: bytes, packet_flags: int, route: _Route | None, now: float
    ) -> tuple[SocketAddress, bytes]:
        """Route a packet that may belong to an older flow but must not open one.

        After a change of a service's address or callers its established flows continue;
        the agents know which these are.
        """
        reason = "caller_not_allowed"
        if route is None:
            reason = "unknown_service"
            former = self._former_addresses.get(key[0:1] + key[5:9] + key[11:13])
            route = self._routes.get(former.service) if former else None
        if route is None or (packet_flags & TCP and packet_flags & OPENS_FLOW):
            raise PacketError(reason)
        if not self._acquire_search(now):
            raise PacketError("search_limit")
        index = route.table.find_first_index(find_bucket(key))
        if index == NO_TARGET_INDEX:
            raise PacketError(NO_TARGET)
        return route.known_only_headers[index]

    def _acquire_search(self, now: float) -> bool:
        second = int(now)
        if second != self._search_second:
            self._search_second, self._search_count = second, 0
        self._search_count += 1
        return self._search_count <= SEARCHES_PER_SECOND

    def dump(self) -> dict[str, int]:
        """Return the sizes of the state for the dump."""
        return {
            "services": len(self._routes),
            "former_addresses": len(self._former_addresses),
        }
