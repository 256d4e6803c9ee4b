"""Hold back what changes its state again and again."""

from dataclasses import dataclass
from typing import Final

# Each change of a target costs a write and a new table on every node.
FREE_CHANGES: Final = 3
QUIET_SECONDS: Final = 60.0
FIRST_HOLD_SECONDS: Final = 4.0
LONGEST_HOLD_SECONDS: Final = 60.0


@dataclass(frozen=True, slots=True)
class Flaps:
    """Count changes that followed each other closely; times are monotonic seconds."""

    count: int = 0
    quiet_deadline: float = 0.0
    hold_deadline: float = 0.0


def note_change(flaps: Flaps, now: float) -> Flaps:
    """Count one more change; the hold doubles with each one beyond the free ones."""
    count = 1 if now >= flaps.quiet_deadline else flaps.count + 1
    excess = count - FREE_CHANGES
    hold = 0.0
    if excess > 0:
        hold = min(LONGEST_HOLD_SECONDS, FIRST_HOLD_SECONDS * 2 ** min(excess - 1, 10))
    return Flaps(count, now + hold + QUIET_SECONDS, now + hold)
