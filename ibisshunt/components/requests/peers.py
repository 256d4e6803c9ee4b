"""Call the other agents of the service over gRPC."""

from collections.abc import Callable, Iterator
from typing import Any, Final

import grpc

from ...coordination.requests.load_sharing import Load, LoadSharing
from ...coordination.requests.messages import (
    Claim,
    ClaimReply,
    ClaimStatus,
    Fetch,
    FetchReply,
    Settle,
)
from ...exceptions import RpcError
from ...helpers.logging import warn_event
from ...model.address import Address
from ...protocol.method import Method
from ...protocol.requests import (
    CLAIM,
    FETCH,
    HAND_OVER,
    PULL,
    SETTLE,
    ClaimCall,
    Envelope,
    FetchCall,
    HandOverRequest,
    PullRequest,
    ResponsePart,
    SettleCall,
)
from ...protocol.rpc import Channel

CALL_TIMEOUT_SECONDS: Final = 0.5
FETCH_TIMEOUT_SECONDS: Final = 5.0


class Peers:
    """Call the other agents and store the loads that they report."""

    def __init__(
        self,
        load_sharing: LoadSharing,
        clock: Callable[[], float],
        report_load: Callable[[], Load],
        credentials: grpc.ChannelCredentials | None,
    ) -> None:
        self._credentials = credentials
        self.incarnation = 0
        self._load_sharing = load_sharing
        self._clock = clock
        self._report_load = report_load
        self._addresses: dict[int, Address] = {}
        self._channels: dict[int, Channel] = {}

    def update_addresses(self, incarnation: int, addresses: dict[int, Address]) -> None:
        """Set the agents that can be called; close channels no longer needed."""
        self.incarnation = incarnation
        for peer in [*self._channels]:
            if addresses.get(peer) != self._addresses.get(peer):
                self._channels.pop(peer).close()
        self._addresses = dict(addresses)
        self._load_sharing.retain(addresses)

    def list_peers(self) -> tuple[int, ...]:
        """Return the incarnations of the agents that can be called."""
        return tuple(peer for peer in self._addresses if peer != self.incarnation)

    def claim(self, replica: int, claim: Claim) -> ClaimReply:
        """Return the replica's reply; UNREACHABLE when the call fails."""
        call = ClaimCall(self._make_envelope(replica), claim)
        reply = self._call(replica, CLAIM, call)
        if reply is None:
            return ClaimReply(ClaimStatus.UNREACHABLE)
        return reply.reply

    def settle(self, replica: int, settle: Settle) -> bool:
        """Report an outcome to a replica; return whether it has confirmed it."""
        call = SettleCall(self._make_envelope(replica), settle)
        return self._call(replica, SETTLE, call) is not None

    def fetch(self, source: int, fetch: Fetch) -> FetchReply | None:
        """Fetch a page of records; return None when the call fails."""
        call = FetchCall(self._make_envelope(source), fetch)
        return self._call(source, FETCH, call, FETCH_TIMEOUT_SECONDS)

    def pull(self, peer: int, idle: bool) -> int:
        """Pull requests from an agent; return how many it forwards to this one."""
        reply = self._call(peer, PULL, PullRequest(self._make_envelope(peer), idle))
        return reply.count if reply is not None else 0

    def forward(
        self, peer: int, make_request: Callable[[Envelope], HandOverRequest]
    ) -> Iterator[ResponsePart]:
        """Forward a request and yield the parts of the response.

        Raise RpcError when the call breaks.
        """
        channel = self._get_channel(peer)
        for part in channel.stream(HAND_OVER, make_request(self._make_envelope(peer))):
            if part.load is not None:
                self._load_sharing.update_load(peer, part.load, self._clock())
            yield part

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def _make_envelope(self, receiver: int) -> Envelope:
        return Envelope(self.incarnation, receiver, self._report_load())

    def _get_channel(self, peer: int) -> Channel:
        if peer not in self._channels:
            self._channels[peer] = Channel(self._addresses[peer], self._credentials)
        return self._channels[peer]

    def _call(
        self,
        peer: int,
        method: Method,
        request: Any,
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> Any:
        if peer not in self._addresses:
            return None
        try:
            reply = self._get_channel(peer).call(method, request, timeout)
        except RpcError as error:
            self._load_sharing.suspend(peer, self._clock())
            warn_event("peer_failed", peer=peer, fault=error.fault)
            return None
        if load := getattr(reply, "load", None):
            self._load_sharing.update_load(peer, load, self._clock())
        return reply
