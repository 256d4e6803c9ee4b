"""Decide whether a request may be sent once more."""

from typing import Final

MOST_SAVED: Final = 10.0


class RetryBudget:
    """Allow retries as a share of the requests.

    Without a bound, each refusal of an overloaded service would be sent again and the
    load would multiply. With a share of 0.1 it grows by a tenth at most.
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self._saved = 0.0

    def count_request(self) -> None:
        """Save a share of a retry for each first try."""
        self._saved = min(MOST_SAVED, self._saved + self.share)

    def take(self) -> bool:
        """Spend one retry; return False when none is left."""
        # Sums of a share such as 0.1 stay a little below a whole.
        if self._saved < 1.0 - 1e-9:
            return False
        self._saved -= 1.0
        return True
