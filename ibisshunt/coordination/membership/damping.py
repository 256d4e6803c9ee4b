"""Damp flapping: hold down a target that changes its state too often."""

from dataclasses import dataclass
from typing import Final

# Changes without a hold-down. Each costs a log write and a new table on every node.
MAX_UNDAMPED_CHANGES: Final = 3
STABLE_SECONDS: Final = 60.0
INITIAL_HOLD_DOWN_SECONDS: Final = 4.0
MAX_HOLD_DOWN_SECONDS: Final = 60.0


@dataclass(frozen=True, slots=True)
class FlapHistory:
    """Count changes in quick succession; deadlines are in monotonic seconds."""

    count: int = 0
    stable_deadline: float = 0.0
    hold_down_deadline: float = 0.0


def record_change(history: FlapHistory, now: float) -> FlapHistory:
    """Count a change; the hold-down doubles with each one beyond the undamped ones."""
    count = 1 if now >= history.stable_deadline else history.count + 1
    excess = count - MAX_UNDAMPED_CHANGES
    hold_down = 0.0
    if excess > 0:
        hold_down = min(
            MAX_HOLD_DOWN_SECONDS, INITIAL_HOLD_DOWN_SECONDS * 2 ** min(excess - 1, 10)
        )
    return FlapHistory(count, now + hold_down + STABLE_SECONDS, now + hold_down)
