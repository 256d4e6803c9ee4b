"""Limit the new flows that a target gets in any second while it warms up."""

from collections import deque
from math import floor

# The window in which new flows are counted: one second, plus the time by which packets
# that an agent delivers may get closer together on their way to the target.
WINDOW_SECONDS = 1.1


def compute_quota(rate: float, overage: float, slack: float) -> int | None:
    """Return how many new flows a target that warms up may get in a second.

    ``rate`` is its service's limit per second, 0 for none; ``overage`` is a factor on
    it and ``slack`` a number of extra flows. None stands for no limit.
    """
    return floor(rate * overage + slack) if rate > 0 else None


class WarmupLimiter:
    """Rate limiter for the new flows of one target; times are in seconds.

    The agent sees every new flow of its target, whichever balancer sent it. An agent
    that starts at ``now`` does not know what it delivered before its restart, and
    treats the quota of the last second as used up.
    """

    def __init__(self, now: float) -> None:
        self._window_known_at = now + WINDOW_SECONDS
        self._delivered_at: deque[float] = deque()

    def record(self, now: float) -> None:
        """Count a new flow; also of a warm target, which may start to warm up again."""
        self._expire(now)
        self._delivered_at.append(now)

    def compute_wait(self, quota: int | None, now: float) -> float:
        """Return after how many seconds the target may get a new flow, 0.0 for now."""
        if quota is None:
            return 0.0
        if now < self._window_known_at:
            return self._window_known_at - now
        if quota < 1:
            return WINDOW_SECONDS
        self._expire(now)
        excess = len(self._delivered_at) - quota
        if excess < 0:
            return 0.0
        return self._delivered_at[excess] + WINDOW_SECONDS - now

    def _expire(self, now: float) -> None:
        while self._delivered_at and now - self._delivered_at[0] >= WINDOW_SECONDS:
            self._delivered_at.popleft()
