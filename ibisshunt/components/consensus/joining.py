"""Join a host to a cluster: bootstrap a new one or ask to be added as a member."""

import secrets
from collections.abc import Callable, Mapping

import gevent

from ...coordination.consensus import BootstrapCluster, Member, Membership
from ...coordination.consensus.membership import get_host_name
from ...coordination.consensus.state import Event
from ...exceptions import RpcError
from ...helpers.logging import log_event
from ...model.address import Address, parse_address
from ...protocol.channel import RpcChannel
from ...protocol.consensus import HELLO, HelloReply, HelloRequest

HELLO_TIMEOUT_SECONDS = 1.0
HELLO_INTERVAL_SECONDS = 0.3
JOINED_CHECK_SECONDS = 0.5
CLUSTER_ID_BYTES = 8


class ClusterJoiner:
    """Join this host to a cluster by hello requests to its peers.

    ``get_cluster_id`` returns "" while the host has no cluster; ``submit`` queues an
    event for the event loop.
    """

    def __init__(
        self,
        name: str,
        host: str,
        address: Address,
        peers: Mapping[str, Address],
        make_channel: Callable[[Address], RpcChannel],
        get_cluster_id: Callable[[], str],
        submit: Callable[[Event], bool],
        may_bootstrap: bool = True,
    ) -> None:
        self._name = name
        self._host = host
        self._address = address
        self._peers = peers
        self._make_channel = make_channel
        self._get_cluster_id = get_cluster_id
        self._submit = submit
        self._may_bootstrap = may_bootstrap
        self._leader_address: Address | None = None
        # Addresses of the open channels, by peer name or address.
        self._channel_addresses: dict[str, Address] = {}
        # Addresses of the hosts that have answered, by host name.
        self._known_addresses: dict[str, Address] = {}
        self.configured_names = tuple(sorted({name, *peers}))
        self._logged_wait = ""

    def add_peers(self, peers: Mapping[str, Address]) -> None:
        """Send hello requests to these hosts too, from the next round on."""
        self._peers = {**self._peers, **peers}

    def find_address(self, name: str) -> Address | None:
        """Return the address of a host that has answered, or None.

        A leader that is not in the settings replicates to this host before the
        membership is known here; without its address no reply could reach it.
        """
        return self._known_addresses.get(name)

    def run(self, has_joined: Callable[[], bool]) -> None:
        """Send hello requests to all peers until this host is a member."""
        channels: dict[str, RpcChannel] = {}
        try:
            while True:
                if has_joined():
                    gevent.sleep(JOINED_CHECK_SECONDS)
                    continue
                for name, address in self._peers.items():
                    self._open_channel(channels, name, address)
                self._open_leader_channel(channels)
                replies = self._send_hellos(channels)
                self._log_wait(replies)
                if event := self._plan_bootstrap(replies):
                    log_event("cluster_founded", cluster=event.cluster, host=self._host)
                    self._submit(event)
                gevent.sleep(HELLO_INTERVAL_SECONDS)
        finally:
            for channel in channels.values():
                channel.close()

    def _open_leader_channel(self, channels: dict[str, RpcChannel]) -> None:
        """Open a channel to the leader, which may not be in the settings."""
        address = self._leader_address
        if address is None or address in (self._address, *self._peers.values()):
            return
        self._open_channel(channels, str(address), address)

    def _open_channel(
        self, channels: dict[str, RpcChannel], name: str, address: Address
    ) -> None:
        if name not in channels:
            channels[name] = self._make_channel(address)
            self._channel_addresses[name] = address

    def _send_hellos(self, channels: Mapping[str, RpcChannel]) -> dict[str, HelloReply]:
        request = HelloRequest(
            self._host,
            str(self._address),
            self._get_cluster_id(),
            self.configured_names,
        )
        replies: dict[str, HelloReply] = {}
        for name, channel in channels.items():
            try:
                replies[name] = channel.call(HELLO, request, HELLO_TIMEOUT_SECONDS)
            except RpcError:
                continue
            self._known_addresses[get_host_name(replies[name].host)] = (
                self._channel_addresses[name]
            )
            if replies[name].leader:
                leader_address = parse_address(replies[name].leader)
                self._leader_address = leader_address.value_or(self._leader_address)
        return replies

    def _log_wait(self, replies: Mapping[str, HelloReply]) -> None:
        """Log which hosts this one waits for, if that has changed."""
        silent = ",".join(sorted(set(self._peers) - set(replies)))
        members = sorted(name for name, reply in replies.items() if reply.cluster)
        differing = sorted(
            name
            for name, reply in replies.items()
            if reply.names != self.configured_names
        )
        wait_state = f"{silent}|{members}|{differing}"
        if wait_state == self._logged_wait:
            return
        self._logged_wait = wait_state
        log_event(
            "waiting_for_cluster",
            host=self._host,
            silent=silent or "-",
            members=",".join(members) or "-",
            other_peer_settings=",".join(differing) or "-",
        )

    def _plan_bootstrap(
        self, replies: Mapping[str, HelloReply]
    ) -> BootstrapCluster | None:
        """Return a bootstrap event if every host answered and none has a cluster.

        An unreachable host may hold committed entries: bootstrapping without it would
        start a second, diverging log. Only the host with the lowest name bootstraps,
        so that two hosts never do.
        """
        if not self._may_bootstrap:
            return None
        if self._get_cluster_id() or self._name != self.configured_names[0]:
            return None
        if not set(replies) >= set(self._peers):
            return None
        if any(
            reply.cluster or reply.names != self.configured_names
            for reply in replies.values()
        ):
            return None
        members = [Member(self._host, str(self._address), voter=True)]
        for name, reply in sorted(replies.items()):
            members.append(Member(reply.host, str(self._peers[name]), voter=True))
        cluster = secrets.token_hex(CLUSTER_ID_BYTES)
        return BootstrapCluster(cluster, Membership(tuple(members)))
