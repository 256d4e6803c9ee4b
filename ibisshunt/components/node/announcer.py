"""Announce a target to the control hosts and renew its lease."""

import random
import time
import uuid
from itertools import cycle
from typing import Any, Final

import grpc
from gevent.event import Event

from ...const import HEARTBEAT_SECONDS, RPC_TIMEOUT_SECONDS
from ...core import Kernel
from ...exceptions import RpcError
from ...helpers.backoff import make_delays
from ...helpers.logging import log_event, warn_event
from ...model.address import Address
from ...model.target import Announcement
from ...protocol.messages import ANNOUNCE, AnnounceReply, AnnounceRequest
from ...protocol.rpc import Channel
from ...settings import AgentSettings

SERVICE_CHECK_INTERVAL_SECONDS: Final = 0.1


class Announcer:
    """Announce one target to the control hosts."""

    def __init__(
        self,
        kernel: Kernel,
        announcement: Announcement,
        control: tuple[Address, ...],
        credentials: grpc.ChannelCredentials | None,
    ) -> None:
        self.announcement = announcement
        self.incarnation = 0
        self.leaving = False
        self.lease_deadline = 0.0
        self._stopping = Event()
        self._kernel = kernel
        self._control_hosts = cycle(control)
        self._credentials = credentials
        self._channel = Channel(next(self._control_hosts), credentials)

    @property
    def agent_session(self) -> str:
        """Return the random id of this agent process."""
        return self.announcement.agent_session

    def run(self) -> None:
        """Renew the lease until stopped."""
        delays = make_delays(random.random)
        while not self._stopping.is_set():
            if not self._is_service_known():
                self._stopping.wait(SERVICE_CHECK_INTERVAL_SECONDS)
                continue
            if self.announce():
                delays = make_delays(random.random)
                self._stopping.wait(HEARTBEAT_SECONDS)
                continue
            self._switch_control_host()
            self._stopping.wait(next(delays))
        self._channel.close()

    def stop(self) -> None:
        """Stop announcing."""
        self._stopping.set()

    def announce(self) -> bool:
        """Send the announcement once; return whether a control host accepted it."""
        flows = self._kernel.find("flows").count() if self._kernel.has("flows") else 0
        request = AnnounceRequest(self.announcement, self.leaving, flows)
        sent_at = time.monotonic()
        try:
            reply: AnnounceReply = self._channel.call(ANNOUNCE, request)
        except RpcError as error:
            warn_event("announce_failed", fault=error.fault)
            return False
        if reply.error:
            peer = self._channel.address
            warn_event("announce_refused", peer=peer, reason=reply.error)
            return False
        self._record_reply(reply, sent_at)
        return True

    def _is_service_known(self) -> bool:
        """Return whether the service is in the configuration of this agent.

        A target that is announced before that gets flows that its agent must drop.
        """
        slices = self._kernel.find("configuration").current.slices.values()
        target_service = (self.announcement.business, self.announcement.service)
        return any(
            (slice_.service.business, slice_.service.name) == target_service
            for slice_ in slices
        )

    def leave(self) -> None:
        """Announce that the target accepts no new flows from now on."""
        self.leaving = True
        self.announce()

    def _record_reply(self, reply: AnnounceReply, sent_at: float) -> None:
        is_new_incarnation = reply.incarnation != self.incarnation
        self.incarnation = reply.incarnation
        if is_new_incarnation:
            name = self.announcement.name
            log_event("announced", target=name, incarnation=reply.incarnation)
            self._wake_packet_task()
        # Counted from the time of sending: the lease must not outlast the granted one.
        self.lease_deadline = sent_at + reply.lease_seconds

    def _wake_packet_task(self) -> None:
        if self._kernel.has("packets"):
            self._kernel.find("packets").wake()

    def _switch_control_host(self) -> None:
        self._channel.close()
        self._channel = Channel(next(self._control_hosts), self._credentials)

    def dump(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            "announcement": self.announcement,
            "incarnation": self.incarnation,
            "leaving": self.leaving,
            "lease_left_seconds": round(self.lease_deadline - time.monotonic(), 3),
        }


def make_announcement(settings: AgentSettings) -> Announcement:
    """Return the announcement of the agent's target.

    The session identifies the target and not the agent process: an agent that restarts
    next to a running target must keep the incarnation of its flows.
    """
    target = settings.target
    session = target.session or f"{target.host}/{target.tunnel}"
    return Announcement(
        business=target.business,
        service=target.service,
        name=target.name,
        session=session,
        host=target.host,
        failure_domain=settings.failure_domain,
        packets=settings.packets,
        streams=settings.streams,
        tunnel=target.tunnel,
        weight=target.weight,
        rpc=settings.rpc,
        agent_session=uuid.uuid4().hex,
    )


def setup(
    kernel: Kernel,
    settings: AgentSettings,
    credentials: grpc.ChannelCredentials | None = None,
) -> Announcer:
    """Start announcing; register the announcer as ``announcement``."""
    announcement = make_announcement(settings)
    announcer = Announcer(kernel, announcement, settings.control, credentials)
    task = kernel.spawn("announcer", announcer.run)

    def unload() -> None:
        announcer.stop()
        task.join(RPC_TIMEOUT_SECONDS)

    kernel.register(
        "announcement",
        announcer,
        unload=unload,
        dump=announcer.dump,
        ready=lambda: announcer.incarnation > 0,
    )
    return announcer
