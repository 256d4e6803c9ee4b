"""Hosts on folders in memory, joined by a network that loses, doubles and reorders."""

import json
import random
from dataclasses import replace

from returns.pipeline import is_successful

from ibisshunt.components.consensus.driver import Driver, StateMachine
from ibisshunt.components.storage.store import Store
from ibisshunt.coordination.consensus import (
    Admit,
    ConsensusSettings,
    Found,
    Member,
    Membership,
    NotAccepted,
    Propose,
    Read,
    Received,
    Remove,
    Role,
    Tick,
    Transfer,
)
from ibisshunt.coordination.consensus.membership import needs_admission
from tests.components.storage.memory_files import CrashError, MemoryFiles

TICK_SECONDS = 0.05
SETTINGS = ConsensusSettings(
    max_batch_entries=3,
    max_batch_bytes=64,
    max_inflight_entries=6,
    chunk_bytes=24,
    kept_entries=4,
    catch_up_entries=4,
)


class Host:
    """One control host: its disk lasts, its driver dies with a crash."""

    def __init__(self, hosts, name):
        self.hosts = hosts
        self.name = name
        self.files = MemoryFiles(hosts.random)
        self.driver = None
        self.paused = False
        self.rate = 1.0
        self.clock = hosts.random.random() * 100
        self.inbox = []
        self.wipe()

    def wipe(self):
        """Put an empty disk in; the name stays."""
        self.driver = None
        self.hosts.disks += 1
        self.disk = f"d{self.hosts.disks}"
        self.files = MemoryFiles(self.hosts.random)

    def start(self):
        self.applied = []
        self.inbox = []
        store = Store(self.files)
        try:
            recovered = store.recover(self.name, lambda: self.disk)
        except CrashError:
            self.crash()
            return
        self.driver = Driver(
            store,
            recovered,
            StateMachine(self.apply, self.take_snapshot, self.restore),
            self.hosts.settings,
            self.hosts.random.random,
            self.hosts.send,
            self.answer,
            lambda: self.clock,
            snapshot_entries=self.hosts.snapshot_entries,
        )
        self.hosts.ids[self.driver.host] = self

    def apply(self, index, command):
        self.applied.append((index, command.decode()))
        self.hosts.check_applied(index, command.decode())
        return b"reply to " + command

    def take_snapshot(self):
        return json.dumps(self.applied).encode()

    def restore(self, data):
        self.applied = [tuple(pair) for pair in json.loads(data)]
        for index, command in self.applied:
            self.hosts.check_applied(index, command)

    def answer(self, ticket, result):
        self.hosts.take_answer(ticket, result)

    def step(self, *events):
        """Run one batch; a crash in the middle loses what was not synced."""
        if self.driver is None or self.paused:
            return
        batch = [Tick(), *[Received(found) for found in self.inbox], *events]
        self.inbox = []
        try:
            self.driver.step(batch, self.clock)
        except CrashError:
            self.crash()
            return
        self.hosts.check_leader(self)

    def crash(self):
        self.driver = None
        self.files.crash()


class Hosts:
    """A cluster under test, with the checks that must hold at every step."""

    def __init__(self, count, seed=0, settings=SETTINGS, snapshot_entries=10):
        self.random = random.Random(seed)
        batch = self.random.randint(1, settings.max_batch_entries)
        self.settings = replace(settings, max_batch_entries=batch)
        self.snapshot_entries = snapshot_entries
        self.disks = 0
        self.ids = {}
        self.network = []
        self.groups = {}
        self.loss = 0.0
        self.doubling = 0.0
        self.tickets = 0
        self.leaders = {}
        self.committed = {}
        self.proposed = {}
        self.acked = {}
        self.refused = set()
        self.unknown = set()
        self.reads = {}
        self.ready = {}
        self.hosts = [Host(self, f"c{place + 1}") for place in range(count)]
        for host in self.hosts:
            host.start()

    def found(self, count=None):
        founders = self.hosts[:count]
        members = tuple(Member(host.driver.host, "", True) for host in founders)
        self.hosts[0].step(Found("k", Membership(members)))

    # The network.

    def send(self, envelope):
        if self.random.random() < self.loss:
            return
        self.network.append(envelope)
        if self.random.random() < self.doubling:
            self.network.append(envelope)

    def partition(self, *groups):
        """Let only hosts of one group speak to each other; none heals."""
        self.groups = {
            name: place for place, names in enumerate(groups) for name in names
        }

    def can_reach(self, sender, receiver):
        found = self.groups
        return found.get(sender.name, -1) == found.get(receiver.name, -1)

    def run(self, seconds, reorder=False):
        """Let time pass at each host's own rate and deliver messages."""
        for _ in range(int(seconds / TICK_SECONDS)):
            self.deliver(reorder)
            for host in self.hosts:
                host.clock += TICK_SECONDS * host.rate
                host.step()
        self.admit_newcomers()

    def storm(self, steps, crash_rate=0.03, take_rate=0.5):
        """Let single hosts act in any order, each by a clock of its own.

        Every step a random host takes a random part of its messages, in any order and
        at times again later; it may lose power at any of its next writes.
        """
        haste = self.random.choice((0.01, 0.05, 0.2))
        change = self.random.choice((0.005, 0.02, 0.05))
        paused = []
        for _ in range(steps):
            if self.random.random() < change:
                paused = self.leave_out()
            host = self.random.choice(self.hosts)
            if host.driver is None and self.random.random() < 0.3:
                host.start()
            if host in paused or host.driver is None:
                continue
            if self.groups.get(host.name) is None:
                # Whoever is cut off keeps a slow clock: it takes longest to notice.
                host.clock += self.random.choice((0.0, 0.0, 0.05, 0.05, 0.1))
                host.clock += 3.0 if self.random.random() < haste else 0.0
            if self.random.random() < crash_rate:
                host.files.crash_after = self.random.randint(0, 3)
            self.take(host, take_rate)
            self.act(host)
            del self.network[:-200]
            self.check_all()
        self.partition()

    def leave_out(self):
        """Pause or cut off another minority, so that the majorities take turns."""
        size = self.random.randint(0, len(self.hosts) // 2)
        found = self.random.sample(self.hosts, size)
        if self.random.random() < 0.5:
            self.partition()
            return found
        self.partition([host.name for host in found])
        if self.random.random() < 0.5:
            # Time enough for the others to elect a leader that these know nothing of.
            rates = [host.rate for host in found]
            for host in found:
                host.rate = 0.0
            self.run(3.0)
            for host, rate in zip(found, rates, strict=True):
                host.rate = rate
        return []

    def act(self, host):
        """Let one host do one of the things that a host does."""
        chance = self.random.random()
        if chance < 0.2:
            self.propose(host)
        elif chance < 0.3:
            self.read(host)
        elif chance < 0.31:
            host.step(Transfer())
        elif chance < 0.33 and self.may_lose_disk():
            self.replace(host)
        elif chance < 0.4:
            self.admit_newcomers()
        else:
            host.step()

    def take(self, host, rate):
        """Move some of the messages for a host into its inbox."""
        self.random.shuffle(self.network)
        left = []
        for envelope in self.network:
            sender = self.ids[envelope.sender]
            mine = envelope.receiver == host.driver.host
            if (
                not mine
                or not self.can_reach(sender, host)
                or self.random.random() > rate
            ):
                left.append(envelope)
                continue
            host.inbox.append(envelope)
            if self.random.random() < 0.1:
                left.append(envelope)
        self.network = left

    def deliver(self, reorder=False):
        waiting, self.network = self.network, []
        if reorder:
            self.random.shuffle(waiting)
            split = self.random.randint(0, len(waiting))
            self.network, waiting = waiting[split:], waiting[:split]
        for envelope in waiting:
            sender = self.ids.get(envelope.sender)
            receiver = self.ids.get(envelope.receiver)
            known = receiver is not None and receiver.driver is not None
            if not known or receiver.driver.host != envelope.receiver:
                continue
            if sender is None or self.can_reach(sender, receiver):
                receiver.inbox.append(envelope)

    # What callers do.

    def propose(self, host):
        self.tickets += 1
        self.proposed[self.tickets] = f"v{self.tickets}"
        host.step(Propose(self.tickets, f"v{self.tickets}".encode()))
        return self.tickets

    def read(self, host):
        self.tickets += 1
        newest = max((index for index, _ in self.acked.values()), default=0)
        newest = max([newest, *self.ready.values()])
        self.reads[self.tickets] = newest
        host.step(Read(self.tickets))
        return self.tickets

    def replace(self, host):
        """A host lost its disk and comes back under its old name."""
        host.wipe()
        host.start()

    def may_lose_disk(self):
        """Tell whether all voters of the newest committed membership have disks."""
        if any(host.driver is None for host in self.hosts):
            return False
        newest = max((host.driver.state for host in self.hosts), key=lambda s: s.commit)
        members = newest.log.membership_at(newest.commit).members
        disks = {host.driver.host for host in self.hosts}
        return disks == {member.host for member in members if member.voter}

    def admit_newcomers(self):
        for host in self.hosts:
            if host.driver is not None and needs_admission(host.driver.state):
                self.admit(host)

    def admit(self, host):
        leader = self.find_leader()
        if leader is None or host.driver is None or not self.can_reach(host, leader):
            return
        members = leader.driver.state.log.membership.members
        if host.driver.host not in {member.host for member in members}:
            leader.step(Admit(0, host.driver.host, ""))

    def remove(self, identity):
        self.tickets += 1
        self.find_leader().step(Remove(self.tickets, identity))
        return self.tickets

    def transfer(self):
        self.find_leader().step(Transfer())

    def take_answer(self, ticket, result):
        if ticket in self.reads:
            if is_successful(result):
                index = result.unwrap()
                # Linearizable: a read sees all that was accepted, or seen by another
                # read, before it began.
                assert index >= self.reads[ticket], "a stale read"
                self.ready[ticket] = index
            else:
                self.refused.add(ticket)
            return
        if ticket not in self.proposed:
            if not is_successful(result) and ticket:
                self.refused.add(ticket)
            return
        command = self.proposed[ticket]
        if is_successful(result):
            found = [i for i, value in self.committed.items() if value == command]
            assert len(found) == 1, "accepted but not applied once"
            assert result.unwrap() == b"reply to " + command.encode()
            self.acked[ticket] = (found[0], command)
        elif isinstance(result.failure(), NotAccepted):
            self.refused.add(ticket)
        else:
            self.unknown.add(ticket)

    # What must hold.

    def check_applied(self, index, command):
        seen = self.committed.setdefault(index, command)
        assert seen == command, f"index {index} held {seen}, now {command}"

    def check_leader(self, host):
        state = host.driver.state
        if state.role is Role.LEADER:
            seen = self.leaders.setdefault(state.term, host.driver.host)
            assert seen == host.driver.host, f"two leaders in term {state.term}"

    def check_all(self):
        sequences = [host.applied for host in self.hosts if host.driver is not None]
        longest = max(sequences, key=len, default=[])
        for sequence in sequences:
            assert sequence == longest[: len(sequence)], "not a prefix"
        values = [command for _, command in longest]
        assert len(values) == len(set(values)), "a command was applied twice"
        for ticket in self.refused & self.proposed.keys():
            assert self.proposed[ticket] not in self.committed.values()

    def find_leader(self):
        led = [
            host
            for host in self.hosts
            if host.driver is not None
            and not host.paused
            and host.driver.state.role is Role.LEADER
        ]
        return max(led, key=lambda host: host.driver.state.term, default=None)

    def settle(self):
        """Heal everything, start every host, and accept one more command."""
        self.partition()
        self.loss = self.doubling = 0.0
        for host in self.hosts:
            host.paused = False
            host.files.crash_after = None
            if host.driver is None:
                host.start()
        for _ in range(60):
            self.run(1.0)
            leader = self.find_leader()
            if leader is None:
                continue
            ticket = self.propose(leader)
            self.run(1.0)
            if ticket in self.acked:
                break
        else:
            raise AssertionError("the cluster accepts nothing after it was healed")
        for _ in range(60):
            self.run(1.0)
            if self.is_settled():
                break
        else:
            raise AssertionError("a host never has all that was accepted")
        self.check_all()

    def is_settled(self):
        """Tell whether every disk has a vote and holds every accepted command."""
        leader = self.find_leader()
        if leader is None:
            return False
        members = leader.driver.state.log.membership.members
        voters = {member.host for member in members if member.voter}
        if {host.driver.host for host in self.hosts} != voters or len(members) > len(
            voters
        ):
            return False
        return all(
            accepted in host.applied
            for host in self.hosts
            for accepted in self.acked.values()
        )
