"""Monitor the free space on the disk of the data folder."""

from collections.abc import Callable

from ...helpers.logging import log_event, warn_event

CHECK_INTERVAL_SECONDS = 1.0


class DiskSpaceMonitor:
    """Track whether the free disk space is below the reserve, in bytes.

    The reserve leaves space for entries replicated by other leaders and for a clean
    stop.
    """

    def __init__(
        self, count_free_bytes: Callable[[], int], reserved_bytes: int
    ) -> None:
        self.is_low = False
        self._count_free_bytes = count_free_bytes
        self._reserved_bytes = reserved_bytes
        self._deadline = 0.0

    def refresh(self, now: float) -> bool:
        """Check the disk if the interval has passed; return whether it was checked."""
        if now < self._deadline:
            return False
        self._deadline = now + CHECK_INTERVAL_SECONDS
        free_bytes = self._count_free_bytes()
        was_low, self.is_low = self.is_low, free_bytes < self._reserved_bytes
        if self.is_low and not was_low:
            reserved_bytes = self._reserved_bytes
            warn_event(
                "disk_nearly_full", free_bytes=free_bytes, reserved_bytes=reserved_bytes
            )
        if was_low and not self.is_low:
            log_event("disk_has_room", free_bytes=free_bytes)
        return True
