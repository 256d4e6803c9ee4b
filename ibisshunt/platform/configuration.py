"""Parse the configuration documents that the platform's operators send."""

from ipaddress import IPv4Address

import msgspec

from ..coordination.forwarding.routes import Route, RouteTable, WeightedService
from ..exceptions import ConfigurationError, Fault

NON_IDEMPOTENT = "non_idempotent"


class _TrafficSplit(msgspec.Struct, rename="pascal"):
    service: str
    weight: int


class _Route(msgspec.Struct, rename="pascal"):
    """One route of a configuration document.

    ``hostname`` is an IPv4 address, not a name, and ``path_prefix`` a port between
    slashes, not a path: together they are the VIP.
    """

    name: str
    hostname: str
    path_prefix: str
    type: str
    timeout_ms: int
    target_latency_ms: float = 0
    priority: int = 0
    service: str | None = None
    traffic_split: list[_TrafficSplit] | None = None


class _Service(msgspec.Struct, rename="pascal"):
    """One service of a configuration document.

    ``warmup_per_s`` is the limit of new requests per second for a target that is
    warming up, 0 for no limit.
    """

    name: str
    warmup_per_s: float = 0.0


class _ConfigurationBody(msgspec.Struct, rename="pascal"):
    version: int
    routes: list[_Route]
    services: list[_Service]


_DECODER = msgspec.json.Decoder(_ConfigurationBody)


def read_configuration(body: bytes) -> RouteTable:
    """Parse a configuration; raise ConfigurationError that names the invalid field."""
    try:
        return _make_route_table(_DECODER.decode(body))
    except (msgspec.DecodeError, ValueError) as error:
        fault = Fault("read configuration", "operator", str(error))
        raise ConfigurationError(fault) from error


def _make_route_table(body: _ConfigurationBody) -> RouteTable:
    if body.version <= 0:
        raise ValueError(f"Version: found {body.version}, expected 1 or more")
    services = {service.name for service in body.services}
    routes: dict[bytes, Route] = {}
    for route in body.routes:
        vip = _parse_vip(route)
        if vip in routes:
            raise ValueError(
                f"route {route.name}: {route.hostname}"
                f"{route.path_prefix} is taken by {routes[vip].name}"
            )
        routes[vip] = _make_route(route, services)
    warmup_rates = {
        service.name: service.warmup_per_s
        for service in body.services
        if service.warmup_per_s > 0
    }
    return RouteTable(body.version, routes, warmup_rates)


def _make_route(route: _Route, services: set[str]) -> Route:
    if route.timeout_ms <= 0:
        raise ValueError(
            f"route {route.name}: TimeoutMs: found {route.timeout_ms}, expected above 0"
        )
    weighted_services = _parse_weighted_services(route)
    unknown = sorted({weighted.service for weighted in weighted_services} - services)
    if unknown:
        raise ValueError(f"route {route.name}: unknown service {unknown[0]}")
    return Route(
        route.name,
        weighted_services,
        route.timeout_ms,
        int(route.target_latency_ms),
        route.priority,
        route.type != NON_IDEMPOTENT,
    )


def _parse_weighted_services(route: _Route) -> tuple[WeightedService, ...]:
    if route.service is not None and not route.traffic_split:
        return (WeightedService(route.service, 1),)
    if route.service is not None or not route.traffic_split:
        raise ValueError(f"route {route.name}: expected either Service or TrafficSplit")
    weighted_services = tuple(
        WeightedService(split.service, split.weight) for split in route.traffic_split
    )
    if min(weighted.weight for weighted in weighted_services) < 0 or not any(
        weighted.weight for weighted in weighted_services
    ):
        raise ValueError(f"route {route.name}: Weight: expected a sum above 0")
    return weighted_services


def _parse_vip(route: _Route) -> bytes:
    port = route.path_prefix.strip("/")
    if not port.isdigit() or not 0 < int(port) <= 65_535:
        raise ValueError(
            f"route {route.name}: PathPrefix: found {route.path_prefix!r}, expected a"
            " port between slashes"
        )
    return IPv4Address(route.hostname).packed + int(port).to_bytes(2, "big")
