"""Describe values that tasks keep as plain numbers, for metrics and dumps."""

from bisect import bisect_left
from collections.abc import Iterator
from enum import StrEnum

import msgspec


class SampleKind(StrEnum):
    """Name the kinds of sample."""

    COUNTER = "counter"
    GAUGE = "gauge"


class Sample(msgspec.Struct, frozen=True):
    """Hold one value that a task keeps as a plain number."""

    name: str
    kind: SampleKind
    labels: dict[str, str] = msgspec.field(default_factory=dict)
    value: float = 0.0


# Upper ends of the buckets of a latency histogram, in seconds.
LATENCY_BOUNDS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


class LatencyHistogram:
    """Count latencies by bucket, as Prometheus' histograms do."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._counts = [0] * (len(LATENCY_BOUNDS) + 1)
        self._sum = 0.0

    def observe(self, seconds: float) -> None:
        """Count one latency."""
        self._counts[bisect_left(LATENCY_BOUNDS, seconds)] += 1
        self._sum += seconds

    def list_samples(self) -> Iterator[Sample]:
        """Yield the cumulative buckets, the sum and the count."""
        total = 0
        bounds = [*(str(bound) for bound in LATENCY_BOUNDS), "+Inf"]
        for bound, count in zip(bounds, self._counts, strict=True):
            total += count
            labels = {"le": bound}
            name = f"{self._name}_bucket"
            yield Sample(name, SampleKind.COUNTER, labels, total)
        yield Sample(f"{self._name}_sum", SampleKind.COUNTER, {}, self._sum)
        yield Sample(f"{self._name}_count", SampleKind.COUNTER, {}, total)
