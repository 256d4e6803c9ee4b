"""Replicate a record store over a transport, disk and clock of one's own.

Run ``python -m examples.replicated_store``: three hosts elect a leader, accept a
record, lose the leader and accept another one. The example needs no gevent or gRPC.
"""

import json
import random
from collections import deque

from ibisshunt.coordination import (
    ChangeRecords,
    RecordStore,
    consensus,
    decode_command,
    encode_command,
    parse_document,
)

NAMES = ("a/1", "b/1", "c/1")
TICK_SECONDS = 0.05


class Host:
    """Own the state, disk and store of one host."""

    def __init__(self, name: str, rng: random.Random) -> None:
        self.name = name
        self.state = consensus.make_state(
            name, consensus.ConsensusSettings(), rng.random, now=0.0
        )
        self.store = RecordStore()
        self.disk: list[object] = []
        self.applied = 0

    def step(self, event: object, now: float, network: deque) -> None:
        """Handle one event and execute its outputs in this order."""
        consensus.handle(self.state, event, now)
        while (out := consensus.collect(self.state, now)) != consensus.Outputs():
            # On a real host: write these to a file and fsync it before the second send.
            self.disk += [out.hard_state, *out.entries]
            network.extend(out.messages)
            log = self.state.log
            synced = consensus.Synced(log.last_index, log.last_term)
            consensus.handle(self.state, synced, now)
            network.extend(out.messages_after_sync)
            self.apply()

    def apply(self) -> None:
        """Apply the committed commands, in the same order on every host."""
        while self.applied < self.state.commit_index:
            self.applied += 1
            entry = self.state.log.get(self.applied)
            if entry.kind is consensus.EntryKind.COMMAND:
                command = decode_command(entry.command).unwrap()
                self.store.apply(entry.index, command)


class Cluster:
    """Deliver envelopes between hosts; a real transport may lose and reorder them."""

    def __init__(self) -> None:
        rng = random.Random(1)
        self.hosts = {name: Host(name, rng) for name in NAMES}
        self.network: deque = deque()
        self.now = 0.0
        members = tuple(consensus.Member(name, "", voter=True) for name in NAMES)
        event = consensus.BootstrapCluster("cluster-1", consensus.Membership(members))
        self.step(self.hosts[NAMES[0]], event)

    def step(self, host: Host, event: object) -> None:
        """Pass one event to a host and deliver all resulting messages."""
        host.step(event, self.now, self.network)
        while self.network:
            envelope = self.network.popleft()
            if receiver := self.hosts.get(envelope.receiver):
                receiver.step(consensus.Received(envelope), self.now, self.network)

    def wait_for_leader(self) -> Host:
        """Advance the clock until a host is leader; raise SystemExit after 20 s."""
        for _ in range(400):
            self.now += TICK_SECONDS
            for host in list(self.hosts.values()):
                self.step(host, consensus.Tick())
            for host in self.hosts.values():
                if host.state.role is consensus.Role.LEADER:
                    return host
        raise SystemExit("no leader was elected")


def make_change(operation: str, record: dict) -> bytes:
    """Return the command that puts one record."""
    parsed = parse_document(json.dumps(record)).unwrap()
    return encode_command(ChangeRecords(operation, "", True, 1000.0, (parsed,)))


def main() -> None:
    """Put one record before and one after the loss of the leader."""
    cluster = Cluster()
    for operation, name in enumerate(("marea", "kai-heap")):
        leader = cluster.wait_for_leader()
        record = {"kind": "business", "schema": 1, "name": name}
        command = make_change(str(operation), record)
        cluster.step(leader, consensus.Propose(operation, command))
        cluster.wait_for_leader()
        if operation == 0:
            print(f"{leader.name} accepted {name}; now it is lost")
            del cluster.hosts[leader.name]
    for _ in range(10):
        cluster.wait_for_leader()
    for name, host in cluster.hosts.items():
        names = [stored.record.name for stored in host.store.list_records()]
        print(f"{name} revision={host.store.revision} records={names}")


if __name__ == "__main__":
    main()
