"""Log decisions, one line each, at a limited rate."""

from collections import Counter
from collections.abc import Callable

from .clock import read_monotonic_clock
from .logging import format_event, log_event, log_line

# Limit of log lines per second of one process, affordable for the CPU of a small host;
# further lines are only counted.
LINES_PER_SECOND = 40
# Limit of lines in one burst; smaller than the limit per second, so that later events
# of the same second can still be logged.
LINE_BURST = 10
SUMMARY_SECONDS = 5.0
# Limits for events that change a process's view of other nodes. These are rare, but
# all nodes of a failure domain may change at the same time.
RARE_LINES_PER_SECOND = 10
RARE_LINE_BURST = 40


class TokenBucket:
    """Token bucket that limits the rate of log lines; times are in seconds."""

    def __init__(self, per_second: int, burst: int, now: float) -> None:
        self._per_second = per_second
        self._burst = burst
        self._tokens = float(burst)
        self._filled_at = now

    def take_token(self, now: float) -> bool:
        """Remove one token; return False if there is none."""
        added = self._per_second * (now - self._filled_at)
        self._tokens = min(self._burst, self._tokens + added)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class DecisionLog:
    """Log decisions at a limited rate.

    ``rare_events`` have a separate limit: otherwise hundreds of placements would
    suppress the one line that explains them.
    """

    def __init__(
        self,
        per_second: int = LINES_PER_SECOND,
        burst: int = LINE_BURST,
        read_now: Callable[[], float] = read_monotonic_clock,
        rare_events: frozenset[str] = frozenset(),
    ) -> None:
        self.suppressed_count = 0
        self._read_now = read_now
        self._rare_events = rare_events
        self._bucket = TokenBucket(per_second, burst, read_now())
        self._rare_bucket = TokenBucket(
            RARE_LINES_PER_SECOND, RARE_LINE_BURST, read_now()
        )
        self._summarized_at = float("-inf")
        self._suppressed: Counter[str] = Counter()

    def log_event(self, event: str, **fields: object) -> None:
        """Log one decision, or only count it above the rate limit."""
        now = self._read_now()
        bucket = self._rare_bucket if event in self._rare_events else self._bucket
        is_allowed = bucket.take_token(now)
        self._summarize(now)
        if not is_allowed:
            self.suppressed_count += 1
            self._suppressed[event] += 1
            return
        log_line(format_event(event, **fields))

    def _summarize(self, now: float) -> None:
        """Log how many lines of each event were suppressed since the last summary."""
        if not self._suppressed or now < self._summarized_at + SUMMARY_SECONDS:
            return
        log_event("lines_left_out", count=self._suppressed.total(), **self._suppressed)
        self._suppressed.clear()
        self._summarized_at = now
