"""Simulation of hosts with in-memory disks on an unreliable network.

The network loses, duplicates and reorders messages.
"""

import json
import random
from dataclasses import replace

from returns.pipeline import is_successful

from ibisshunt.components.consensus.driver import Driver, StateMachine
from ibisshunt.components.storage.store import LogStore
from ibisshunt.coordination.consensus import (
    AddLearner,
    BootstrapCluster,
    ConsensusSettings,
    Member,
    Membership,
    NotAccepted,
    Propose,
    Read,
    Received,
    RemoveMember,
    Role,
    Tick,
    TransferLeadership,
)
from ibisshunt.coordination.consensus.membership import needs_to_join
from tests.components.storage.memory_files import CrashError, MemoryFiles

TICK_SECONDS = 0.05
SETTINGS = ConsensusSettings(
    max_batch_entries=3,
    max_batch_bytes=64,
    max_inflight_entries=6,
    snapshot_chunk_bytes=24,
    retained_entries=4,
    max_promotion_lag_entries=4,
)


class SimulatedHost:
    """Control host whose disk survives a crash, but whose driver does not."""

    def __init__(self, cluster, name):
        self.cluster = cluster
        self.name = name
        self.files = MemoryFiles(cluster.random)
        self.driver = None
        self.paused = False
        self.rate = 1.0
        self.clock = cluster.random.random() * 100
        self.inbox = []
        self.use_empty_disk()

    def use_empty_disk(self):
        """Replace the disk with an empty one; the host keeps its name."""
        self.driver = None
        self.cluster.disk_count += 1
        self.disk = f"d{self.cluster.disk_count}"
        self.files = MemoryFiles(self.cluster.random)

    def start(self):
        self.applied = []
        self.inbox = []
        store = LogStore(self.files)
        try:
            recovered = store.recover(self.name, lambda: self.disk)
        except CrashError:
            self.crash()
            return
        self.driver = Driver(
            store,
            recovered,
            StateMachine(self.apply, self.take_snapshot, self.restore),
            self.cluster.settings,
            self.cluster.random.random,
            self.cluster.send,
            self.answer,
            lambda: self.clock,
            snapshot_entries=self.cluster.snapshot_entries,
        )
        self.cluster.hosts_by_identity[self.driver.host] = self

    def apply(self, index, command):
        self.applied.append((index, command.decode()))
        self.cluster.check_applied(index, command.decode())
        return b"reply to " + command

    def take_snapshot(self):
        return json.dumps(self.applied).encode()

    def restore(self, data):
        self.applied = [tuple(pair) for pair in json.loads(data)]
        for index, command in self.applied:
            self.cluster.check_applied(index, command)

    def answer(self, request_id, result):
        self.cluster.handle_answer(request_id, result)

    def step(self, *events):
        """Process one batch; a crash during it loses data that was not synced."""
        if self.driver is None or self.paused:
            return
        batch = [Tick(), *[Received(envelope) for envelope in self.inbox], *events]
        self.inbox = []
        try:
            self.driver.step(batch, self.clock)
        except CrashError:
            self.crash()
            return
        self.cluster.check_leader(self)

    def crash(self):
        self.driver = None
        self.files.crash()


class SimulatedCluster:
    """Cluster under test with the invariants that must hold at every step."""

    def __init__(self, count, seed=0, settings=SETTINGS, snapshot_entries=10):
        self.random = random.Random(seed)
        batch = self.random.randint(1, settings.max_batch_entries)
        self.settings = replace(settings, max_batch_entries=batch)
        self.snapshot_entries = snapshot_entries
        self.disk_count = 0
        self.hosts_by_identity = {}
        self.network = []
        self.groups = {}
        self.loss = 0.0
        self.doubling = 0.0
        self.last_request_id = 0
        self.leaders = {}
        self.committed = {}
        self.proposed = {}
        self.accepted = {}
        self.refused = set()
        self.unknown = set()
        self.reads = {}
        self.read_indexes = {}
        self.hosts = [SimulatedHost(self, f"c{number + 1}") for number in range(count)]
        for host in self.hosts:
            host.start()

    def found(self, count=None):
        """Bootstrap the cluster with the first ``count`` hosts, by default all."""
        initial_hosts = self.hosts[:count]
        members = tuple(Member(host.driver.host, "", True) for host in initial_hosts)
        self.hosts[0].step(BootstrapCluster("k", Membership(members)))

    # The network.

    def send(self, envelope):
        if self.random.random() < self.loss:
            return
        self.network.append(envelope)
        if self.random.random() < self.doubling:
            self.network.append(envelope)

    def partition(self, *groups):
        """Partition the network into groups of hosts; without groups, heal it."""
        self.groups = {
            name: group for group, names in enumerate(groups) for name in names
        }

    def can_reach(self, sender, receiver):
        groups = self.groups
        return groups.get(sender.name, -1) == groups.get(receiver.name, -1)

    def run(self, seconds, reorder=False):
        """Advance each host's clock at its own rate and deliver messages."""
        for _ in range(int(seconds / TICK_SECONDS)):
            self.deliver(reorder)
            for host in self.hosts:
                host.clock += TICK_SECONDS * host.rate
                host.step()
        self.admit_new_hosts()

    def storm(self, steps, crash_rate=0.03, delivery_rate=0.5):
        """Run random operations on random hosts, each with its own clock.

        In each step a random host receives some of its messages, reordered and
        sometimes duplicated. The host may crash at one of its next writes.
        """
        clock_jump_rate = self.random.choice((0.01, 0.05, 0.2))
        isolation_rate = self.random.choice((0.005, 0.02, 0.05))
        paused = []
        for _ in range(steps):
            if self.random.random() < isolation_rate:
                paused = self.isolate_minority()
            host = self.random.choice(self.hosts)
            if host.driver is None and self.random.random() < 0.3:
                host.start()
            if host in paused or host.driver is None:
                continue
            if self.groups.get(host.name) is None:
                # The clocks of partitioned hosts do not advance, so that these hosts
                # detect the partition last.
                host.clock += self.random.choice((0.0, 0.0, 0.05, 0.05, 0.1))
                host.clock += 3.0 if self.random.random() < clock_jump_rate else 0.0
            if self.random.random() < crash_rate:
                host.files.crash_after = self.random.randint(0, 3)
            self.receive_random_messages(host, delivery_rate)
            self.run_random_operation(host)
            del self.network[:-200]
            self.check_all()
        self.partition()

    def isolate_minority(self):
        """Pause or partition another minority, so that the majority changes."""
        size = self.random.randint(0, len(self.hosts) // 2)
        isolated = self.random.sample(self.hosts, size)
        if self.random.random() < 0.5:
            self.partition()
            return isolated
        self.partition([host.name for host in isolated])
        if self.random.random() < 0.5:
            # Long enough for the others to elect a leader unknown to these hosts.
            rates = [host.rate for host in isolated]
            for host in isolated:
                host.rate = 0.0
            self.run(3.0)
            for host, rate in zip(isolated, rates, strict=True):
                host.rate = rate
        return []

    def run_random_operation(self, host):
        """Run one random operation on a host."""
        chance = self.random.random()
        if chance < 0.2:
            self.propose(host)
        elif chance < 0.3:
            self.read(host)
        elif chance < 0.31:
            host.step(TransferLeadership())
        elif chance < 0.33 and self.may_lose_disk():
            self.replace(host)
        elif chance < 0.4:
            self.admit_new_hosts()
        else:
            host.step()

    def receive_random_messages(self, host, rate):
        """Move some of the messages for a host into its inbox."""
        self.random.shuffle(self.network)
        remaining = []
        for envelope in self.network:
            sender = self.hosts_by_identity[envelope.sender]
            is_addressed = envelope.receiver == host.driver.host
            if (
                not is_addressed
                or not self.can_reach(sender, host)
                or self.random.random() > rate
            ):
                remaining.append(envelope)
                continue
            host.inbox.append(envelope)
            if self.random.random() < 0.1:
                remaining.append(envelope)
        self.network = remaining

    def deliver(self, reorder=False):
        envelopes, self.network = self.network, []
        if reorder:
            self.random.shuffle(envelopes)
            split = self.random.randint(0, len(envelopes))
            self.network, envelopes = envelopes[split:], envelopes[:split]
        for envelope in envelopes:
            sender = self.hosts_by_identity.get(envelope.sender)
            receiver = self.hosts_by_identity.get(envelope.receiver)
            is_running = receiver is not None and receiver.driver is not None
            if not is_running or receiver.driver.host != envelope.receiver:
                continue
            if sender is None or self.can_reach(sender, receiver):
                receiver.inbox.append(envelope)

    # Client operations.

    def propose(self, host):
        self.last_request_id += 1
        self.proposed[self.last_request_id] = f"v{self.last_request_id}"
        host.step(Propose(self.last_request_id, f"v{self.last_request_id}".encode()))
        return self.last_request_id

    def read(self, host):
        self.last_request_id += 1
        newest = max((index for index, _ in self.accepted.values()), default=0)
        newest = max([newest, *self.read_indexes.values()])
        self.reads[self.last_request_id] = newest
        host.step(Read(self.last_request_id))
        return self.last_request_id

    def replace(self, host):
        """Restart a host under its old name with an empty disk."""
        host.use_empty_disk()
        host.start()

    def may_lose_disk(self):
        """Return whether all voters of the latest membership still have their disks."""
        if any(host.driver is None for host in self.hosts):
            return False
        newest = max(
            (host.driver.state for host in self.hosts), key=lambda s: s.commit_index
        )
        members = newest.log.membership_at(newest.commit_index).members
        disks = {host.driver.host for host in self.hosts}
        return disks == {member.host for member in members if member.voter}

    def admit_new_hosts(self):
        for host in self.hosts:
            if host.driver is not None and needs_to_join(host.driver.state):
                self.admit(host)

    def admit(self, host):
        leader = self.find_leader()
        if leader is None or host.driver is None or not self.can_reach(host, leader):
            return
        members = leader.driver.state.log.membership.members
        if host.driver.host not in {member.host for member in members}:
            leader.step(AddLearner(0, host.driver.host, ""))

    def remove_member(self, identity):
        self.last_request_id += 1
        self.find_leader().step(RemoveMember(self.last_request_id, identity))
        return self.last_request_id

    def transfer(self):
        self.find_leader().step(TransferLeadership())

    def handle_answer(self, request_id, result):
        if request_id in self.reads:
            if is_successful(result):
                index = result.unwrap()
                # Linearizability: a read returns all commands that were accepted, or
                # returned by another read, before it started.
                assert index >= self.reads[request_id], "stale read"
                self.read_indexes[request_id] = index
            else:
                self.refused.add(request_id)
            return
        if request_id not in self.proposed:
            if not is_successful(result) and request_id:
                self.refused.add(request_id)
            return
        command = self.proposed[request_id]
        if is_successful(result):
            indexes = [i for i, value in self.committed.items() if value == command]
            assert len(indexes) == 1, "accepted command was not applied exactly once"
            assert result.unwrap() == b"reply to " + command.encode()
            self.accepted[request_id] = (indexes[0], command)
        elif isinstance(result.failure(), NotAccepted):
            self.refused.add(request_id)
        else:
            self.unknown.add(request_id)

    # Invariants.

    def check_applied(self, index, command):
        committed = self.committed.setdefault(index, command)
        assert committed == command, f"index {index} held {committed}, now {command}"

    def check_leader(self, host):
        state = host.driver.state
        if state.role is Role.LEADER:
            leader = self.leaders.setdefault(state.term, host.driver.host)
            assert leader == host.driver.host, f"two leaders in term {state.term}"

    def check_all(self):
        sequences = [host.applied for host in self.hosts if host.driver is not None]
        longest = max(sequences, key=len, default=[])
        for sequence in sequences:
            assert sequence == longest[: len(sequence)], (
                "applied commands are not a prefix of the longest log"
            )
        values = [command for _, command in longest]
        assert len(values) == len(set(values)), "a command was applied twice"
        for request_id in self.refused & self.proposed.keys():
            assert self.proposed[request_id] not in self.committed.values()

    def find_leader(self):
        leaders = [
            host
            for host in self.hosts
            if host.driver is not None
            and not host.paused
            and host.driver.state.role is Role.LEADER
        ]
        return max(leaders, key=lambda host: host.driver.state.term, default=None)

    def settle(self):
        """Remove all faults, start every host and check that all hosts converge."""
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
            request_id = self.propose(leader)
            self.run(1.0)
            if request_id in self.accepted:
                break
        else:
            raise AssertionError(
                "healed cluster accepted no command within 60 attempts, expected one"
            )
        for _ in range(60):
            self.run(1.0)
            if self.has_converged():
                break
        else:
            raise AssertionError("hosts did not converge within 60 s")
        self.check_all()

    def has_converged(self):
        """Return whether every host is a voter and applied all accepted commands."""
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
            for accepted in self.accepted.values()
        )
