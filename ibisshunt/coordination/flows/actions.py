"""Name what an agent may do with a packet."""

from dataclasses import dataclass
from enum import IntEnum

from ...protocol.datagram import Header


class ActionKind(IntEnum):
    """Number what becomes of a packet."""

    DELIVER = 1
    FORWARD = 2
    RESET = 3
    DROP = 4


@dataclass(frozen=True, slots=True)
class Action:
    """Say what to do with a packet.

    ``header`` and ``pair`` are set for FORWARD, ``reason`` for RESET and DROP.
    """

    kind: ActionKind
    reason: str = ""
    header: Header | None = None
    pair: tuple[str, int] = ("", 0)


@dataclass(frozen=True, slots=True)
class Notice:
    """Hold a datagram for another agent."""

    pair: tuple[str, int]
    data: bytes


DELIVER = Action(ActionKind.DELIVER)
