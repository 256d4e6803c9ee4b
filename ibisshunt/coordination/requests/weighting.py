"""Weigh targets by their failures and latencies, and ramp up cold ones."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

SMOOTHING_FACTOR: Final = 0.1
MIN_WEIGHT: Final = 0.1
# A target is an outlier when its failure rate exceeds the median by this margin, or its
# latency is this multiple of the median.
FAILURE_MARGIN: Final = 0.2
SLOW_FACTOR: Final = 3.0
MIN_SLOW_START_SHARE: Final = 0.25


@dataclass(frozen=True, slots=True)
class TargetStats:
    """Failure rate in 0-1 and mean latency in seconds of a target."""

    failures: float = 0.0
    seconds: float = 0.0
    count: int = 0


def update_stats(stats: TargetStats, failed: bool, seconds: float) -> TargetStats:
    """Return the statistics after one more response or refusal."""
    if stats.count == 0:
        return TargetStats(float(failed), seconds, 1)
    failures = stats.failures + SMOOTHING_FACTOR * (float(failed) - stats.failures)
    mean = stats.seconds + SMOOTHING_FACTOR * (seconds - stats.seconds)
    return TargetStats(failures, mean, stats.count + 1)


class OutlierDetector:
    """Track the statistics of each target as this agent sees it; compute weights."""

    def __init__(self) -> None:
        self._stats: dict[int, TargetStats] = {}
        self._weights: dict[int, float] | None = None

    def record(self, target: int, failed: bool, seconds: float) -> None:
        """Record one response or refusal."""
        stats = self._stats.get(target, TargetStats())
        self._stats[target] = update_stats(stats, failed, seconds)
        self._weights = None

    def retain(self, targets: Iterable[int]) -> None:
        """Remove targets that are no longer members."""
        members = set(targets)
        self._stats = {
            target: stats for target, stats in self._stats.items() if target in members
        }
        self._weights = None

    @property
    def weights(self) -> dict[int, float]:
        """Return the weight of each target with statistics."""
        if self._weights is None:
            self._weights = compute_weights(self._stats)
        return self._weights


def compute_weights(stats_by_target: dict[int, TargetStats]) -> dict[int, float]:
    """Return the weight of each target in 0.1-1.

    Outliers get less than 1. At most half of the targets count as outliers: when most
    targets look bad the fault is elsewhere, and ejecting them would end the service.
    """
    if not stats_by_target:
        return {}
    median = _compute_median(stats_by_target)
    scores = {
        target: _compute_score(stats, median)
        for target, stats in stats_by_target.items()
    }
    worst = sorted(scores, key=lambda target: (scores[target], target))[
        : len(scores) // 2
    ]
    return {
        target: max(MIN_WEIGHT, score) if target in worst else 1.0
        for target, score in scores.items()
    }


def compute_slow_start_share(warm_deadline: float, warm_up: float, now: float) -> float:
    """Return the share in 0-1 of a target that warms up until ``warm_deadline``.

    ``warm_up`` is the length of the warm-up in seconds.
    """
    if now >= warm_deadline:
        return 1.0
    progress = 1.0 - (warm_deadline - now) / warm_up
    return max(MIN_SLOW_START_SHARE, progress)


def _compute_median(stats_by_target: dict[int, TargetStats]) -> TargetStats:
    middle = (len(stats_by_target) - 1) // 2
    failures = sorted(stats.failures for stats in stats_by_target.values())[middle]
    seconds = sorted(stats.seconds for stats in stats_by_target.values())[middle]
    return TargetStats(failures, seconds)


def _compute_score(stats: TargetStats, median: TargetStats) -> float:
    if stats.failures > median.failures + FAILURE_MARGIN:
        return 1.0 - stats.failures
    if median.seconds > 0 and stats.seconds > SLOW_FACTOR * median.seconds:
        return median.seconds / stats.seconds
    return 1.0
