"""Save the flows of a balancer on control hosts, and recover them after a start."""

from collections.abc import Callable
from zlib import crc32

import gevent

from ...coordination.forwarding.balancer import Balancer
from ...coordination.forwarding.messages import CheckpointEntries, RecoveryReply
from ...coordination.forwarding.recovery.client import RecoveryClient
from ...helpers.clock import read_monotonic_clock
from ...helpers.logging import log_event
from ..directory.internal_socket import InternalSocket

# Interval at which entries are sent; flows opened after the last sending are unknown
# after an outage.
SEND_SECONDS = 0.25
# Interval of checks for control hosts that have not sent all recovered flows.
REQUEST_CHECK_SECONDS = 0.02


class CheckpointTask:
    """Exchange one balancer's checkpoint entries with control hosts.

    ``list_control_hosts`` returns the control hosts to request from,
    ``list_recent_control_hosts`` those that replied lately. Entries are stored by one
    control host more than ``tolerated_disk_losses``, the disks that may be lost
    together with all power.
    """

    def __init__(
        self,
        address: str,
        balancer: Balancer,
        internal_socket: InternalSocket,
        list_control_hosts: Callable[[], list[str]],
        list_recent_control_hosts: Callable[[], list[str]],
        tolerated_disk_losses: int,
    ) -> None:
        self._address = address
        self._balancer = balancer
        self._internal_socket = internal_socket
        self._list_control_hosts = list_control_hosts
        self._list_recent_control_hosts = list_recent_control_hosts
        self._replica_count = tolerated_disk_losses + 1
        self._recovery_client = RecoveryClient(read_monotonic_clock())
        internal_socket.register_handler(RecoveryReply, self._handle_recovery_reply)

    def run_sending(self) -> None:
        """Send entries until killed."""
        while True:
            gevent.sleep(SEND_SECONDS)
            self.send()

    def send(self) -> None:
        """Send all entries that are not sent yet."""
        self._balancer.state.checkpoint_due_flows(read_monotonic_clock())
        replicas = self._choose_replicas()
        while replicas and (entries := self._balancer.state.checkpoint.pop_batch()):
            self._internal_socket.send_all(replicas, CheckpointEntries(entries))

    def run_recovery(self) -> None:
        """Request the flows of the previous run until recovery is over."""
        while not self._recovery_client.is_over(read_monotonic_clock()):
            self.request_flows()
            gevent.sleep(REQUEST_CHECK_SECONDS)

    def request_flows(self) -> None:
        """Send requests to the control hosts that have not sent all entries."""
        requests = self._recovery_client.make_requests(
            self._list_control_hosts(),
            read_monotonic_clock(),
            self._list_recent_control_hosts(),
        )
        for peer, request in requests:
            self._internal_socket.send(peer, request)

    def _choose_replicas(self) -> list[str]:
        """Return this balancer's control hosts, spread by a hash over all balancers."""
        control_hosts = self._list_recent_control_hosts()
        balancer_address = self._address.encode()
        control_hosts.sort(key=lambda host: crc32(balancer_address + host.encode()))
        return control_hosts[: self._replica_count]

    def _handle_recovery_reply(self, peer: str, message: RecoveryReply) -> None:
        now = read_monotonic_clock()
        entries = self._recovery_client.handle_reply(peer, message, now)
        if not entries:
            return
        self._balancer.recover_flows(entries, now)
        if message.offset + len(entries) >= message.total:
            log_event("flows_recalled", peer=peer, flows=message.total)
        self.request_flows()
