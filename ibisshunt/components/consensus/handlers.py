"""Handle the RPC calls of other control hosts."""

from collections.abc import Callable, Mapping
from typing import Any

from returns.pipeline import is_successful

from ...coordination.consensus import AddLearner, Received
from ...coordination.consensus.membership import find_member, get_host_name
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
from .driver import NO_REQUEST_ID
from .replicated_log import ReplicatedLog


def make_handlers(log: ReplicatedLog) -> Mapping[Method, Callable[..., Any]]:
    """Return the handlers that this host must serve at its RPC address."""

    def exchange(request: ExchangeRequest, context: Any) -> ExchangeReply:
        accepted = 0
        for packed in request.envelopes:
            result = unpack(packed)
            if not is_successful(result):
                warn_event("envelope_refused", fault=result.failure())
                continue
            accepted += log.submit(Received(result.unwrap()))
        return ExchangeReply(accepted)

    def forward(request: ForwardRequest, context: Any) -> ForwardReply:
        return make_reply(log.propose_locally(request.command, request.timeout))

    def hello(request: HelloRequest, context: Any) -> HelloReply:
        _offer_admission(log, request)
        cluster = log.driver.state.hard_state.cluster
        leader = log.find_leader_address()
        leader_address = str(leader) if leader else ""
        return HelloReply(
            log.driver.host, cluster, log.joiner.configured_names, leader_address
        )

    return {EXCHANGE: exchange, FORWARD: forward, HELLO: hello}


def _offer_admission(log: ReplicatedLog, request: HelloRequest) -> None:
    """Ask the consensus state to add a new host if this host is the leader.

    The host must be listed in the settings unless unlisted hosts are admitted.
    """
    state = log.driver.state
    is_same_cluster = request.cluster in ("", state.hard_state.cluster)
    if not is_same_cluster or not log.is_leading():
        return
    if find_member(state.log.membership, request.host) is not None:
        return
    is_listed = get_host_name(request.host) in log.joiner.configured_names
    if not is_listed and not log.options.admit_unlisted_hosts:
        warn_event("unknown_host_refused", peer=request.host, address=request.address)
        return
    if is_successful(parse_address(request.address)):
        log.submit(AddLearner(NO_REQUEST_ID, request.host, request.address))
