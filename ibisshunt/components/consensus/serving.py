"""Answer the calls of other control hosts."""

from collections.abc import Callable, Mapping
from typing import Any

from returns.pipeline import is_successful

from ...coordination.consensus import Admit, Received
from ...coordination.consensus.membership import find_member, name_of
from ...helpers.logging import warn_event
from ...model.address import parse_address
from ...protocol.consensus import (
    EXCHANGE,
    FORWARD,
    HELLO,
    ExchangeReply,
    ExchangeRequest,
    ForwardReply,
    ForwardRequest,
    HelloReply,
    HelloRequest,
    make_reply,
    unpack,
)
from ...protocol.method import Method
from .driver import NO_TICKET
from .replicated_log import ReplicatedLog


def make_handlers(log: ReplicatedLog) -> Mapping[Method, Callable[..., Any]]:
    """Return the handlers that the host must serve at its rpc address."""

    def exchange(request: ExchangeRequest, context: Any) -> ExchangeReply:
        taken = 0
        for packed in request.envelopes:
            result = unpack(packed)
            if not is_successful(result):
                warn_event("envelope_refused", fault=result.failure())
                continue
            taken += log.give(Received(result.unwrap()))
        return ExchangeReply(taken)

    def forward(request: ForwardRequest, context: Any) -> ForwardReply:
        return make_reply(log.propose_here(request.command, request.timeout))

    def greet(request: HelloRequest, context: Any) -> HelloReply:
        _admit(log, request)
        cluster = log.driver.state.hard.cluster
        leader = log.leader_address()
        where = str(leader) if leader else ""
        return HelloReply(log.driver.host, cluster, log.joiner.names, where)

    return {EXCHANGE: exchange, FORWARD: forward, HELLO: greet}


def _admit(log: ReplicatedLog, request: HelloRequest) -> None:
    """Offer a new host to the leader when the settings know its name."""
    state = log.driver.state
    is_ours = request.cluster in ("", state.hard.cluster)
    if not is_ours or not log.is_leading():
        return
    if find_member(state.log.membership, request.host) is not None:
        return
    is_known = name_of(request.host) in log.joiner.names
    if not is_known and not log.options.admit_unknown:
        warn_event("unknown_host_refused", peer=request.host, address=request.address)
        return
    if is_successful(parse_address(request.address)):
        log.give(Admit(NO_TICKET, request.host, request.address))
