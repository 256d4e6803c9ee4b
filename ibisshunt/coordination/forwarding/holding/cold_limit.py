"""Bound the new flows that a cold target gets in any second."""

from collections import deque
from math import floor

# The span in which new flows are counted: a second, and what the packets that an agent
# hands over may come closer together at the target.
WINDOW_SECONDS = 1.1


def compute_quota(rate: float, overage: float, slack: float) -> int | None:
    """Return how many new flows a cold target may get in a second, None for any.

    ``rate`` is what its service allows in a second, 0 for any number; ``overage`` is a
    factor on it and ``slack`` a number of flows on top.
    """
    return floor(rate * overage + slack) if rate > 0 else None


class ColdLimit:
    """Own the times of the new flows that one target got; times are in seconds.

    The agent beside the target sees each of them, whichever balancer sent it. One that
    starts at ``now`` does not know what its former run handed over, and takes the
    quota of the last second for used up.
    """

    def __init__(self, now: float) -> None:
        self._known_at = now + WINDOW_SECONDS
        self._taken: deque[float] = deque()

    def note(self, now: float) -> None:
        """Count a new flow that is handed over, to a warm target too: it may turn."""
        self._forget(now)
        self._taken.append(now)

    def find_wait(self, quota: int | None, now: float) -> float:
        """Return in how many seconds a cold target may get one more, 0.0 for now."""
        if quota is None:
            return 0.0
        if now < self._known_at:
            return self._known_at - now
        if quota < 1:
            return WINDOW_SECONDS
        self._forget(now)
        excess = len(self._taken) - quota
        if excess < 0:
            return 0.0
        return self._taken[excess] + WINDOW_SECONDS - now

    def _forget(self, now: float) -> None:
        while self._taken and now - self._taken[0] >= WINDOW_SECONDS:
            self._taken.popleft()
