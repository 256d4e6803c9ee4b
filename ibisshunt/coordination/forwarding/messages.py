"""Define the messages between nodes, and the actions that tasks carry out."""

from enum import IntEnum
from typing import Annotated

import msgspec

from .segment import Segment

# Integers from 0 on: decoding rejects a message with a negative one.
NonNegative = Annotated[int, msgspec.Meta(ge=0)]


class TargetState(IntEnum):
    """State of a target as its agent reports it.

    GONE: the target has sent a leave message, or its agent stops after heartbeats were
    missing. ABSENT: the agent has received no heartbeat since its start, or they have
    stopped. PAUSED: the agent is restarting; the target and its flows go on. DEAD:
    heartbeats are missing, and the agent knows no flow of the target.
    """

    OPEN = 0
    DRAINING = 1
    GONE = 2
    ABSENT = 3
    PAUSED = 4
    DEAD = 5


class Answer(IntEnum):
    """Answer to the question whether a target holds a flow.

    MAYBE: the agent started after its target and may not have seen the flow. UNHEARD:
    the agent has also received no heartbeat since its start; there may be no target.
    KEPT: held, and the target has accepted the packet that it was probed with. SILENT:
    no answer has arrived; set by the agent that aggregates the answers.
    """

    HELD = 0
    NOT_HELD = 1
    MAYBE = 2
    UNHEARD = 3
    KEPT = 4
    SILENT = 5


class RejectReason(IntEnum):
    """Reason why an agent rejected a packet.

    BOUNCED: the target bounced it. NOT_HELD: the target does not hold its flow.
    NOT_OPEN: the target accepts no new flows. OTHER_SERVICE: the target is of another
    service. FULL: too many requests are at the target. DRAINED: the target's failure
    domain is drained. COLD: the target is warming up, and has got all the new flows
    that it may get within this second.
    """

    BOUNCED = 0
    NOT_HELD = 1
    NOT_OPEN = 2
    OTHER_SERVICE = 3
    FULL = 4
    DRAINED = 5
    COLD = 6


# Most flows in one message between nodes, so that it fits a packet of usual size.
FLOWS_PER_MESSAGE = 40
# A number of requests that no target reaches: stands for no limit.
NO_LIMIT = 1 << 30


class Status(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """Report the state of one target to the balancers.

    ``agent_start_ms`` and ``sequence`` order the statuses of one address: the first is
    the agent's start by its host's clock, the second grows while it runs.
    ``active_requests`` counts the requests that the target serves or queues and the
    handshakes in progress, ``flows`` the flows that the agent has seen.
    ``mean_service_us`` is the mean service time, 0 when unknown; ``warmup_left_ms`` the
    rest of the target's warm-up when the status was sent; ``configuration_version``
    that of the agent; ``failure_percent`` how many of the latest requests failed.
    ``incarnation`` is the id of the target's incarnation, 0 while the agent has
    received no heartbeat. Unless it ``is_confirmed``, another incarnation may be
    alive that the agent has not heard yet.
    """

    agent_start_ms: NonNegative
    sequence: NonNegative
    service: str
    state: TargetState
    slots: Annotated[int, msgspec.Meta(ge=1)]
    active_requests: NonNegative
    flows: NonNegative
    mean_service_us: NonNegative
    warmup_left_ms: NonNegative
    configuration_version: NonNegative
    failure_percent: NonNegative = 0
    incarnation: NonNegative = 0
    is_confirmed: bool = True


class Deliver(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """Ask an agent to deliver a packet to its target, of the service ``service_tag``.

    ``max_requests`` is how many requests may be at the target for a SYN to be
    delivered; with NO_LIMIT the target itself decides.
    """

    service_tag: int
    packet: bytes
    max_requests: NonNegative = NO_LIMIT


class RejectedPacket(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Return an undelivered packet to its balancer.

    ``active_requests`` is how many requests are at the target now, ``retry_after_ms``
    for how many milliseconds it accepts no new flow.
    """

    reason: RejectReason
    packet: bytes
    active_requests: NonNegative = 0
    retry_after_ms: NonNegative = 0


class FlowQuery(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Ask an agent whether its target, of any service, holds a flow.

    ``acknowledgement`` is the caller's acknowledgement number. It tells targets apart
    that have both answered a SYN of this flow.
    """

    key: bytes
    acknowledgement: int


class Probe(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """Deliver a packet to a target of ``service_tag`` to see if it holds the flow.

    The answer is FlowAnswer, as to FlowQuery: not held when the target bounces the
    packet, which need not be returned because the balancer keeps it; held when the
    target answers the caller. A target that accepts a packet may also send nothing for
    a while.
    """

    service_tag: int
    packet: bytes


class RelayRequest(msgspec.Struct, frozen=True, array_like=True, tag="y"):
    """Ask an agent to relay a query to other agents and to aggregate their answers.

    Hosts of balancers have links of low bandwidth, those of agents do not: only one
    copy leaves the balancer and one answer returns, instead of one for each agent.
    ``agents`` holds their addresses, four bytes each; ``round_id`` identifies the round
    to the balancer.
    """

    agents: bytes
    query: FlowQuery | Probe
    round_id: int


class RelayedQuery(msgspec.Struct, frozen=True, array_like=True, tag="z"):
    """Relay a query to an agent; the answer returns to the relaying agent."""

    query: FlowQuery | Probe


class AggregatedAnswers(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """Report to a balancer what the agents of a round answered about a flow.

    ``overrides`` lists answers with the addresses of the agents that gave them, four
    bytes each; all other agents of the round gave ``default_answer``.
    """

    key: bytes
    round_id: int
    default_answer: Answer
    overrides: tuple[tuple[Answer, bytes], ...] = ()


class FlowAnswer(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """Answer a relayed query."""

    key: bytes
    answer: Answer


class LocationQuery(msgspec.Struct, frozen=True, array_like=True, tag="k"):
    """Ask a balancer of the same failure domain which target holds a flow."""

    key: bytes


class FlowLocations(msgspec.Struct, frozen=True, array_like=True, tag="o"):
    """Inform a balancer which targets hold flows, by flow key and target address."""

    flows: tuple[tuple[bytes, str], ...]


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Ask an agent for a Pong of the same sequence, to detect its failure."""

    sequence: int


class Pong(msgspec.Struct, frozen=True, array_like=True, tag="u"):
    """Answer Ping."""

    sequence: int


class CheckpointEntries(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """Store a balancer's checkpoint at a control host, for the balancer's next run."""

    entries: bytes


class RecoveryRequest(msgspec.Struct, frozen=True, array_like=True, tag="e"):
    """Ask a control host for the sender's checkpoint, from entry ``offset`` on."""

    offset: NonNegative


class RecoveryReply(msgspec.Struct, frozen=True, array_like=True, tag="m"):
    """Return the checkpoint entries from ``offset`` on, of ``total``."""

    offset: NonNegative
    total: NonNegative
    entries: bytes


class ResetFlow(msgspec.Struct, frozen=True):
    """Action: reset the flow of a caller's segment."""

    segment: Segment
    reason: str


class SendMessage(msgspec.Struct, frozen=True):
    """Action: send a message to the node at ``peer``, an IPv4 address."""

    peer: str
    message: (
        Deliver
        | RejectedPacket
        | RelayRequest
        | FlowAnswer
        | AggregatedAnswers
        | Status
        | LocationQuery
        | FlowLocations
        | Ping
    )


class SendToTarget(msgspec.Struct, frozen=True):
    """Action: send a packet to the target, marked with its balancer's address."""

    balancer: str
    segment: Segment


class SendToCaller(msgspec.Struct, frozen=True):
    """Action: send a packet to the caller."""

    segment: Segment
