"""Describe one packet of a flow, apart from its format."""

from dataclasses import dataclass

SEQUENCE_SPACE = 1 << 32
# A target's first sequence number and a caller's acknowledgement of the same flow lie
# no further apart than the bytes that a flow carries. Unit: bytes. Source: an answer
# is at most a few hundred kilobytes and a flow at most some hundred answers.
MAX_FLOW_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Segment:
    """Hold the fields of a packet that decisions rest on.

    ``key`` names the flow in both directions: the caller's address and port, then the
    service's. ``raw`` is the packet as it travels.
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

    @property
    def place(self) -> bytes:
        """Return the service's address and port, six bytes."""
        return self.key[6:]


def belongs(first: int, acknowledgement: int) -> bool:
    """Tell whether a caller's acknowledgement fits a target's first number."""
    return (acknowledgement - first) % SEQUENCE_SPACE <= MAX_FLOW_BYTES
