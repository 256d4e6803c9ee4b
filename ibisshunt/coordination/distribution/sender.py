"""Build the updates that bring nodes to the newest configuration."""

from collections import deque
from typing import Final

from ...model.configuration import Configuration, ConfigurationUpdate, ServiceSlice
from .digest import combine_digests, digest_slice

MAX_TRACKED_REMOVALS: Final = 1_000

UpdateKey = tuple[int, frozenset[str]]


class Sender:
    """The newest configuration and the recently removed slices.

    Changed slices carry their own revision, so only removals need a log. A node whose
    revision is older than that log gets a snapshot instead of a delta.
    """

    def __init__(self, max_removals: int = MAX_TRACKED_REMOVALS) -> None:
        self.configuration = Configuration()
        self._digests: dict[int, int] = {}
        self._digest = 0
        self._numbers_by_name: dict[str, int] = {}
        self._removals: deque[tuple[int, int]] = deque()
        self._max_removals = max_removals
        # Removals up to and including this revision are not in the log.
        self._removals_known_after = 0
        self._update_cache: dict[UpdateKey, ConfigurationUpdate] = {}

    def advance(self, configuration: Configuration) -> None:
        """Publish a newer configuration."""
        before, after = self.configuration.slices, configuration.slices
        for number in before.keys() - after.keys():
            self._removals.append((configuration.revision, number))
            self._digest ^= self._digests.pop(number)
            del self._numbers_by_name[make_service_name(before[number])]
        for number, slice_ in after.items():
            if before.get(number) is not slice_:
                self._update_slice(number, slice_)
        while len(self._removals) > self._max_removals:
            self._removals_known_after = self._removals.popleft()[0]
        self.configuration = configuration
        self._update_cache.clear()

    def restart(self, configuration: Configuration) -> None:
        """Publish a configuration whose history is unknown."""
        self.__init__(self._max_removals)
        self.advance(configuration)
        self._removals_known_after = configuration.revision

    def make_update(
        self, since: int, services: frozenset[str] = frozenset()
    ) -> ConfigurationUpdate:
        """Return the delta from revision ``since``, or a snapshot if that is too old.

        ``services`` contains ``business/service`` names; empty means all. Equal
        requests return the same object until the next change.
        """
        # A node that is ahead of this host gets a delta too: it rejects the delta's
        # older revision and keeps its configuration.
        base = since if self._removals_known_after <= since else 0
        key = (base, services)
        if key not in self._update_cache:
            self._update_cache[key] = self._make_update(base, services)
        return self._update_cache[key]

    def _update_slice(self, number: int, service_slice: ServiceSlice) -> None:
        digest = digest_slice(service_slice)
        self._digest ^= self._digests.get(number, 0) ^ digest
        self._digests[number] = digest
        self._numbers_by_name[make_service_name(service_slice)] = number

    def _make_update(self, base: int, services: frozenset[str]) -> ConfigurationUpdate:
        slices = self.configuration.slices
        numbers = self._find_numbers(services) if services else slices
        return ConfigurationUpdate(
            base=base,
            revision=self.configuration.revision,
            changed=tuple(
                slices[number] for number in numbers if slices[number].revision > base
            ),
            removed=tuple(
                number for revision, number in self._removals if revision > base > 0
            ),
            digest=combine_digests(self._digests[number] for number in numbers)
            if services
            else self._digest,
        )

    def _find_numbers(self, services: frozenset[str]) -> list[int]:
        numbers = (self._numbers_by_name.get(name) for name in services)
        return sorted(number for number in numbers if number is not None)


def make_service_name(service_slice: ServiceSlice) -> str:
    """Return the ``business/service`` name of a slice."""
    return f"{service_slice.service.business}/{service_slice.service.name}"
