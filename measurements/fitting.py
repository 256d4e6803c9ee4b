"""Fit a straight line through measured sizes."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Line:
    """Hold ``value = base + slope * size`` and how far points lie from it.

    ``spread`` is the largest distance of a point from the line, as a share of the
    largest value.
    """

    base: float
    slope: float
    spread: float

    def at(self, size: float) -> float:
        """Return the value at a size."""
        return self.base + self.slope * size


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Return the line of least squares through three or more points."""
    if len(points) < 3:
        raise ValueError(f"expected three sizes or more, found {len(points)}")
    count = len(points)
    mean_size = sum(size for size, _ in points) / count
    mean_value = sum(value for _, value in points) / count
    across = sum((size - mean_size) ** 2 for size, _ in points)
    if not across:
        raise ValueError("expected sizes that differ")
    along = sum((size - mean_size) * (value - mean_value) for size, value in points)
    slope = along / across
    base = mean_value - slope * mean_size
    largest = max(abs(value) for _, value in points) or 1.0
    spread = max(abs(base + slope * size - value) for size, value in points) / largest
    return Line(base, slope, spread)
