"""Read the complete configurations that the platform's operators send."""

from ipaddress import IPv4Address

import msgspec

from ..coordination.forwarding.routes import Route, RouteTable, Share
from ..exceptions import ConfigurationError, Fault

NOT_REPEATABLE = "non_idempotent"


class _Split(msgspec.Struct, rename="pascal"):
    service: str
    weight: int


class _Route(msgspec.Struct, rename="pascal"):
    """Hold one route.

    ``hostname`` is no name but an IPv4 address, and ``path_prefix`` no path but a
    port between slashes.
    """

    name: str
    hostname: str
    path_prefix: str
    type: str
    timeout_ms: int
    target_latency_ms: float = 0
    priority: int = 0
    service: str | None = None
    traffic_split: list[_Split] | None = None


class _Service(msgspec.Struct, rename="pascal"):
    """Hold one service; ``warmup_per_s`` is 0 for a target that bears any rate cold."""

    name: str
    warmup_per_s: float = 0.0


class _Body(msgspec.Struct, rename="pascal"):
    version: int
    routes: list[_Route]
    services: list[_Service]


_DECODER = msgspec.json.Decoder(_Body)


def read_configuration(body: bytes) -> RouteTable:
    """Return the routes; raise ConfigurationError that names what is wrong."""
    try:
        return _translate(_DECODER.decode(body))
    except (msgspec.DecodeError, ValueError) as error:
        fault = Fault("read configuration", "operator", str(error))
        raise ConfigurationError(fault) from error


def _translate(body: _Body) -> RouteTable:
    if body.version <= 0:
        raise ValueError(f"Version: found {body.version}, expected 1 or more")
    services = {service.name for service in body.services}
    routes: dict[bytes, Route] = {}
    for route in body.routes:
        place = _read_place(route)
        if place in routes:
            raise ValueError(
                f"route {route.name}: {route.hostname}"
                f"{route.path_prefix} is taken by {routes[place].name}"
            )
        routes[place] = _translate_route(route, services)
    cold_rates = {
        service.name: service.warmup_per_s
        for service in body.services
        if service.warmup_per_s > 0
    }
    return RouteTable(body.version, routes, cold_rates)


def _translate_route(route: _Route, services: set[str]) -> Route:
    if route.timeout_ms <= 0:
        raise ValueError(
            f"route {route.name}: TimeoutMs: found {route.timeout_ms}, expected above 0"
        )
    shares = _read_shares(route)
    unknown = sorted({share.service for share in shares} - services)
    if unknown:
        raise ValueError(f"route {route.name}: unknown service {unknown[0]}")
    return Route(
        route.name,
        shares,
        route.timeout_ms,
        int(route.target_latency_ms),
        route.priority,
        route.type != NOT_REPEATABLE,
    )


def _read_shares(route: _Route) -> tuple[Share, ...]:
    if route.service is not None and not route.traffic_split:
        return (Share(route.service, 1),)
    if route.service is not None or not route.traffic_split:
        raise ValueError(f"route {route.name}: expected either Service or TrafficSplit")
    shares = tuple(Share(split.service, split.weight) for split in route.traffic_split)
    if min(share.weight for share in shares) < 0 or not any(
        share.weight for share in shares
    ):
        raise ValueError(f"route {route.name}: Weight: expected a sum above 0")
    return shares


def _read_place(route: _Route) -> bytes:
    port = route.path_prefix.strip("/")
    if not port.isdigit() or not 0 < int(port) <= 65_535:
        raise ValueError(
            f"route {route.name}: PathPrefix: found {route.path_prefix!r}, expected a"
            " port between slashes"
        )
    return IPv4Address(route.hostname).packed + int(port).to_bytes(2, "big")
