"""Define the routes of a configuration: which services get the new flows of a VIP."""

from collections.abc import Mapping
from zlib import crc32

import msgspec


class WeightedService(msgspec.Struct, frozen=True):
    """A service and its relative ``weight``, its share of a route's new flows."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True):
    """Services and limits of the flows to one VIP.

    ``timeout_ms`` is how long callers wait for an answer, ``latency_objective_ms`` the
    target latency, 0 for none. ``priority`` 0 is the highest. ``retryable``
    tells that a caller may send its request again on another flow.
    """

    name: str
    weighted_services: tuple[WeightedService, ...]
    timeout_ms: int
    latency_objective_ms: int
    priority: int
    retryable: bool

    @property
    def latency_objective_seconds(self) -> float:
        """Return the latency objective in seconds; without one, the timeout.

        With an objective of 0 every new flow would be late from its start.
        """
        return (self.latency_objective_ms or self.timeout_ms) / 1000


class RouteTable(msgspec.Struct, frozen=True):
    """All routes of one configuration version, by VIP (six bytes).

    A VIP is the virtual IPv4 address and port of a service. ``warmup_rates`` gives, by
    service, how many requests per second a target can take while it warms up; services
    without a limit are not in it.
    """

    version: int = 0
    routes: Mapping[bytes, Route] = msgspec.field(default_factory=dict)
    warmup_rates: Mapping[str, float] = msgspec.field(default_factory=dict)

    def find(self, vip: bytes) -> Route | None:
        """Return the route of a VIP, or None."""
        return self.routes.get(vip)


def choose_service(route: Route, key: bytes) -> str:
    """Return the service of a new flow; all balancers choose the same one."""
    if len(route.weighted_services) == 1:
        return route.weighted_services[0].service
    total = sum(share.weight for share in route.weighted_services)
    point = crc32(key) % total
    for share in route.weighted_services:
        if point < share.weight:
            return share.service
        point -= share.weight
    return route.weighted_services[-1].service


def compute_service_tag(service: str) -> int:
    """Return the number that identifies a service in messages between nodes.

    A target of another service may reuse an address; without the tag it would get
    packets for the previous service.
    """
    return crc32(service.encode())
