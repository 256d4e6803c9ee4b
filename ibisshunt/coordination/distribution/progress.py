"""Decide whether a revision is in force everywhere, and who lags."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, Protocol

from ...const import HEARTBEAT_SECONDS

SILENT_SECONDS: Final = 3 * HEARTBEAT_SECONDS


class NodeReport(Protocol):
    """Describe the last report of one node; its age is in seconds."""

    node: str
    revision: int
    age_seconds: float


@dataclass(frozen=True, slots=True)
class Progress:
    """Name the nodes that report an older revision, and those that fell silent.

    A silent node may be gone or cut off. One that is cut off still serves with what
    it has, so nobody may say that the revision is in force everywhere.
    """

    level: tuple[str, ...]
    lagging: tuple[str, ...]
    silent: tuple[str, ...]

    @property
    def is_complete(self) -> bool:
        """Tell whether every known node has the revision in force."""
        return not self.lagging and not self.silent


def judge_progress(reports: Iterable[NodeReport], revision: int) -> Progress:
    """Sort the nodes by what they last reported."""
    level, lagging, silent = [], [], []
    for report in reports:
        if report.revision >= revision:
            level.append(report.node)
        elif report.age_seconds > SILENT_SECONDS:
            silent.append(report.node)
        else:
            lagging.append(report.node)
    return Progress(tuple(level), tuple(lagging), tuple(silent))
