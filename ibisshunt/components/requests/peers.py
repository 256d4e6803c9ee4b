"""Call the other agents of the service."""

from collections.abc import Callable, Iterator
from typing import Any, Final

import grpc

from ...coordination.requests.outcomes import (
    Claim,
    ClaimReply,
    Copy,
    Fetch,
    Settle,
    Verdict,
)
from ...coordination.requests.sharing import Load, Sharing
from ...exceptions import RpcError
from ...helpers.logging import warn_event
from ...model.address import Address
from ...protocol.method import Method
from ...protocol.requests import (
    CLAIM,
    FETCH,
    HAND,
    PULL,
    SETTLE,
    ClaimCall,
    Envelope,
    FetchCall,
    HandRequest,
    Part,
    PullRequest,
    SettleCall,
)
from ...protocol.rpc import Channel

CALL_SECONDS: Final = 0.5
FETCH_SECONDS: Final = 5.0


class Peers:
    """Own the channels to the other agents; note the loads that they tell."""

    def __init__(
        self,
        sharing: Sharing,
        clock: Callable[[], float],
        load: Callable[[], Load],
        credentials: grpc.ChannelCredentials | None,
    ) -> None:
        self._credentials = credentials
        self.incarnation = 0
        self._sharing = sharing
        self._clock = clock
        self._load = load
        self._addresses: dict[int, Address] = {}
        self._channels: dict[int, Channel] = {}

    def follow(self, incarnation: int, addresses: dict[int, Address]) -> None:
        """Note who can be called; close channels that are no longer needed."""
        self.incarnation = incarnation
        for one in [*self._channels]:
            if addresses.get(one) != self._addresses.get(one):
                self._channels.pop(one).close()
        self._addresses = dict(addresses)
        self._sharing.keep_only(addresses)

    def list_known(self) -> tuple[int, ...]:
        """Return the incarnations that can be called."""
        return tuple(one for one in self._addresses if one != self.incarnation)

    def claim(self, holder: int, claim: Claim) -> ClaimReply:
        """Return the holder's reply; a holder that can't be reached says so."""
        call = ClaimCall(self._wrap(holder), claim)
        answer = self._call(holder, CLAIM, call)
        if answer is None:
            return ClaimReply(Verdict.UNREACHABLE)
        return answer.reply

    def settle(self, holder: int, settle: Settle) -> bool:
        """Tell an outcome; return whether the holder confirmed it."""
        call = SettleCall(self._wrap(holder), settle)
        return self._call(holder, SETTLE, call) is not None

    def fetch(self, source: int, fetch: Fetch) -> Copy | None:
        """Return a page of records, or None when the agent can't be reached."""
        call = FetchCall(self._wrap(source), fetch)
        return self._call(source, FETCH, call, FETCH_SECONDS)

    def pull(self, peer: int, idle: bool) -> int:
        """Tell the own load and return how many requests are being handed over."""
        answer = self._call(peer, PULL, PullRequest(self._wrap(peer), idle))
        return answer.count if answer is not None else 0

    def hand(
        self, peer: int, make: Callable[[Envelope], HandRequest]
    ) -> Iterator[Part]:
        """Yield the parts of the answer; raise RpcError when the call breaks."""
        channel = self._find(peer)
        for part in channel.stream(HAND, make(self._wrap(peer))):
            if part.load is not None:
                self._sharing.hear(peer, part.load, self._clock())
            yield part

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def _wrap(self, receiver: int) -> Envelope:
        return Envelope(self.incarnation, receiver, self._load())

    def _find(self, peer: int) -> Channel:
        if peer not in self._channels:
            self._channels[peer] = Channel(self._addresses[peer], self._credentials)
        return self._channels[peer]

    def _call(
        self, peer: int, method: Method, request: Any, timeout: float = CALL_SECONDS
    ) -> Any:
        if peer not in self._addresses:
            return None
        try:
            answer = self._find(peer).call(method, request, timeout)
        except RpcError as error:
            self._sharing.set_aside(peer, self._clock())
            warn_event("peer_failed", peer=peer, fault=error.fault)
            return None
        if load := getattr(answer, "load", None):
            self._sharing.hear(peer, load, self._clock())
        return answer
