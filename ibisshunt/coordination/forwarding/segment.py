"""Describe one packet of a flow, apart from its format."""

import msgspec

SEQUENCE_SPACE = 1 << 32


class Segment(msgspec.Struct, frozen=True):
    """Hold the fields of a packet that decisions rest on.

    ``key`` names the flow in both directions: the caller's address and port, then the
    service's. ``raw`` is the packet as it travels. ``waited`` is for how many seconds
    the caller had waited when it sent this copy of an opening packet.
    """

    key: bytes
    raw: bytes
    data: bytes
    sequence: int
    acknowledgement: int
    opens: bool = False
    acknowledges: bool = False
    finishes: bool = False
    resets: bool = False
    returned: bool = False
    origin: bytes = b""
    waited: float = 0.0

    @property
    def place(self) -> bytes:
        """Return the service's address and port, six bytes."""
        return self.key[6:]


def lies_between(first: int, number: int, last: int) -> bool:
    """Tell whether a number lies in a span of the sequence space, ends included."""
    return (number - first) % SEQUENCE_SPACE <= (last - first) % SEQUENCE_SPACE


def is_later(number: int, known: int) -> bool:
    """Tell whether a number comes after another, by the shorter way round."""
    return 0 < (number - known) % SEQUENCE_SPACE < SEQUENCE_SPACE // 2
