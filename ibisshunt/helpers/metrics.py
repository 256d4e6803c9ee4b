"""Count what happens and render it for Prometheus."""

from collections.abc import Callable, Iterable
from typing import Any

from aioprometheus import Counter, Gauge, Registry, render

from .samples import Sample, SampleKind

__all__ = ["Metrics", "Sample", "SampleKind"]


class Metrics:
    """Hold the metrics of one process or one part of it."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._metrics: dict[str, Any] = {}
        self._collectors: list[Callable[[], Iterable[Sample]]] = []

    def add(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        self._find(name, Counter).add(labels, amount)

    def set(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self._find(name, Gauge).set(labels, value)

    def collect(self, callback: Callable[[], Iterable[Sample]]) -> None:
        """Ask a task for its samples whenever the metrics are rendered."""
        self._collectors.append(callback)

    def render(self, accepts: tuple[str, ...] = ()) -> tuple[bytes, dict[str, str]]:
        """Return the page and its headers."""
        for callback in self._collectors:
            for sample in callback():
                kind = Counter if sample.kind == SampleKind.COUNTER else Gauge
                self._find(sample.name, kind).set(sample.labels, sample.value)
        return render(self._registry, list(accepts))

    def _find(self, name: str, kind: Any) -> Any:
        if name not in self._metrics:
            doc = name.replace("_", " ")
            self._metrics[name] = kind(name, doc, registry=self._registry)
        return self._metrics[name]
