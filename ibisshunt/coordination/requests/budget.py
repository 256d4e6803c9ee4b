"""Limit the retries of requests."""

from typing import Final

MAX_SAVED_RETRIES: Final = 10.0


class RetryBudget:
    """Allow retries up to a share of the requests.

    Without a limit every request that an overloaded service refuses would be sent
    again, and the load would multiply. A share of 0.1 limits the extra load to a tenth.
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self._saved_retries = 0.0

    def count_request(self) -> None:
        """Add the share of a retry that a first attempt earns."""
        self._saved_retries = min(MAX_SAVED_RETRIES, self._saved_retries + self.share)

    def take(self) -> bool:
        """Consume one retry; return False if none is left."""
        # Floating-point sums of a share such as 0.1 stay slightly below 1.0.
        if self._saved_retries < 1.0 - 1e-9:
            return False
        self._saved_retries -= 1.0
        return True
