"""Replicate a record store over the embedder's own transport, disk and clock.

Run ``python -m examples.replicated_store``: three hosts elect a leader, accept a
record, lose the leader and accept another one. Nothing here needs gevent or gRPC.
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

    def __init__(self, name: str, draw: random.Random) -> None:
        self.name = name
        self.state = consensus.make_state(
            name, consensus.ConsensusSettings(), draw.random, now=0.0
        )
        self.store = RecordStore()
        self.disk: list[object] = []
        self.applied = 0

    def step(self, event: object, now: float, network: deque) -> None:
        """Take one event and carry out, in this order, what it asks for."""
        consensus.handle(self.state, event, now)
        while (out := consensus.collect(self.state, now)) != consensus.Outputs():
            # On real hosts: write these to a file, and fsync it before the promises.
            self.disk += [out.hard, *out.entries]
            network.extend(out.messages)
            log = self.state.log
            synced = consensus.Synced(log.last_index, log.last_term)
            consensus.handle(self.state, synced, now)
            network.extend(out.promises)
            self.apply()

    def apply(self) -> None:
        """Apply what is committed: the same commands in the same order everywhere."""
        while self.applied < self.state.commit:
            self.applied += 1
            entry = self.state.log.get(self.applied)
            if entry.kind is consensus.EntryKind.COMMAND:
                command = decode_command(entry.command).unwrap()
                self.store.apply(entry.index, command)


class Cluster:
    """Carry envelopes between hosts; a real transport may lose and reorder them."""

    def __init__(self) -> None:
        draw = random.Random(1)
        self.hosts = {name: Host(name, draw) for name in NAMES}
        self.network: deque = deque()
        self.now = 0.0
        members = tuple(consensus.Member(name, "", voter=True) for name in NAMES)
        found = consensus.Found("cluster-1", consensus.Membership(members))
        self.step(self.hosts[NAMES[0]], found)

    def step(self, host: Host, event: object) -> None:
        """Give one event to a host and deliver what follows from it."""
        host.step(event, self.now, self.network)
        while self.network:
            envelope = self.network.popleft()
            if receiver := self.hosts.get(envelope.receiver):
                receiver.step(consensus.Received(envelope), self.now, self.network)

    def wait_for_leader(self) -> Host:
        """Let time go on until one host leads."""
        for _ in range(400):
            self.now += TICK_SECONDS
            for host in list(self.hosts.values()):
                self.step(host, consensus.Tick())
            for host in self.hosts.values():
                if host.state.role is consensus.Role.LEADER:
                    return host
        raise SystemExit("no leader was elected")


def change(operation: str, record: dict) -> bytes:
    """Return the command that puts one record."""
    parsed = parse_document(json.dumps(record)).unwrap()
    return encode_command(ChangeRecords(operation, "", True, 1000.0, (parsed,)))


def main() -> None:
    """Accept two records around the loss of the leader."""
    cluster = Cluster()
    for operation, name in enumerate(("marea", "kai-heap")):
        leader = cluster.wait_for_leader()
        record = {"kind": "business", "schema": 1, "name": name}
        command = change(str(operation), record)
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
