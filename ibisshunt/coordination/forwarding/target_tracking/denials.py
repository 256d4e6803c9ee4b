"""Record, for the log, why an agent denies flows that it has seen open."""

from enum import StrEnum

from .tracked_flow import TrackedFlow

MAX_DROPPED_FLOWS = 200


class DenialReason(StrEnum):
    """Reason why an agent denies a flow that it has seen open and not closed.

    SEQUENCE_MISMATCH: the caller acknowledges what the target has not sent. BOUNCED:
    the target bounced a packet of the flow. RESET: the target reset it. REPLACED:
    another incarnation has replaced the target. LEFT: the target has sent a leave
    message, or died.
    """

    SEQUENCE_MISMATCH = "other_numbers"
    BOUNCED = "bounced"
    RESET = "reset"
    REPLACED = "replaced"
    LEFT = "left"


class DenialLog:
    """Reasons why the latest open flows of one target were dropped."""

    def __init__(self) -> None:
        self._dropped: dict[bytes, DenialReason] = {}

    def record_dropped(
        self, key: bytes, flow: TrackedFlow, reason: DenialReason
    ) -> None:
        """Record a dropped flow if it was open."""
        if not flow.is_open:
            return
        self._dropped[key] = reason
        if len(self._dropped) > MAX_DROPPED_FLOWS:
            del self._dropped[next(iter(self._dropped))]

    def describe(
        self, key: bytes, flow: TrackedFlow | None, acknowledgement: int
    ) -> dict[str, object] | None:
        """Return the log fields of a denial of ``flow``.

        None when it was never open here. ``acknowledgement`` is the caller's.
        """
        reason = (
            self._dropped.get(key) if flow is None else DenialReason.SEQUENCE_MISMATCH
        )
        if reason is None or (flow is not None and flow.sent_from is None):
            return None
        return {
            "flow": key.hex(),
            "reason": reason,
            "acknowledged": acknowledgement,
            "first": flow.sent_from if flow else "-",
            "last": flow.sent_to if flow else "-",
            "opened_by": flow.syn_sequence if flow else "-",
        }
