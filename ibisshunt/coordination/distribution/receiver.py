"""Apply configuration updates on a node."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from types import MappingProxyType

from ...model.configuration import Configuration, ConfigurationUpdate, ServiceSlice
from .digest import combine_digests, digest_slice


class UpdateVerdict(StrEnum):
    """Outcome of an update.

    ``IN_FORCE``: the update was applied. ``CURRENT``: it contained no change.
    ``STALE``: the sender lags behind, so the node keeps its configuration and asks
    another host. ``GAP``: an earlier update is missing. ``MISMATCH``: the digests
    differ. After the last two, the node watches again from ``UpdateResult.since``.
    """

    IN_FORCE = "in_force"
    CURRENT = "current"
    STALE = "stale"
    GAP = "gap"
    MISMATCH = "mismatch"


@dataclass(frozen=True, slots=True)
class ActiveConfiguration:
    """The active configuration and the digest of each slice by its number."""

    configuration: Configuration = field(default_factory=Configuration)
    digests: Mapping[int, int] = field(default_factory=lambda: MappingProxyType({}))


@dataclass(frozen=True, slots=True)
class UpdateResult:
    """The active configuration after an update, and the revision to watch from."""

    active: ActiveConfiguration
    verdict: UpdateVerdict
    since: int


def receive(active: ActiveConfiguration, update: ConfigurationUpdate) -> UpdateResult:
    """Apply an update, or reject it; the active revision never decreases."""
    revision = active.configuration.revision
    if update.revision < revision:
        return UpdateResult(active, UpdateVerdict.STALE, revision)
    if update.base > revision:
        # The delta before this one was lost. Applying this one would omit its changes:
        # the node would report the newest revision with an outdated configuration.
        return UpdateResult(active, UpdateVerdict.GAP, revision)
    merged = _merge_update(active, update)
    if combine_digests(merged.digests.values()) != update.digest:
        # An earlier loss was not detected; only a full snapshot repairs it.
        return UpdateResult(active, UpdateVerdict.MISMATCH, 0)
    is_unchanged = update.revision == revision and merged.digests == active.digests
    if is_unchanged:
        return UpdateResult(active, UpdateVerdict.CURRENT, revision)
    return UpdateResult(merged, UpdateVerdict.IN_FORCE, update.revision)


def _merge_update(
    active: ActiveConfiguration, update: ConfigurationUpdate
) -> ActiveConfiguration:
    slices: dict[int, ServiceSlice] = {}
    digests: dict[int, int] = {}
    if update.base:
        slices.update(active.configuration.slices)
        digests.update(active.digests)
    for number in update.removed:
        slices.pop(number, None)
        digests.pop(number, None)
    for slice_ in update.changed:
        slices[slice_.number] = slice_
        digests[slice_.number] = digest_slice(slice_)
    configuration = Configuration(update.revision, MappingProxyType(slices))
    return ActiveConfiguration(configuration, MappingProxyType(digests))
