"""Define the configuration of services and targets that a node applies."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from .record import Service
from .target import Target


@dataclass(frozen=True, slots=True)
class ServiceSlice:
    """The part of the configuration that belongs to one service.

    ``targets`` are sorted by incarnation. ``revision`` is the log index of the last
    change to this slice. ``left_revision`` is the log index at which a target last left
    the service or its agent restarted, 0 if that has never happened.
    """

    service: Service
    targets: tuple[Target, ...]
    revision: int
    left_revision: int = 0

    @property
    def number(self) -> int:
        """Return the service number."""
        return self.service.number


@dataclass(frozen=True, slots=True)
class Configuration:
    """The slices that a node knows, by service number, at one revision."""

    revision: int = 0
    slices: Mapping[int, ServiceSlice] = field(
        default_factory=lambda: MappingProxyType({})
    )


@dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """Delta of a node's configuration from revision ``base`` to ``revision``.

    With a ``base`` of 0 it is a snapshot: the node drops all slices that are not in it.
    ``digest`` covers the complete resulting configuration, so that a node detects a
    lost delta.
    """

    base: int
    revision: int
    changed: tuple[ServiceSlice, ...]
    removed: tuple[int, ...]
    digest: int
