"""Remember, for the log, why an agent denies flows that it has seen open."""

from enum import StrEnum

from .held import HeldFlow

MAX_FORGOTTEN = 200


class Denial(StrEnum):
    """Tell why an agent denies a flow that it has seen open and not end.

    OTHER_NUMBERS: the caller acknowledges what the target has not sent in it. BOUNCED:
    the target sent a packet of it back. RESET: the target reset it. REPLACED: another
    incarnation took its target's place. LEFT: its target said its last word, or died.
    """

    OTHER_NUMBERS = "other_numbers"
    BOUNCED = "bounced"
    RESET = "reset"
    REPLACED = "replaced"
    LEFT = "left"


class Denials:
    """Own why flows of one target were forgotten that were open, the newest of them."""

    def __init__(self) -> None:
        self._forgotten: dict[bytes, Denial] = {}

    def note_forgotten(self, key: bytes, flow: HeldFlow, why: Denial) -> None:
        """Note a flow that is forgotten, if it was open."""
        if not flow.is_open:
            return
        self._forgotten[key] = why
        if len(self._forgotten) > MAX_FORGOTTEN:
            del self._forgotten[next(iter(self._forgotten))]

    def describe(
        self, key: bytes, flow: HeldFlow | None, acknowledgement: int
    ) -> dict[str, object] | None:
        """Return the fields of a log line on the denial of ``flow``.

        None for one that was never open here. ``acknowledgement`` is the caller's.
        """
        why = self._forgotten.get(key) if flow is None else Denial.OTHER_NUMBERS
        if why is None or (flow is not None and flow.first is None):
            return None
        return {
            "flow": key.hex(),
            "reason": why,
            "acknowledged": acknowledgement,
            "first": flow.first if flow else "-",
            "last": flow.last if flow else "-",
            "opened_by": flow.opened_by if flow else "-",
        }
