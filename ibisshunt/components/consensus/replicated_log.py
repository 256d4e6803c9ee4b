"""Run the replicated log of one control host as a task."""

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
    Remove,
    Role,
    Tick,
    Transfer,
)
from ...coordination.consensus.membership import name_of, needs_admission
from ...coordination.consensus.state import Event
from ...exceptions import Fault
from ...helpers.clock import read_clock
from ...helpers.mailbox import Mailbox
from ...model.address import Address, parse_address
from ...model.settings import ControlSettings
from ...protocol.caller import Caller
from ..storage.store import Recovered, Store
from .driver import Driver, StateMachine
from .forwarding import Forwarder
from .joining import Joiner
from .links import Links, MakeChannel, Spawn
from .room import Room
from .tickets import Tickets

TICK_SECONDS = 0.05
RETRY_SECONDS = 0.05
READ_ATTEMPT_SECONDS = 1.0
STOP_SECONDS = 3.0
MAX_BATCH_EVENTS = 1_024
MAX_WAITING_EVENTS = 8_192
MAX_COMMAND_BYTES = 1024 * 1024
RESERVED_BYTES = 64 * 1024 * 1024


def make_grpc_channel(address: Address) -> Caller:
    """Return a gRPC channel; only those who call it pay for the import."""
    from ...protocol.rpc import Channel

    return Channel(address)


@dataclass(frozen=True, slots=True)
class Options:
    """Hold what tests and embedders may change.

    ``may_found`` tells whether a host with an empty disk may found a cluster,
    ``admit_unknown`` whether hosts that no settings name may join,
    ``wait_for_room`` whether a full disk is waited for instead of ending the process.
    """

    consensus: ConsensusSettings = ConsensusSettings()
    make_channel: MakeChannel = make_grpc_channel
    reserved_bytes: int = RESERVED_BYTES
    snapshot_entries: int = 1_000
    may_found: bool = True
    admit_unknown: bool = False
    wait_for_room: bool = False


class ReplicatedLog:
    """Offer the replicated log to the other services of this process."""

    def __init__(
        self,
        settings: ControlSettings,
        machine: StateMachine,
        store: Store,
        recovered: Recovered,
        spawn: Spawn,
        options: Options,
    ) -> None:
        self.settings = settings
        self.options = options
        self._store = store
        self._spawn = spawn
        self._mailbox: Mailbox[Event] = Mailbox(MAX_WAITING_EVENTS)
        self._tickets = Tickets()
        self.links = Links(self.find_address, options.make_channel, spawn)
        self.driver = Driver(
            store,
            recovered,
            machine,
            options.consensus,
            random.random,
            self.links.deliver,
            self._tickets.answer,
            read_clock,
            options.snapshot_entries,
        )
        self.joiner = Joiner(
            settings.name,
            self.driver.host,
            settings.rpc,
            settings.peers,
            options.make_channel,
            self._find_cluster,
            self.give,
            options.may_found,
        )
        self._forwarder = Forwarder(options.make_channel)
        self._room = Room(store.free_bytes, options.reserved_bytes)
        self._tasks: list[Any] = []
        self._loop: Any = None
        self._stopping = False
        self._stopped = False

    # What other services call.

    def propose(self, command: bytes, timeout: float) -> Result[bytes, Fault]:
        """Return the reply of the state machine once the command is applied.

        Any host takes proposals and passes them to the leader. ``timeout`` is in
        seconds. The fault is NotAccepted when the command has no effect and never
        will, OutcomeUnknown when it may have one.
        """
        if reason := self._find_obstacle(command):
            return Failure(NotAccepted("propose", "", reason))
        deadline = read_clock() + timeout
        while True:
            result = self._propose_once(command, deadline)
            refused = not is_successful(result) and isinstance(
                result.failure(), NotAccepted
            )
            # Only what certainly has no effect is tried again: a second entry of an
            # unknown first would run twice.
            if not refused or read_clock() + RETRY_SECONDS >= deadline:
                return result
            gevent.sleep(RETRY_SECONDS)

    def propose_here(self, command: bytes, timeout: float) -> Result[bytes, Fault]:
        """Propose on this host only, which must lead."""
        if reason := self._find_obstacle(command):
            return Failure(NotAccepted("propose", "", reason))
        ticket = self._tickets.draw()
        return self._ask(Propose(ticket, command), ticket, timeout)

    def read_barrier(self, timeout: float) -> Result[int, Fault]:
        """Return the index up to which this host has applied a log that is not stale.

        What the state machine holds afterwards includes everything that was accepted
        before the call. Fails with NotConfirmed after ``timeout`` seconds without a
        quorum, as behind a partition.
        """
        deadline = read_clock() + timeout
        while (left := deadline - read_clock()) > 0:
            ticket = self._tickets.draw()
            if not self._mailbox.send(Read(ticket)):
                self._tickets.answer(ticket, _refuse("too many events wait"))
            result = self._tickets.wait(ticket, min(left, READ_ATTEMPT_SECONDS))
            if result is not None and is_successful(result):
                return result
            gevent.sleep(RETRY_SECONDS)
        reason = f"no quorum within {timeout} s; leader {self.leader() or 'unknown'}"
        return Failure(NotConfirmed("confirm read", self.leader(), reason))

    def remove(self, host: str, timeout: float) -> Result[bytes, Fault]:
        """Take a lost host, named ``name/disk``, out; only the leader can."""
        ticket = self._tickets.draw()
        return self._ask(Remove(ticket, host), ticket, timeout)

    def leader(self) -> str:
        """Return the name of the leader, or nothing when none is known."""
        return name_of(self.driver.state.leader)

    def leader_address(self) -> Address | None:
        """Return where the leader serves, or None when none is known."""
        leader = self.driver.state.leader
        return self.find_address(leader) if leader else None

    def count_waiting(self) -> int:
        """Count the proposals and reads that wait for an answer."""
        return len(self._tickets)

    def is_leading(self) -> bool:
        """Tell whether this host is the leader as far as it knows."""
        return self.driver.state.role is Role.LEADER

    # How the task runs.

    def start(self) -> None:
        """Begin to take part; the handlers must be served by then."""
        self._loop = self._spawn("replicated log", self._run)
        if not self._is_member() or self.options.admit_unknown:
            self._tasks.append(
                self._spawn("join cluster", self.joiner.run, self._has_joined)
            )

    def stop(self) -> None:
        """Hand the lead over, answer what waits, close the files; safe to call twice.

        Call it before the server stops, so that the successor can answer.
        """
        if self._stopped:
            return
        self._stopping = True
        deadline = read_clock() + STOP_SECONDS
        self._mailbox.send(Transfer())
        while read_clock() < deadline and self._must_linger():
            gevent.sleep(TICK_SECONDS)
        self._stopped = True
        if self._loop is not None:
            self._loop.join()
        for task in self._tasks:
            task.kill()
        self.links.close()
        self._forwarder.close()
        self._store.close()

    def give(self, event: Event) -> bool:
        """Queue an event; return False when too many wait."""
        return self._mailbox.send(event)

    def find_address(self, host: str) -> Address | None:
        """Return the address of a host that settings, members or greetings name."""
        name = name_of(host)
        if name in self.settings.peers:
            return self.settings.peers[name]
        for member in self.driver.state.log.membership.members:
            if member.host == host and member.address:
                return parse_address(member.address).value_or(None)
        return self.joiner.find_address(name)

    def _run(self) -> None:
        next_tick = read_clock()
        while not self._stopped:
            events = self._gather(next_tick - read_clock())
            now = read_clock()
            if now >= next_tick:
                # First in the batch: after a pause the deadlines must be checked
                # before messages that lay in the mailbox are believed.
                events.insert(0, Tick())
                next_tick = now + TICK_SECONDS
                if self._room.check(now) and self._room.is_full and self.is_leading():
                    events.append(Transfer())
            if events:
                self.driver.step(events, now)
            gevent.sleep(0)

    def _gather(self, timeout: float) -> list[Event]:
        first = self._mailbox.receive(max(0.0, timeout))
        events = [] if first is None else [first]
        while events and len(events) < MAX_BATCH_EVENTS and len(self._mailbox):
            event = self._mailbox.receive(0)
            if event is not None:
                events.append(event)
        return [event for event in events if not self._is_abandoned(event)]

    def _is_abandoned(self, event: Event) -> bool:
        # A proposal whose caller gave up would only delay those who still wait.
        return isinstance(event, Propose | Read) and event.ticket not in self._tickets

    def _find_cluster(self) -> str:
        return self.driver.state.hard.cluster

    def _is_member(self) -> bool:
        return not needs_admission(self.driver.state)

    def _has_joined(self) -> bool:
        if not self._is_member():
            return False
        # A host that was removed while it was away still finds itself in its own log;
        # that no leader speaks to it tells otherwise.
        return not self.options.admit_unknown or bool(self.driver.state.leader)

    def _must_linger(self) -> bool:
        if self._loop is None or self._loop.dead:
            return False
        alone = not self.driver.state.progress
        leads = self.is_leading() and not alone
        return leads or len(self._tickets) > 0

    # How proposals go.

    def _find_obstacle(self, command: bytes) -> str:
        if len(command) > MAX_COMMAND_BYTES:
            return f"{len(command)} bytes, at most {MAX_COMMAND_BYTES} are taken"
        if self._stopping:
            return "this host is stopping"
        if self._room.is_full and self.is_leading():
            return "the disk is nearly full; free space on the control host"
        return ""

    def _propose_once(self, command: bytes, deadline: float) -> Result[bytes, Fault]:
        left = deadline - read_clock()
        if self.is_leading():
            return self.propose_here(command, left)
        address = self.leader_address()
        if address is None:
            return _refuse("no leader is known")
        if not self.links.find(address).is_reachable:
            # Nothing is sent, so the caller need not be told "unknown" for as long as
            # it takes to elect the next leader.
            return _refuse(f"the leader at {address} does not answer")
        return self._forwarder.forward(address, command, left)

    def _ask(self, event: Event, ticket: int, timeout: float) -> Result[Any, Fault]:
        if not self._mailbox.send(event):
            self._tickets.answer(ticket, _refuse("too many events wait"))
        result = self._tickets.wait(ticket, timeout)
        if result is not None:
            return result
        reason = f"not committed within {timeout:.3f} s"
        return Failure(OutcomeUnknown("propose", self.leader(), reason))


def _refuse(reason: str) -> Result[Any, Fault]:
    return Failure(NotAccepted("propose", "", reason))
