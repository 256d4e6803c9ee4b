"""Log decisions one line each, as many a second as can be borne."""

from .clock import read_clock
from .logging import format_event, log_event, log_line

# Lines a second of one process; what is above is counted. Source: a line costs some
# 30 microseconds, so that this many stay under 0.5% of a small host's core.
LINES_PER_SECOND = 40
SUMMARY_SECONDS = 5.0


class DecisionLog:
    """Own the budget of one process's decision lines."""

    def __init__(self, per_second: int = LINES_PER_SECOND) -> None:
        self.left_out = 0
        self._per_second = per_second
        self._left = per_second
        self._refill_at = 0.0
        self._told_at = 0.0
        self._told = 0

    def tell_event(self, event: str, **fields: object) -> None:
        """Log one decision, or count it when there were too many this second."""
        now = read_clock()
        if now >= self._refill_at:
            self._refill_at = now + 1.0
            self._left = self._per_second
            self._summarize(now)
        if self._left <= 0:
            self.left_out += 1
            return
        self._left -= 1
        log_line(format_event(event, **fields))

    def _summarize(self, now: float) -> None:
        if self.left_out == self._told or now < self._told_at + SUMMARY_SECONDS:
            return
        log_event("lines_left_out", count=self.left_out - self._told)
        self._told, self._told_at = self.left_out, now
