"""Decide what a node is sent to come up to the newest configuration."""

from collections import deque
from typing import Final

from ...model.configuration import Configuration, ConfigurationUpdate, ServiceSlice
from .digest import combine_digests, digest_slice

MAX_REMOVALS: Final = 1_000

UpdateKey = tuple[int, frozenset[str]]


class Sender:
    """Hold the newest configuration and which slices were removed lately.

    Changed slices carry their own revision, so only removals need a log. A node whose
    revision is older than that log gets a snapshot.
    """

    def __init__(self, max_removals: int = MAX_REMOVALS) -> None:
        self.configuration = Configuration()
        self._digests: dict[int, int] = {}
        self._digest = 0
        self._numbers: dict[str, int] = {}
        self._removals: deque[tuple[int, int]] = deque()
        self._max_removals = max_removals
        # Removals up to and including this revision are no longer known.
        self._horizon = 0
        self._updates: dict[UpdateKey, ConfigurationUpdate] = {}

    def advance(self, configuration: Configuration) -> None:
        """Take over a newer configuration."""
        before, after = self.configuration.slices, configuration.slices
        for number in before.keys() - after.keys():
            self._removals.append((configuration.revision, number))
            self._digest ^= self._digests.pop(number)
            del self._numbers[name_service(before[number])]
        for number, found in after.items():
            if before.get(number) is not found:
                self._take(number, found)
        while len(self._removals) > self._max_removals:
            self._horizon = self._removals.popleft()[0]
        self.configuration = configuration
        self._updates.clear()

    def restart(self, configuration: Configuration) -> None:
        """Take over a configuration whose past is unknown."""
        self.__init__(self._max_removals)
        self.advance(configuration)
        self._horizon = configuration.revision

    def make_update(
        self, since: int, services: frozenset[str] = frozenset()
    ) -> ConfigurationUpdate:
        """Return the delta from revision ``since``, or a snapshot if that is too old.

        ``services`` names ``business/service`` pairs; none means all. Nodes that ask
        for the same get the same object until the next change.
        """
        # A node ahead of this host gets no snapshot of older things: it refuses this
        # delta's revision and keeps what it has.
        base = since if self._horizon <= since else 0
        key = (base, services)
        if key not in self._updates:
            self._updates[key] = self._make_update(base, services)
        return self._updates[key]

    def _take(self, number: int, found: ServiceSlice) -> None:
        digest = digest_slice(found)
        self._digest ^= self._digests.get(number, 0) ^ digest
        self._digests[number] = digest
        self._numbers[name_service(found)] = number

    def _make_update(self, base: int, services: frozenset[str]) -> ConfigurationUpdate:
        slices = self.configuration.slices
        wanted = self._find_numbers(services) if services else slices
        return ConfigurationUpdate(
            base=base,
            revision=self.configuration.revision,
            changed=tuple(
                slices[number] for number in wanted if slices[number].revision > base
            ),
            removed=tuple(
                number for revision, number in self._removals if revision > base > 0
            ),
            digest=combine_digests(self._digests[number] for number in wanted)
            if services
            else self._digest,
        )

    def _find_numbers(self, services: frozenset[str]) -> list[int]:
        found = (self._numbers.get(name) for name in services)
        return sorted(number for number in found if number is not None)


def name_service(found: ServiceSlice) -> str:
    """Return the ``business/service`` pair of a slice."""
    return f"{found.service.business}/{found.service.name}"
