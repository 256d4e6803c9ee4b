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
# The same for events that change what a process believes of others: few, but a whole
# failure domain changes at once.
RARE_PER_SECOND = 10
RARE_AT_ONCE = 40


class LineBudget:
    """Own how many lines may still be logged; times are in seconds."""

    def __init__(self, per_second: int, at_once: int, now: float) -> None:
        self._per_second = per_second
        self._at_once = at_once
        self._left = float(at_once)
        self._filled_at = now

    def take(self, now: float) -> bool:
        """Use one line up; return whether there was one."""
        gained = self._per_second * (now - self._filled_at)
        self._left = min(self._at_once, self._left + gained)
        self._filled_at = now
        if self._left < 1:
            return False
        self._left -= 1
        return True


class DecisionLog:
    """Own the budgets of one process's decision lines.

    ``rare`` names the events that have a budget of their own: hundreds of placements
    would else leave out the one line that explains them.
    """

    def __init__(
        self,
        per_second: int = LINES_PER_SECOND,
        at_once: int = LINES_AT_ONCE,
        read_now: Callable[[], float] = read_clock,
        rare: frozenset[str] = frozenset(),
    ) -> None:
        self.left_out = 0
        self._read_now = read_now
        self._rare = rare
        self._budget = LineBudget(per_second, at_once, read_now())
        self._rare_budget = LineBudget(RARE_PER_SECOND, RARE_AT_ONCE, read_now())
        self._told_at = float("-inf")
        self._untold: Counter[str] = Counter()

    def tell_event(self, event: str, **fields: object) -> None:
        """Log one decision, or count it when there were too many just now."""
        now = self._read_now()
        budget = self._rare_budget if event in self._rare else self._budget
        has_line = budget.take(now)
        self._summarize(now)
        if not has_line:
            self.left_out += 1
            self._untold[event] += 1
            return
        log_line(format_event(event, **fields))

    def _summarize(self, now: float) -> None:
        """Tell how many lines of each event were left out since the last summary."""
        if not self._untold or now < self._told_at + SUMMARY_SECONDS:
            return
        log_event("lines_left_out", count=self._untold.total(), **self._untold)
        self._untold.clear()
        self._told_at = now
