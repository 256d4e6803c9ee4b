"""Log decisions one line each, as many a second as can be borne."""

from collections import Counter
from collections.abc import Callable

from .clock import read_clock
from .logging import format_event, log_event, log_line

# Lines a second of one process, for a small host's processor; what is above is counted.
LINES_PER_SECOND = 40
# Lines that may come at once: a burst must leave some for what comes later in the same
# second.
LINES_AT_ONCE = 10
SUMMARY_SECONDS = 5.0


class DecisionLog:
    """Own the budget of one process's decision lines."""

    def __init__(
        self,
        per_second: int = LINES_PER_SECOND,
        at_once: int = LINES_AT_ONCE,
        read_now: Callable[[], float] = read_clock,
    ) -> None:
        self.left_out = 0
        self._per_second = per_second
        self._at_once = at_once
        self._read_now = read_now
        self._left = float(at_once)
        self._filled_at = read_now()
        self._told_at = float("-inf")
        self._untold: Counter[str] = Counter()

    def tell_event(self, event: str, **fields: object) -> None:
        """Log one decision, or count it when there were too many just now."""
        now = self._read_now()
        gained = self._per_second * (now - self._filled_at)
        self._left = min(self._at_once, self._left + gained)
        self._filled_at = now
        self._summarize(now)
        if self._left < 1:
            self.left_out += 1
            self._untold[event] += 1
            return
        self._left -= 1
        log_line(format_event(event, **fields))

    def _summarize(self, now: float) -> None:
        """Tell how many lines of each event were left out since the last summary."""
        if not self._untold or now < self._told_at + SUMMARY_SECONDS:
            return
        log_event("lines_left_out", count=self._untold.total(), **self._untold)
        self._untold.clear()
        self._told_at = now
