"""Evaluate on which nodes a configuration revision is active."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, Protocol

from ...const import HEARTBEAT_SECONDS

REPORT_TIMEOUT_SECONDS: Final = 3 * HEARTBEAT_SECONDS


class NodeReport(Protocol):
    """The last report of one node."""

    node: str
    revision: int
    age_seconds: float


@dataclass(frozen=True, slots=True)
class RolloutProgress:
    """Nodes that have a revision, report an older one, or have stopped reporting.

    A silent node may have ended or be partitioned. A partitioned node still serves with
    its old configuration, so the revision must not be called active everywhere.
    """

    up_to_date: tuple[str, ...]
    lagging: tuple[str, ...]
    silent: tuple[str, ...]

    @property
    def is_complete(self) -> bool:
        """Return whether the revision is active on every known node."""
        return not self.lagging and not self.silent


def evaluate_rollout(reports: Iterable[NodeReport], revision: int) -> RolloutProgress:
    """Group the nodes by their last report."""
    up_to_date, lagging, silent = [], [], []
    for report in reports:
        if report.revision >= revision:
            up_to_date.append(report.node)
        elif report.age_seconds > REPORT_TIMEOUT_SECONDS:
            silent.append(report.node)
        else:
            lagging.append(report.node)
    return RolloutProgress(tuple(up_to_date), tuple(lagging), tuple(silent))
