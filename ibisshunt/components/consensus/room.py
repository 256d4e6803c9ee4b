"""Watch the space that is left on the disk of the data folder."""

from collections.abc import Callable

from ...helpers.logging import log_event, warn_event

ROOM_CHECK_SECONDS = 1.0


class Room:
    """Remember whether less than the reserve, in bytes, is left.

    The reserve keeps room for entries that other leaders bring and for a clean stop.
    """

    def __init__(self, count_free: Callable[[], int], reserved_bytes: int) -> None:
        self.is_full = False
        self._count_free = count_free
        self._reserved_bytes = reserved_bytes
        self._deadline = 0.0

    def check(self, now: float) -> bool:
        """Look again when it is time; return whether it was."""
        if now < self._deadline:
            return False
        self._deadline = now + ROOM_CHECK_SECONDS
        free = self._count_free()
        was_full, self.is_full = self.is_full, free < self._reserved_bytes
        if self.is_full and not was_full:
            reserved = self._reserved_bytes
            warn_event("disk_nearly_full", free_bytes=free, reserved_bytes=reserved)
        if was_full and not self.is_full:
            log_event("disk_has_room", free_bytes=free)
        return True
