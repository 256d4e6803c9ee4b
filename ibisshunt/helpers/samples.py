"""Define samples: values of metrics that tasks store as plain numbers."""

from bisect import bisect_left
from collections.abc import Iterator
from enum import StrEnum

import msgspec


class SampleKind(StrEnum):
    """Kind of a sample."""

    COUNTER = "counter"
    GAUGE = "gauge"


class Sample(msgspec.Struct, frozen=True):
    """One value of a metric."""

    name: str
    kind: SampleKind
    labels: dict[str, str] = msgspec.field(default_factory=dict)
    value: float = 0.0


# Upper bounds of the buckets of a latency histogram, in seconds.
LATENCY_BOUNDS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


class LatencyHistogram:
    """Prometheus histogram of latencies."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._counts = [0] * (len(LATENCY_BOUNDS) + 1)
        self._sum = 0.0

    def observe(self, seconds: float) -> None:
        """Add one latency."""
        self._counts[bisect_left(LATENCY_BOUNDS, seconds)] += 1
        self._sum += seconds

    def list_samples(self) -> Iterator[Sample]:
        """Yield the cumulative buckets, the sum and the count."""
        cumulative_count = 0
        bounds = [*(str(bound) for bound in LATENCY_BOUNDS), "+Inf"]
        for bound, count in zip(bounds, self._counts, strict=True):
            cumulative_count += count
            labels = {"le": bound}
            name = f"{self._name}_bucket"
            yield Sample(name, SampleKind.COUNTER, labels, cumulative_count)
        yield Sample(f"{self._name}_sum", SampleKind.COUNTER, {}, self._sum)
        yield Sample(f"{self._name}_count", SampleKind.COUNTER, {}, cumulative_count)
