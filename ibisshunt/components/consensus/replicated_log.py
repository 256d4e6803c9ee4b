"""Run the replicated log of one control host in a task."""

import random
from dataclasses import dataclass
from typing import Any

import gevent
from returns.pipeline import is_successful
from returns.result import Failure, Result

from ...coordination.consensus import (
    ConsensusSettings,
    NotAccepted,
    NotConfirmed,
    OutcomeUnknown,
    Propose,
    Read,
    RemoveMember,
    Role,
    Tick,
    TransferLeadership,
)
from ...coordination.consensus.membership import get_host_name, needs_to_join
from ...coordination.consensus.state import Event
from ...exceptions import Fault
from ...helpers.clock import read_monotonic_clock
from ...helpers.mailbox import Mailbox
from ...model.address import Address, parse_address
from ...model.settings import ControlSettings
from ...protocol.channel import RpcChannel
from ..storage.store import LogStore, RecoveredState
from .disk_space import DiskSpaceMonitor
from .driver import Driver, StateMachine
from .forwarding import ProposalForwarder
from .joining import ClusterJoiner
from .links import ChannelFactory, Links, Spawn
from .pending_requests import PendingRequests

TICK_SECONDS = 0.05
RETRY_SECONDS = 0.05
READ_ATTEMPT_TIMEOUT_SECONDS = 1.0
STOP_TIMEOUT_SECONDS = 3.0
MAX_BATCH_EVENTS = 1_024
MAX_QUEUED_EVENTS = 8_192
MAX_COMMAND_BYTES = 1024 * 1024
RESERVED_DISK_BYTES = 64 * 1024 * 1024


def make_grpc_channel(address: Address) -> RpcChannel:
    """Return a gRPC channel; gRPC is only imported when this is called."""
    from ...protocol.rpc import Channel

    return Channel(address)


@dataclass(frozen=True, slots=True)
class ReplicatedLogOptions:
    """Options of the replicated log, for tests and embedders.

    ``may_bootstrap``: a host with an empty disk may create a new cluster.
    ``admit_unlisted_hosts``: hosts that are not in the settings may join.
    ``wait_for_disk_space``: a write to a full disk blocks until there is space instead
    of ending the process. ``reserved_bytes``: with less free disk space the leader
    refuses proposals and transfers leadership.
    """

    consensus: ConsensusSettings = ConsensusSettings()
    make_channel: ChannelFactory = make_grpc_channel
    reserved_bytes: int = RESERVED_DISK_BYTES
    snapshot_entries: int = 1_000
    may_bootstrap: bool = True
    admit_unlisted_hosts: bool = False
    wait_for_disk_space: bool = False


class ReplicatedLog:
    """Provide the replicated log to the other services of this process."""

    def __init__(
        self,
        settings: ControlSettings,
        machine: StateMachine,
        store: LogStore,
        recovered: RecoveredState,
        spawn: Spawn,
        options: ReplicatedLogOptions,
    ) -> None:
        self.settings = settings
        self.options = options
        self._store = store
        self._spawn = spawn
        self._mailbox: Mailbox[Event] = Mailbox(MAX_QUEUED_EVENTS)
        self._pending_requests = PendingRequests()
        self.links = Links(self.find_address, options.make_channel, spawn)
        self.driver = Driver(
            store,
            recovered,
            machine,
            options.consensus,
            random.random,
            self.links.send,
            self._pending_requests.answer,
            read_monotonic_clock,
            options.snapshot_entries,
        )
        self.joiner = ClusterJoiner(
            settings.name,
            self.driver.host,
            settings.rpc,
            settings.peers,
            options.make_channel,
            self._get_cluster_id,
            self.submit,
            options.may_bootstrap,
        )
        self._proposal_forwarder = ProposalForwarder(options.make_channel)
        self._disk_space = DiskSpaceMonitor(
            store.count_free_bytes, options.reserved_bytes
        )
        self._tasks: list[Any] = []
        self._event_loop: Any = None
        self._stopping = False
        self._stopped = False

    # Interface for other services.

    def propose(self, command: bytes, timeout: float) -> Result[bytes, Fault]:
        """Return the reply of the state machine once the command is applied.

        Any host accepts proposals and forwards them to the leader. ``timeout`` is in
        seconds. The fault is NotAccepted if the command has no effect and never will,
        OutcomeUnknown if it may have been or may yet be committed.
        """
        if reason := self._find_refusal_reason(command):
            return Failure(NotAccepted("propose", "", reason))
        deadline = read_monotonic_clock() + timeout
        while True:
            result = self._propose_once(command, deadline)
            is_refused = not is_successful(result) and isinstance(
                result.failure(), NotAccepted
            )
            # Retry only after a definite refusal: retrying an unknown outcome could
            # apply the command twice.
            if not is_refused or read_monotonic_clock() + RETRY_SECONDS >= deadline:
                return result
            gevent.sleep(RETRY_SECONDS)

    def propose_locally(self, command: bytes, timeout: float) -> Result[bytes, Fault]:
        """Propose without forwarding; this host must be the leader."""
        if reason := self._find_refusal_reason(command):
            return Failure(NotAccepted("propose", "", reason))
        request_id = self._pending_requests.allocate()
        return self._submit_and_wait(Propose(request_id, command), request_id, timeout)

    def read_barrier(self, timeout: float) -> Result[int, Fault]:
        """Return the applied index once local reads are linearizable.

        The state machine then includes every command that was accepted before the
        call. Fails with NotConfirmed if no quorum answers within ``timeout`` seconds,
        for example behind a network partition.
        """
        deadline = read_monotonic_clock() + timeout
        while (remaining := deadline - read_monotonic_clock()) > 0:
            request_id = self._pending_requests.allocate()
            if not self._mailbox.send(Read(request_id)):
                self._pending_requests.answer(
                    request_id, _make_not_accepted("too many events wait")
                )
            result = self._pending_requests.wait(
                request_id, min(remaining, READ_ATTEMPT_TIMEOUT_SECONDS)
            )
            if result is not None and is_successful(result):
                return result
            gevent.sleep(RETRY_SECONDS)
        reason = (
            f"no quorum within {timeout} s; "
            f"leader {self.get_leader_name() or 'unknown'}"
        )
        return Failure(NotConfirmed("confirm read", self.get_leader_name(), reason))

    def remove_member(self, host: str, timeout: float) -> Result[bytes, Fault]:
        """Remove a lost host, given as ``name/disk``; only the leader can."""
        request_id = self._pending_requests.allocate()
        return self._submit_and_wait(
            RemoveMember(request_id, host), request_id, timeout
        )

    def get_leader_name(self) -> str:
        """Return the name of the leader, or "" if none is known."""
        return get_host_name(self.driver.state.leader)

    def find_leader_address(self) -> Address | None:
        """Return the RPC address of the leader, or None if none is known."""
        leader = self.driver.state.leader
        return self.find_address(leader) if leader else None

    def count_pending_requests(self) -> int:
        """Return the number of proposals and reads without a result."""
        return len(self._pending_requests)

    def is_leading(self) -> bool:
        """Return whether this host believes that it is the leader."""
        return self.driver.state.role is Role.LEADER

    # Task life cycle.

    def start(self) -> None:
        """Start the event loop and join the cluster; the RPC server must run."""
        self._event_loop = self._spawn("replicated log", self._run)
        if not self._is_member() or self.options.admit_unlisted_hosts:
            self._tasks.append(
                self._spawn("join cluster", self.joiner.run, self._has_joined)
            )

    def stop(self) -> None:
        """Transfer leadership, complete open requests, close the files; idempotent.

        Call it before the RPC server stops: the next leader's messages must still
        reach this host.
        """
        if self._stopped:
            return
        self._stopping = True
        deadline = read_monotonic_clock() + STOP_TIMEOUT_SECONDS
        self._mailbox.send(TransferLeadership())
        while read_monotonic_clock() < deadline and self._must_delay_stop():
            gevent.sleep(TICK_SECONDS)
        self._stopped = True
        if self._event_loop is not None:
            self._event_loop.join()
        for task in self._tasks:
            task.kill()
        self.links.close()
        self._proposal_forwarder.close()
        self._store.close()

    def submit(self, event: Event) -> bool:
        """Queue an event; return False if the queue is full."""
        return self._mailbox.send(event)

    def find_address(self, host: str) -> Address | None:
        """Return a host's address from the settings, the members or its hello reply."""
        name = get_host_name(host)
        if name in self.settings.peers:
            return self.settings.peers[name]
        for member in self.driver.state.log.membership.members:
            if member.host == host and member.address:
                return parse_address(member.address).value_or(None)
        return self.joiner.find_address(name)

    def _run(self) -> None:
        next_tick = read_monotonic_clock()
        while not self._stopped:
            events = self._receive_batch(next_tick - read_monotonic_clock())
            now = read_monotonic_clock()
            if now >= next_tick:
                # First in the batch: after a pause of the process, the deadlines must
                # be checked before messages that were queued meanwhile are trusted.
                events.insert(0, Tick())
                next_tick = now + TICK_SECONDS
                if (
                    self._disk_space.refresh(now)
                    and self._disk_space.is_low
                    and self.is_leading()
                ):
                    events.append(TransferLeadership())
            if events:
                self.driver.step(events, now)
            gevent.sleep(0)

    def _receive_batch(self, timeout: float) -> list[Event]:
        first = self._mailbox.receive(max(0.0, timeout))
        events = [] if first is None else [first]
        while events and len(events) < MAX_BATCH_EVENTS and len(self._mailbox):
            event = self._mailbox.receive(0)
            if event is not None:
                events.append(event)
        return [event for event in events if not self._is_abandoned(event)]

    def _is_abandoned(self, event: Event) -> bool:
        # A request whose caller timed out would only delay those that still wait.
        return (
            isinstance(event, Propose | Read)
            and event.request_id not in self._pending_requests
        )

    def _get_cluster_id(self) -> str:
        return self.driver.state.hard_state.cluster

    def _is_member(self) -> bool:
        return not needs_to_join(self.driver.state)

    def _has_joined(self) -> bool:
        if not self._is_member():
            return False
        # A host that was removed while it was down is still a member in its own log;
        # that no leader contacts it shows the removal.
        return not self.options.admit_unlisted_hosts or bool(self.driver.state.leader)

    def _must_delay_stop(self) -> bool:
        if self._event_loop is None or self._event_loop.dead:
            return False
        is_only_member = not self.driver.state.progress
        can_transfer = self.is_leading() and not is_only_member
        return can_transfer or len(self._pending_requests) > 0

    # Proposals.

    def _find_refusal_reason(self, command: bytes) -> str:
        if len(command) > MAX_COMMAND_BYTES:
            return f"{len(command)} bytes, at most {MAX_COMMAND_BYTES} are taken"
        if self._stopping:
            return "this host is stopping"
        if self._disk_space.is_low and self.is_leading():
            return "the disk is nearly full; free space on the control host"
        return ""

    def _propose_once(self, command: bytes, deadline: float) -> Result[bytes, Fault]:
        remaining = deadline - read_monotonic_clock()
        if self.is_leading():
            return self.propose_locally(command, remaining)
        address = self.find_leader_address()
        if address is None:
            return _make_not_accepted("no leader is known")
        if not self.links.get_link(address).is_reachable:
            # Nothing is sent, so the outcome is not unknown: the caller can retry while
            # the next leader is elected.
            return _make_not_accepted(f"the leader at {address} does not answer")
        return self._proposal_forwarder.forward(address, command, remaining)

    def _submit_and_wait(
        self, event: Event, request_id: int, timeout: float
    ) -> Result[Any, Fault]:
        if not self._mailbox.send(event):
            self._pending_requests.answer(
                request_id, _make_not_accepted("too many events wait")
            )
        result = self._pending_requests.wait(request_id, timeout)
        if result is not None:
            return result
        reason = f"not committed within {timeout:.3f} s"
        return Failure(OutcomeUnknown("propose", self.get_leader_name(), reason))


def _make_not_accepted(reason: str) -> Result[Any, Fault]:
    return Failure(NotAccepted("propose", "", reason))
