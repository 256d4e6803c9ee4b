"""Describe the configuration that a node has in force."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from .record import Service
from .target import Target


@dataclass(frozen=True, slots=True)
class ServiceSlice:
    """Hold one service and its targets.

    ``revision`` is the position in the log that last changed this slice. Targets are
    in the order of their incarnation. ``left_revision`` is the position at which a
    target last left the service or its agent restarted, 0 when none ever has.
    """

    service: Service
    targets: tuple[Target, ...]
    revision: int
    left_revision: int = 0

    @property
    def number(self) -> int:
        """Return the number of the service."""
        return self.service.number


@dataclass(frozen=True, slots=True)
class Configuration:
    """Hold all slices a node knows, by service number, at one revision."""

    revision: int = 0
    slices: Mapping[int, ServiceSlice] = field(
        default_factory=lambda: MappingProxyType({})
    )


@dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """Carry a node from ``base`` to ``revision``.

    A ``base`` of 0 makes it a snapshot: slices that it does not hold are dropped.
    ``digest`` is taken over the whole result, so that a node sees a lost delta.
    """

    base: int
    revision: int
    changed: tuple[ServiceSlice, ...]
    removed: tuple[int, ...]
    digest: int
