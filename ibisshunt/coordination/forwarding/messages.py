"""Name what balancers and agents tell each other, and what they ask of their tasks."""

from enum import IntEnum
from typing import Annotated

import msgspec

from .segment import Segment

# Numbers that count something: a message with another one is refused when it is read.
Count = Annotated[int, msgspec.Meta(ge=0)]


class TargetState(IntEnum):
    """Tell what a target's agent says of it.

    ABSENT: the agent has not heard its target since it started, or no longer.
    PAUSED: the agent is restarting; the target and its flows live on. DEAD: the target
    has missed its heartbeats, and its agent knows no flow of it.
    """

    OPEN = 0
    DRAINING = 1
    GONE = 2
    ABSENT = 3
    PAUSED = 4
    DEAD = 5


class Answer(IntEnum):
    """Tell whether a target holds a flow.

    MAYBE: its agent started after it. UNHEARD: its agent has not even heard it since;
    there may be no target at all. KEPT: held, and the target has the packet that it was
    probed with. SILENT: no answer has come; told by who gathers answers.
    """

    HELD = 0
    NOT_HELD = 1
    MAYBE = 2
    UNHEARD = 3
    KEPT = 4
    SILENT = 5


class Reason(IntEnum):
    """Tell why an agent sent a packet back.

    DRAINED: the target's failure domain is drained. COLD: the target is cold and has
    got all the new flows that it may get in this second.
    """

    BOUNCED = 0
    NOT_HELD = 1
    NOT_OPEN = 2
    OTHER_SERVICE = 3
    FULL = 4
    DRAINED = 5
    COLD = 6


# Flows in one message between nodes: what fits a packet of usual size.
FLOWS_PER_MESSAGE = 40
# A load that no target has, in requests.
NO_LIMIT = 1 << 30


class Status(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """Tell balancers about one target.

    ``start`` and ``number`` order the statuses of one address: ``start`` is the
    agent's start by its host's clock, in milliseconds, ``number`` grows. ``active`` are
    the requests at work or waiting and the flows that have just opened. ``service_us``
    is the mean time of service in microseconds, 0 when unknown; ``warm_left`` is in
    milliseconds, counted from the sending; ``version`` is the agent's configuration.
    ``failing`` is which share of the last requests failed, in percent. ``incarnation``
    is the tag of the target's incarnation, 0 while the agent has not heard it.
    """

    start: Count
    number: Count
    service: str
    state: TargetState
    slots: Annotated[int, msgspec.Meta(ge=1)]
    active: Count
    flows: Count
    service_us: Count
    warm_left: Count
    version: Count
    failing: Count = 0
    incarnation: Count = 0


class Deliver(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """Ask an agent to hand a packet to its target, of the service ``tag``.

    ``limit`` is how many requests may be there for an opening packet to be handed
    over; NO_LIMIT asks the agent to leave it to the target.
    """

    tag: int
    packet: bytes
    limit: Count = NO_LIMIT


class Returned(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Send a packet back to the balancer it came from.

    ``load`` is how many requests are at the target now, ``wait_ms`` for how many
    milliseconds it takes no new flow.
    """

    reason: Reason
    packet: bytes
    load: Count = 0
    wait_ms: Count = 0


class Ask(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Ask an agent whether its target holds a flow, of whatever service.

    ``acknowledgement`` is the caller's: it tells targets apart that both answered one
    opening packet.
    """

    key: bytes
    acknowledgement: int


class Probe(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """Hand a packet to a target of the service ``tag`` to learn whether it holds it.

    The answer is Told, as to Ask: not held when the target sent the packet back, which
    itself need not come back, since the balancer keeps it; held when the target
    answered the caller. A target that takes a packet may also answer nothing for a
    while.
    """

    tag: int
    packet: bytes


class Relay(msgspec.Struct, frozen=True, array_like=True, tag="y"):
    """Ask an agent to send a question on to other agents and to gather the answers.

    Entry hosts have thin links and agents have not: one copy leaves the balancer, and
    one answer comes back, instead of one for each agent. ``to`` holds the addresses,
    four bytes each; ``number`` names the round to the balancer.
    """

    to: bytes
    question: Ask | Probe
    number: int


class OnBehalf(msgspec.Struct, frozen=True, array_like=True, tag="z"):
    """Bring a relayed question; the answer goes to the agent that brought it."""

    question: Ask | Probe


class Gathered(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """Bring what the agents of a round answered about a flow.

    ``told`` gives, for an answer, the addresses of those that gave it, four bytes
    each; all others of the round ``number`` gave the answer ``rest``.
    """

    key: bytes
    number: int
    rest: Answer
    told: tuple[tuple[Answer, bytes], ...] = ()


class Told(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """Answer OnBehalf."""

    key: bytes
    answer: Answer


class Seek(msgspec.Struct, frozen=True, array_like=True, tag="k"):
    """Ask a balancer of the same failure domain where a flow is."""

    key: bytes


class Known(msgspec.Struct, frozen=True, array_like=True, tag="o"):
    """Tell a balancer where flows are: keys, and the addresses of their targets."""

    flows: tuple[tuple[bytes, str], ...]


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Ask an agent for a Pong of the same number, to learn whether it is there."""

    number: int


class Pong(msgspec.Struct, frozen=True, array_like=True, tag="u"):
    """Answer Ping."""

    number: int


class Noted(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """Bring a control host a balancer's flow entries, for the balancer's next run."""

    entries: bytes


class Recall(msgspec.Struct, frozen=True, array_like=True, tag="e"):
    """Ask a control host for what the sender's former run noted, from ``first`` on."""

    first: Count


class Recalled(msgspec.Struct, frozen=True, array_like=True, tag="m"):
    """Answer Recall with the entries from ``first`` on, of ``total``."""

    first: Count
    total: Count
    entries: bytes


class Reset(msgspec.Struct, frozen=True):
    """Ask the task to reset the flow of a caller's segment."""

    segment: Segment
    reason: str


class Send(msgspec.Struct, frozen=True):
    """Ask the task to send a message to the node at ``peer``, an IPv4 address."""

    peer: str
    message: Deliver | Returned | Relay | Told | Gathered | Status | Seek | Known | Ping


class ToTarget(msgspec.Struct, frozen=True):
    """Ask the task to hand a packet to the target, marked with its origin."""

    origin: str
    segment: Segment


class ToCaller(msgspec.Struct, frozen=True):
    """Ask the task to send a packet to the caller."""

    segment: Segment
