"""Actions of an agent on a packet."""

from dataclasses import dataclass
from enum import IntEnum

from ...protocol.datagram import Header


class ActionKind(IntEnum):
    """Kind of action on a packet."""

    DELIVER = 1
    FORWARD = 2
    RESET = 3
    DROP = 4


@dataclass(frozen=True, slots=True)
class Action:
    """What to do with a packet.

    ``header`` and ``socket_address`` are set for FORWARD, ``reason`` for RESET and
    DROP.
    """

    kind: ActionKind
    reason: str = ""
    header: Header | None = None
    socket_address: tuple[str, int] = ("", 0)


@dataclass(frozen=True, slots=True)
class Notice:
    """A datagram to send to another agent."""

    socket_address: tuple[str, int]
    data: bytes


DELIVER = Action(ActionKind.DELIVER)
