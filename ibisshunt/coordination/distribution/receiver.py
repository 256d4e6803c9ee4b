"""Decide what an update makes of the configuration that a node has in force."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from types import MappingProxyType

from ...model.configuration import Configuration, ConfigurationUpdate, ServiceSlice
from .digest import combine_digests, digest_slice


class Verdict(StrEnum):
    """Name what became of an update.

    ``STALE`` updates come from a host that lags: the node keeps what it has and asks
    another host. After ``GAP`` and ``MISMATCH`` it watches again from ``since``.
    """

    IN_FORCE = "in_force"
    CURRENT = "current"
    STALE = "stale"
    GAP = "gap"
    MISMATCH = "mismatch"


@dataclass(frozen=True, slots=True)
class Received:
    """Hold the configuration in force and the digest of each slice by number."""

    configuration: Configuration = field(default_factory=Configuration)
    digests: Mapping[int, int] = field(default_factory=lambda: MappingProxyType({}))


@dataclass(frozen=True, slots=True)
class Reception:
    """Hold what is in force after an update, and from where to watch again."""

    received: Received
    verdict: Verdict
    since: int


def receive(received: Received, update: ConfigurationUpdate) -> Reception:
    """Decide on one update; what is in force never goes back to a lower revision."""
    held = received.configuration.revision
    if update.revision < held:
        return Reception(received, Verdict.STALE, held)
    if update.base > held:
        # The delta between was lost. Taking this one would leave out what it changed,
        # and the node would show the newest revision over an older table.
        return Reception(received, Verdict.GAP, held)
    after = _merge(received, update)
    if combine_digests(after.digests.values()) != update.digest:
        # Some earlier loss went unseen: only a whole snapshot mends that.
        return Reception(received, Verdict.MISMATCH, 0)
    unchanged = update.revision == held and after.digests == received.digests
    if unchanged:
        return Reception(received, Verdict.CURRENT, held)
    return Reception(after, Verdict.IN_FORCE, update.revision)


def _merge(received: Received, update: ConfigurationUpdate) -> Received:
    slices: dict[int, ServiceSlice] = {}
    digests: dict[int, int] = {}
    if update.base:
        slices.update(received.configuration.slices)
        digests.update(received.digests)
    for number in update.removed:
        slices.pop(number, None)
        digests.pop(number, None)
    for found in update.changed:
        slices[found.number] = found
        digests[found.number] = digest_slice(found)
    configuration = Configuration(update.revision, MappingProxyType(slices))
    return Received(configuration, MappingProxyType(digests))
