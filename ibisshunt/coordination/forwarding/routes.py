"""Hold the routes of one configuration: which services take new flows of a place."""

from collections.abc import Mapping
from zlib import crc32

import msgspec


class Share(msgspec.Struct, frozen=True):
    """Give a service a part of a route's new flows; ``weight`` has no unit."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True):
    """Describe what callers reach at one address and port.

    ``timeout`` and ``objective`` are milliseconds, an ``objective`` of 0 is none;
    ``priority`` 0 goes first.
    """

    name: str
    shares: tuple[Share, ...]
    timeout: int
    objective: int
    priority: int
    repeatable: bool

    @property
    def objective_seconds(self) -> float:
        """Return in which time an answer is wanted; without an objective, the timeout.

        An objective of nothing would make each new flow late from its start.
        """
        return (self.objective or self.timeout) / 1000


class RouteTable(msgspec.Struct, frozen=True):
    """Hold all routes of one version, by place (address and port, six bytes).

    ``cold_rates`` tells how many requests a second a cold target of a service bears;
    services without a limit are not in it.
    """

    version: int = 0
    routes: Mapping[bytes, Route] = msgspec.field(default_factory=dict)
    cold_rates: Mapping[str, float] = msgspec.field(default_factory=dict)

    def find(self, place: bytes) -> Route | None:
        """Return the route of a place, or None."""
        return self.routes.get(place)


def choose_service(route: Route, key: bytes) -> str:
    """Return the service of a new flow; every balancer chooses the same one."""
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    point = crc32(key) % total
    for share in route.shares:
        if point < share.weight:
            return share.service
        point -= share.weight
    return route.shares[-1].service


def make_tag(service: str) -> int:
    """Return the number that stands for a service between nodes.

    An address is used again by a target of another service; without the tag a packet
    for the old one would run there.
    """
    return crc32(service.encode())
