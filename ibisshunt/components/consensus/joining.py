"""Bring a host without a cluster into one: found it, or ask to be admitted."""

import secrets
from collections.abc import Callable, Mapping

import gevent

from ...coordination.consensus import Found, Member, Membership
from ...coordination.consensus.membership import name_of
from ...coordination.consensus.state import Event
from ...exceptions import RpcError
from ...helpers.logging import log_event
from ...model.address import Address, parse_address
from ...protocol.caller import Caller
from ...protocol.consensus import HELLO, HelloReply, HelloRequest

HELLO_TIMEOUT_SECONDS = 1.0
HELLO_PAUSE_SECONDS = 0.3
DONE_PAUSE_SECONDS = 0.5
CLUSTER_ID_BYTES = 8


class Joiner:
    """Own the connections over which a new host introduces itself."""

    def __init__(
        self,
        name: str,
        host: str,
        address: Address,
        peers: Mapping[str, Address],
        make_channel: Callable[[Address], Caller],
        find_cluster: Callable[[], str],
        give: Callable[[Event], bool],
        may_found: bool = True,
    ) -> None:
        self._name = name
        self._host = host
        self._address = address
        self._peers = peers
        self._make_channel = make_channel
        self._find_cluster = find_cluster
        self._give = give
        self._may_found = may_found
        self._referred: Address | None = None
        # Whom this host has a channel to, by peer or address, and where hosts that
        # answered are reached, by name.
        self._asked: dict[str, Address] = {}
        self._met: dict[str, Address] = {}
        self.names = tuple(sorted({name, *peers}))
        self._told = ""

    def add_peers(self, peers: Mapping[str, Address]) -> None:
        """Ask these hosts too, from the next round on."""
        self._peers = {**self._peers, **peers}

    def find_address(self, name: str) -> Address | None:
        """Return where a host that has answered is reached.

        A leader that the settings do not name sends this host the log before any
        membership is known here; without its address it would hear no answer.
        """
        return self._met.get(name)

    def run(self, is_done: Callable[[], bool]) -> None:
        """Introduce this host to all peers until it is a member."""
        channels: dict[str, Caller] = {}
        try:
            while True:
                if is_done():
                    gevent.sleep(DONE_PAUSE_SECONDS)
                    continue
                for name, address in self._peers.items():
                    self._open(channels, name, address)
                self._follow_referral(channels)
                replies = self._greet(channels)
                self._tell(replies)
                if event := self._decide(replies):
                    log_event("cluster_founded", cluster=event.cluster, host=self._host)
                    self._give(event)
                gevent.sleep(HELLO_PAUSE_SECONDS)
        finally:
            for channel in channels.values():
                channel.close()

    def _follow_referral(self, channels: dict[str, Caller]) -> None:
        """Ask the leader too, which the settings need not name."""
        address = self._referred
        if address is None or address in (self._address, *self._peers.values()):
            return
        self._open(channels, str(address), address)

    def _open(self, channels: dict[str, Caller], name: str, address: Address) -> None:
        if name not in channels:
            channels[name] = self._make_channel(address)
            self._asked[name] = address

    def _greet(self, channels: Mapping[str, Caller]) -> dict[str, HelloReply]:
        request = HelloRequest(
            self._host, str(self._address), self._find_cluster(), self.names
        )
        replies: dict[str, HelloReply] = {}
        for name, channel in channels.items():
            try:
                replies[name] = channel.call(HELLO, request, HELLO_TIMEOUT_SECONDS)
            except RpcError:
                continue
            self._met[name_of(replies[name].host)] = self._asked[name]
            if replies[name].leader:
                found = parse_address(replies[name].leader)
                self._referred = found.value_or(self._referred)
        return replies

    def _tell(self, replies: Mapping[str, HelloReply]) -> None:
        """Log once what this host waits for."""
        silent = ",".join(sorted(set(self._peers) - set(replies)))
        members = sorted(name for name, reply in replies.items() if reply.cluster)
        others = sorted(
            name for name, reply in replies.items() if reply.names != self.names
        )
        told = f"{silent}|{members}|{others}"
        if told == self._told:
            return
        self._told = told
        log_event(
            "waiting_for_cluster",
            host=self._host,
            silent=silent or "-",
            members=",".join(members) or "-",
            other_peer_settings=",".join(others) or "-",
        )

    def _decide(self, replies: Mapping[str, HelloReply]) -> Found | None:
        """Found a cluster only when every host is there and none has ever had one.

        A host that cannot be asked may hold accepted records: to found without it
        would start a second history beside the first. The lowest name founds, so that
        only one does.
        """
        if not self._may_found:
            return None
        if self._find_cluster() or self._name != self.names[0]:
            return None
        if not set(replies) >= set(self._peers):
            return None
        if any(
            reply.cluster or reply.names != self.names for reply in replies.values()
        ):
            return None
        members = [Member(self._host, str(self._address), voter=True)]
        for name, reply in sorted(replies.items()):
            members.append(Member(reply.host, str(self._peers[name]), voter=True))
        cluster = secrets.token_hex(CLUSTER_ID_BYTES)
        return Found(cluster, Membership(tuple(members)))
