"""Describe values that tasks keep as plain numbers, for metrics and dumps."""

from dataclasses import dataclass, field
from enum import StrEnum


class SampleKind(StrEnum):
    """Name the kinds of sample."""

    COUNTER = "counter"
    GAUGE = "gauge"


@dataclass(frozen=True, slots=True)
class Sample:
    """Hold one value that a task keeps as a plain number."""

    name: str
    kind: SampleKind
    labels: dict[str, str] = field(default_factory=dict)
    value: float = 0.0
