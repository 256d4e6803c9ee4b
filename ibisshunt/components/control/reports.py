"""Collect which revision each node has in force and tell operators."""

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
from .host import Host
from .leases import LeaseHandler

PEER_TIMEOUT_SECONDS: Final = 1.0
# A node that was silent for so long was taken away; restarts have new names.
FORGET_SECONDS: Final = 600.0


@dataclass(frozen=True, slots=True)
class Report:
    """Hold what a node reported, and when by the monotonic clock."""

    role: str
    revision: int
    received: float


class ReportHandler:
    """Own the reports of the nodes that watch this host.

    Each host keeps those of its own nodes; whoever is asked for the status asks the
    other hosts, so that reports cost no host more than its share.
    """

    def __init__(self, host: Host, leases: LeaseHandler) -> None:
        self.reports: dict[str, Report] = {}
        self._host = host
        self._leases = leases

    def report(self, request: ReportRequest, context: Any) -> ReportReply:
        """Note the revision that a node has in force."""
        report = Report(request.role, request.revision, time.monotonic())
        self.reports[request.node] = report
        return ReportReply(self._host.state.store.revision)

    def tell_status(self, request: StatusRequest, context: Any) -> StatusReply:
        """Return the state of the whole system, or of this host alone."""
        own = self._describe_own()
        if request.local or not self._host.settings.peers:
            return own
        credentials = make_channel_credentials(self._host.settings.tls)
        calls = {
            name: gevent.spawn(ask_status, address, credentials)
            for name, address in self._host.settings.peers.items()
        }
        gevent.joinall(list(calls.values()))
        replies = {name: call.value for name, call in calls.items()}
        return merge_status(own, self._host.log.leader(), replies)

    def _describe_own(self) -> StatusReply:
        store = self._host.state.store
        return StatusReply(
            revision=store.revision,
            leader=self._host.log.leader(),
            services=tuple(
                f"{found.service.business}/{found.service.name}"
                for found in store.slices.values()
            ),
            targets=tuple(
                TargetStatus(
                    f"{found.service.business}/{found.service.name}",
                    target.name,
                    self._leases.describe(target),
                    target.incarnation,
                    self._leases.count_flows(target.incarnation),
                )
                for found in store.slices.values()
                for target in found.targets
            ),
            nodes=self._list_nodes(),
            evacuated=tuple(sorted(store.list_evacuated())),
        )

    def _list_nodes(self) -> tuple[NodeStatus, ...]:
        now = time.monotonic()
        for node, found in list(self.reports.items()):
            if now - found.received > FORGET_SECONDS:
                del self.reports[node]
        return tuple(
            NodeStatus(node, found.role, found.revision, now - found.received)
            for node, found in sorted(self.reports.items())
        )


def ask_status(
    address: Address, credentials: grpc.ChannelCredentials | None
) -> StatusReply | None:
    """Return what one peer knows itself, or None when it does not answer."""
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
    own: StatusReply, leader: str, replies: dict[str, StatusReply | None]
) -> StatusReply:
    """Return one status: the targets as the leader sees them, the latest reports."""
    answered = [reply for reply in replies.values() if reply is not None]
    seen = replies.get(leader) or own
    newest = max([own, *answered], key=lambda reply: reply.revision)
    return replace(
        newest,
        leader=leader,
        targets=seen.targets,
        nodes=_keep_latest(node for reply in (own, *answered) for node in reply.nodes),
        unreachable=tuple(name for name, reply in replies.items() if reply is None),
    )


def _keep_latest(nodes: Iterable[NodeStatus]) -> tuple[NodeStatus, ...]:
    """Return one status a node: after a change of host the old one lags for good."""
    latest: dict[str, NodeStatus] = {}
    for node in nodes:
        held = latest.get(node.node)
        if held is None or node.age_seconds < held.age_seconds:
            latest[node.node] = node
    return tuple(latest[name] for name in sorted(latest))
