"""Decide what a node is sent to come up to the newest configuration."""

from collections import deque
from typing import Final

from ...model.configuration import Configuration, ConfigurationUpdate, ServiceSlice
from .digest import combine_digests, digest_slice

MAX_REMOVALS: Final = 1_000


class Sender:
    """Hold the newest configuration and which slices were removed lately.

    Changed slices carry their own revision, so only removals need a log. A node whose
    revision is older than that log gets a snapshot.
    """

    def __init__(self, max_removals: int = MAX_REMOVALS) -> None:
        self.configuration = Configuration()
        self._digests: dict[int, int] = {}
        self._removals: deque[tuple[int, int]] = deque()
        self._max_removals = max_removals
        # Removals up to and including this revision are no longer known.
        self._horizon = 0

    def advance(self, configuration: Configuration) -> None:
        """Take over a newer configuration."""
        before, after = self.configuration.slices, configuration.slices
        for number in before.keys() - after.keys():
            self._removals.append((configuration.revision, number))
            del self._digests[number]
        for number, found in after.items():
            if before.get(number) is not found:
                self._digests[number] = digest_slice(found)
        while len(self._removals) > self._max_removals:
            self._horizon = self._removals.popleft()[0]
        self.configuration = configuration

    def restart(self, configuration: Configuration) -> None:
        """Take over a configuration whose past is unknown."""
        self.__init__(self._max_removals)
        self.advance(configuration)
        self._horizon = configuration.revision

    def make_update(
        self, since: int, services: frozenset[str] = frozenset()
    ) -> ConfigurationUpdate:
        """Return the delta from revision ``since``, or a snapshot if that is too old.

        ``services`` names ``business/service`` pairs; none means all.
        """
        newest = self.configuration.revision
        # A node ahead of this host gets no snapshot of older things: it refuses this
        # delta's revision and keeps what it has.
        base = since if self._horizon <= since else 0
        wanted = [
            found
            for found in self.configuration.slices.values()
            if not services or name_service(found) in services
        ]
        return ConfigurationUpdate(
            base=base,
            revision=newest,
            changed=tuple(found for found in wanted if found.revision > base),
            removed=tuple(
                number for revision, number in self._removals if revision > base > 0
            ),
            digest=combine_digests(self._digests[found.number] for found in wanted),
        )


def name_service(found: ServiceSlice) -> str:
    """Return the ``business/service`` pair of a slice."""
    return f"{found.service.business}/{found.service.name}"
