"""Decide how much of its share a target gets, from what was seen of it."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

SMOOTHING: Final = 0.1
LEAST_WEIGHT: Final = 0.1
# A target is an outlier when it fails this much more often than its peers, or takes
# this many times their time.
FAILURE_MARGIN: Final = 0.2
SLOW_FACTOR: Final = 3.0
COLD_SHARE: Final = 0.25


@dataclass(frozen=True, slots=True)
class Observation:
    """Hold what was seen of a target: share of failures in 0-1, mean seconds."""

    failures: float = 0.0
    seconds: float = 0.0
    count: int = 0


def observe(found: Observation, failed: bool, seconds: float) -> Observation:
    """Return the observation after one more answer or refusal."""
    if found.count == 0:
        return Observation(float(failed), seconds, 1)
    failures = found.failures + SMOOTHING * (float(failed) - found.failures)
    mean = found.seconds + SMOOTHING * (seconds - found.seconds)
    return Observation(failures, mean, found.count + 1)


class Observations:
    """Hold what this agent saw of each target, and the weights that follow."""

    def __init__(self) -> None:
        self._seen: dict[int, Observation] = {}
        self._weights: dict[int, float] | None = None

    def note(self, target: int, failed: bool, seconds: float) -> None:
        """Take in one answer or refusal."""
        found = self._seen.get(target, Observation())
        self._seen[target] = observe(found, failed, seconds)
        self._weights = None

    def keep_only(self, targets: Iterable[int]) -> None:
        """Forget targets that are no longer members."""
        wanted = set(targets)
        self._seen = {one: seen for one, seen in self._seen.items() if one in wanted}
        self._weights = None

    @property
    def weights(self) -> dict[int, float]:
        """Return the weight of each target that was seen."""
        if self._weights is None:
            self._weights = weigh_targets(self._seen)
        return self._weights


def weigh_targets(observations: dict[int, Observation]) -> dict[int, float]:
    """Return the weight of each target in 0.1-1.

    Outliers get less, and at most half of the targets are outliers: when all look bad
    the fault is elsewhere, and taking them all out would end the service.
    """
    if not observations:
        return {}
    typical = _find_typical(observations)
    scores = {one: _score(seen, typical) for one, seen in observations.items()}
    worst = sorted(scores, key=lambda one: (scores[one], one))[: len(scores) // 2]
    return {
        one: max(LEAST_WEIGHT, score) if one in worst else 1.0
        for one, score in scores.items()
    }


def find_share(warm_deadline: float, warm_up: float, now: float) -> float:
    """Return the share in 0-1 of a target that is warming up until the deadline."""
    if now >= warm_deadline:
        return 1.0
    progress = 1.0 - (warm_deadline - now) / warm_up
    return max(COLD_SHARE, progress)


def _find_typical(observations: dict[int, Observation]) -> Observation:
    middle = (len(observations) - 1) // 2
    failures = sorted(seen.failures for seen in observations.values())[middle]
    seconds = sorted(seen.seconds for seen in observations.values())[middle]
    return Observation(failures, seconds)


def _score(seen: Observation, typical: Observation) -> float:
    if seen.failures > typical.failures + FAILURE_MARGIN:
        return 1.0 - seen.failures
    if typical.seconds > 0 and seen.seconds > SLOW_FACTOR * typical.seconds:
        return typical.seconds / seen.seconds
    return 1.0
