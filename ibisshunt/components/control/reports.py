"""Collect which revision is active on each node and report it to operators."""

import time
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any, Final

import gevent
import grpc

from ...exceptions import RpcError
from ...helpers.logging import warn_event
from ...helpers.tls import make_channel_credentials
from ...model.address import Address
from ...protocol.messages import (
    STATUS,
    NodeStatus,
    ReportReply,
    ReportRequest,
    StatusReply,
    StatusRequest,
    TargetStatus,
)
from ...protocol.rpc import Channel
from .host import ControlHost
from .leases import LeaseHandler

PEER_TIMEOUT_SECONDS: Final = 1.0
# Nodes silent for this long are forgotten; a restarted node reports under a new name.
REPORT_RETENTION_SECONDS: Final = 600.0


@dataclass(frozen=True, slots=True)
class Report:
    """Last report of a node; ``received_at`` is in monotonic seconds."""

    role: str
    revision: int
    received_at: float


class ReportHandler:
    """Store the reports of the nodes that watch this host, and answer status calls.

    Each host keeps the reports of its own nodes and queries the other hosts when an
    operator asks for the status, so that the load of reports is spread.
    """

    def __init__(self, host: ControlHost, leases: LeaseHandler) -> None:
        self.reports: dict[str, Report] = {}
        self._host = host
        self._leases = leases

    def record_report(self, request: ReportRequest, context: Any) -> ReportReply:
        """Record the revision that is active on a node."""
        report = Report(request.role, request.revision, time.monotonic())
        self.reports[request.node] = report
        return ReportReply(self._host.state.store.revision)

    def get_status(self, request: StatusRequest, context: Any) -> StatusReply:
        """Return the status of the cluster, or of this host only."""
        local_status = self._make_local_status()
        if request.local or not self._host.settings.peers:
            return local_status
        credentials = make_channel_credentials(self._host.settings.tls)
        calls = {
            name: gevent.spawn(fetch_status, address, credentials)
            for name, address in self._host.settings.peers.items()
        }
        gevent.joinall(list(calls.values()))
        replies = {name: call.value for name, call in calls.items()}
        return merge_status(local_status, self._host.log.get_leader_name(), replies)

    def _make_local_status(self) -> StatusReply:
        store = self._host.state.store
        return StatusReply(
            revision=store.revision,
            leader=self._host.log.get_leader_name(),
            services=tuple(
                f"{slice_.service.business}/{slice_.service.name}"
                for slice_ in store.slices.values()
            ),
            targets=tuple(
                TargetStatus(
                    f"{slice_.service.business}/{slice_.service.name}",
                    target.name,
                    self._leases.get_state_text(target),
                    target.incarnation,
                    self._leases.count_flows(target.incarnation),
                )
                for slice_ in store.slices.values()
                for target in slice_.targets
            ),
            nodes=self._list_nodes(),
            evacuated=tuple(sorted(store.list_evacuated_domains())),
        )

    def _list_nodes(self) -> tuple[NodeStatus, ...]:
        now = time.monotonic()
        for node, report in list(self.reports.items()):
            if now - report.received_at > REPORT_RETENTION_SECONDS:
                del self.reports[node]
        return tuple(
            NodeStatus(node, report.role, report.revision, now - report.received_at)
            for node, report in sorted(self.reports.items())
        )


def fetch_status(
    address: Address, credentials: grpc.ChannelCredentials | None
) -> StatusReply | None:
    """Return the local status of one peer, or None if it does not answer."""
    channel = Channel(address, credentials)
    try:
        request = StatusRequest(local=True)
        return channel.call(STATUS, request, timeout=PEER_TIMEOUT_SECONDS)
    except RpcError as error:
        warn_event("status_failed", fault=error.fault)
        return None
    finally:
        channel.close()


def merge_status(
    local_status: StatusReply, leader: str, replies: dict[str, StatusReply | None]
) -> StatusReply:
    """Return one status with the leader's targets and the latest report per node."""
    peer_statuses = [reply for reply in replies.values() if reply is not None]
    leader_status = replies.get(leader) or local_status
    newest = max([local_status, *peer_statuses], key=lambda reply: reply.revision)
    return replace(
        newest,
        leader=leader,
        targets=leader_status.targets,
        nodes=_select_latest(
            node for reply in (local_status, *peer_statuses) for node in reply.nodes
        ),
        unreachable=tuple(name for name, reply in replies.items() if reply is None),
    )


def _select_latest(nodes: Iterable[NodeStatus]) -> tuple[NodeStatus, ...]:
    """Return the latest status per node.

    After a node has switched to another control host, the previous one keeps an
    outdated report of it.
    """
    latest: dict[str, NodeStatus] = {}
    for node in nodes:
        current = latest.get(node.node)
        if current is None or node.age_seconds < current.age_seconds:
            latest[node.node] = node
    return tuple(latest[name] for name in sorted(latest))
