"""Count refused packets and log them without flooding the log."""

from collections import Counter
from typing import Any, Final

from .logging import warn_event

LOG_INTERVAL_SECONDS: Final = 10.0


class RefusalCounter:
    """Count refused packets by reason; flushed about once a second.

    A refused packet costs a single addition and gets no separate log line: a flood of
    invalid packets must not fill the log as well.
    """

    def __init__(self, role: str) -> None:
        self._role = role
        self._counts: Counter[str] = Counter()
        self._unlogged: Counter[str] = Counter()
        self._log_deadline = 0.0
        self.totals: Counter[str] = Counter()

    def count(self, reason: str) -> None:
        """Count one refused packet."""
        self._counts[reason] += 1

    def flush(self, metrics: Any, now: float) -> None:
        """Add the counts to the metrics; log them at most once per interval."""
        for reason, amount in self._counts.items():
            metrics.add(
                "ibisshunt_packets_refused_total",
                amount,
                role=self._role,
                reason=reason,
            )
        self.totals += self._counts
        self._unlogged += self._counts
        self._counts.clear()
        if not self._unlogged or now < self._log_deadline:
            return
        self._log_deadline = now + LOG_INTERVAL_SECONDS
        for reason, amount in self._unlogged.items():
            warn_event("packets_refused", role=self._role, reason=reason, count=amount)
        self._unlogged.clear()
