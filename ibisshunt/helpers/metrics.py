"""Collect metrics and render them for Prometheus."""

from collections.abc import Callable, Iterable
from typing import Any

from aioprometheus import Counter, Gauge, Registry, render

from .samples import Sample, SampleKind

__all__ = ["Metrics", "Sample", "SampleKind"]


class Metrics:
    """Metrics of one process or of one component."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._metrics: dict[str, Any] = {}
        self._collectors: list[Callable[[], Iterable[Sample]]] = []

    def add(self, name: str, amount: float = 1, **labels: str) -> None:
        """Increase a counter."""
        self._get_or_create(name, Counter).add(labels, amount)

    def set(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self._get_or_create(name, Gauge).set(labels, value)

    def collect(self, callback: Callable[[], Iterable[Sample]]) -> None:
        """Register a callback that returns samples each time the page is rendered."""
        self._collectors.append(callback)

    def render(self, accepts: tuple[str, ...] = ()) -> tuple[bytes, dict[str, str]]:
        """Return the metrics page and its HTTP headers."""
        for callback in self._collectors:
            for sample in callback():
                metric_class = Counter if sample.kind == SampleKind.COUNTER else Gauge
                self._get_or_create(sample.name, metric_class).set(
                    sample.labels, sample.value
                )
        return render(self._registry, list(accepts))

    def _get_or_create(self, name: str, metric_class: Any) -> Any:
        if name not in self._metrics:
            description = name.replace("_", " ")
            self._metrics[name] = metric_class(
                name, description, registry=self._registry
            )
        return self._metrics[name]
