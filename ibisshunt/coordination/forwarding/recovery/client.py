"""Request, after a start, the open flows of the previous run from control hosts."""

from collections.abc import Iterable, Iterator

import msgspec

from ..messages import RecoveryReply, RecoveryRequest
from .archive import WINDOW_MESSAGES
from .checkpoint import ENTRIES_PER_MESSAGE, FlowEntry, unpack_entries

# Delay before a control host that has not answered gets the request again.
RETRY_SECONDS = 0.25
# How long after its start a balancer sends requests.
RECOVERY_SECONDS = 10.0


class _Progress(msgspec.Struct):
    next_entry: int = 0
    next_request_at: float = float("-inf")
    # Index after the last entry that the last request may return.
    requested_until: int = 0
    has_been_seen: bool = False
    is_done: bool = False


class RecoveryClient:
    """Recovery requests of one balancer that starts at ``now``, in seconds."""

    def __init__(self, now: float) -> None:
        self._until = now + RECOVERY_SECONDS
        self._progress: dict[str, _Progress] = {}

    def is_over(self, now: float) -> bool:
        """Return whether the time for requests is over."""
        return now >= self._until

    def make_requests(
        self,
        control_hosts: Iterable[str],
        now: float,
        recently_seen: Iterable[str] = (),
    ) -> Iterator[tuple[str, RecoveryRequest]]:
        """Yield the control hosts and the requests to send to them now.

        A request sent before a control host has restarted is lost. A host in
        ``recently_seen`` for the first time therefore gets one at once, since callers
        of ended flows wait for it.
        """
        for address in recently_seen:
            progress = self._progress.setdefault(address, _Progress())
            if not progress.has_been_seen:
                progress.has_been_seen = True
                progress.next_request_at = float("-inf")
        for address in control_hosts:
            progress = self._progress.setdefault(address, _Progress())
            if progress.is_done or now < progress.next_request_at:
                continue
            progress.next_request_at = now + RETRY_SECONDS
            progress.requested_until = (
                progress.next_entry + WINDOW_MESSAGES * ENTRIES_PER_MESSAGE
            )
            yield address, RecoveryRequest(progress.next_entry)

    def handle_reply(
        self, address: str, message: RecoveryReply, now: float
    ) -> list[FlowEntry]:
        """Handle a reply; return its entries, or none if it was out of order.

        Replies arrive in order except for lost ones, which are requested again.
        """
        progress = self._progress.get(address)
        if (
            progress is None
            or progress.is_done
            or message.offset != progress.next_entry
        ):
            return []
        entries = list(unpack_entries(message.entries))
        progress.next_entry += len(entries)
        progress.is_done = progress.next_entry >= message.total
        is_window_over = progress.next_entry >= progress.requested_until
        progress.next_request_at = now if is_window_over else now + RETRY_SECONDS
        return entries
