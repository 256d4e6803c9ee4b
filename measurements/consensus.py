"""Measure the replicated log: accepted entries, latency by part, restart, idle cost.

Run: python measurements/consensus.py [--seconds 3]. Prints JSON. All hosts of a cluster
run in this one process on loopback, so the rates of 3 and 5 hosts share one core;
ratios are against one host in the same run.
"""

from gevent import monkey

monkey.patch_all()

import grpc.experimental.gevent as grpc_gevent

grpc_gevent.init_gevent()

import argparse
import json
import tempfile
import time
from pathlib import Path

import gevent
from absl import logging
from returns.pipeline import is_successful

from ibisshunt.components.consensus import (
    ReplicatedLogOptions,
    StateMachine,
    make_handlers,
    setup,
)
from ibisshunt.components.consensus.handlers import EXCHANGE, FORWARD, HELLO
from ibisshunt.core import Kernel
from ibisshunt.model.address import Address
from ibisshunt.protocol.rpc import Server
from ibisshunt.settings import ControlSettings

COMMAND_BYTES = 512
CALLERS = (1, 64)
NEVER = 1 << 60


class Host:
    """One control host in this process."""

    def __init__(self, name, folder, options):
        self.name = name
        self.folder = folder
        self.options = options
        self.log = None
        handlers = {kind: self.bind(kind) for kind in (EXCHANGE, FORWARD, HELLO)}
        self.server = Server(Address("127.0.0.1", 0), handlers, workers=64)

    def bind(self, kind):
        """Return a handler that finds the log once it is there."""
        return lambda request, context: self.handlers[kind](request, context)

    def start(self, hosts):
        """Recover the log and take part."""
        peers = {host.name: host.server.address for host in hosts if host is not self}
        settings = ControlSettings(
            self.name,
            "moin-a",
            self.server.address,
            self.server.address,
            str(self.folder),
            peers,
        )
        self.kept = []
        machine = StateMachine(self.apply, self.take_snapshot, self.restore)
        self.kernel = Kernel()
        self.log = setup(self.kernel, settings, machine, self.options)
        self.handlers = make_handlers(self.log)
        self.server.start()
        self.log.start()

    def apply(self, index, command):
        """Keep the command."""
        self.kept.append(command)
        return b""

    def take_snapshot(self):
        """Return all commands."""
        return b"".join(self.kept)

    def restore(self, data):
        """Take over a snapshot."""
        self.kept = [data]

    def stop(self):
        """Stop the log, then the server."""
        self.kernel.stop()
        self.server.stop(0.1)


def start_hosts(count, folder, options):
    """Return the hosts and the leader, once it accepts."""
    hosts = [
        Host(f"c{i + 1}", folder / f"{count}-c{i + 1}", options) for i in range(count)
    ]
    for host in hosts:
        host.start(hosts)
    with gevent.Timeout(20):
        while not any(host.log.is_leading() for host in hosts):
            gevent.sleep(0.05)
    leader = next(host for host in hosts if host.log.is_leading())
    leader.log.propose(b"first", 10.0).unwrap()
    return hosts, leader


def percentile(values, share):
    """Return the value that a share of all values stays below."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def describe(values):
    """Return median and 99th percentile of seconds, in milliseconds."""
    return {
        "p50_ms": round(percentile(values, 0.5) * 1e3, 3),
        "p99_ms": round(percentile(values, 0.99) * 1e3, 3),
    }


def measure_rate(hosts, leader, callers, seconds):
    """Propose from a number of callers for some seconds."""
    log = leader.log
    log.driver.timings.clear()
    syncs = log.driver.sync_count
    sent = sum(host.log.links.count_sent_bytes() for host in hosts)
    totals, refused = [], [0]
    end = time.monotonic() + seconds

    def call():
        while time.monotonic() < end:
            started = time.monotonic()
            if is_successful(log.propose(b"x" * COMMAND_BYTES, 5.0)):
                totals.append(time.monotonic() - started)
            else:
                refused[0] += 1

    cpu = time.process_time()
    gevent.joinall([gevent.spawn(call) for _ in range(callers)])
    cpu = time.process_time() - cpu
    count = max(1, len(totals))
    sent = sum(host.log.links.count_sent_bytes() for host in hosts) - sent
    return {
        "callers": callers,
        "accepted_per_second": round(len(totals) / seconds, 1),
        "not_accepted": refused[0],
        "entries_per_sync": round(count / max(1, log.driver.sync_count - syncs), 2),
        "total": describe(totals),
        "sync": describe([t.sync for t in log.driver.timings]),
        "quorum": describe([t.quorum for t in log.driver.timings]),
        "apply": describe([t.apply for t in log.driver.timings]),
        "cpu_ms_per_entry_all_hosts": round(cpu / count * 1e3, 3),
        "message_bytes_per_entry_all_hosts": round(sent / count, 1),
    }


def measure_reads(hosts, seconds):
    """Confirm reads one after another on a follower."""
    host = next((host for host in hosts if not host.log.is_leading()), hosts[0])
    times = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        started = time.monotonic()
        if is_successful(host.log.read_barrier(5.0)):
            times.append(time.monotonic() - started)
    return {"from": "follower" if len(hosts) > 1 else "leader", **describe(times)}


def measure_idle(hosts, seconds):
    """Let the hosts do nothing for some seconds."""
    sent = sum(host.log.links.count_sent_bytes() for host in hosts)
    cpu = time.process_time()
    gevent.sleep(seconds)
    cpu = time.process_time() - cpu
    sent = sum(host.log.links.count_sent_bytes() for host in hosts) - sent
    return {
        "core_percent_per_host": round(100 * cpu / seconds / len(hosts), 2),
        "message_bytes_per_second_per_host": round(sent / seconds / len(hosts), 1),
    }


def measure_restart(folder, snapshot_entries, entries=1_000):
    """Fill one host, start it again, and time it."""
    options = ReplicatedLogOptions(snapshot_entries=snapshot_entries)
    folder = folder / f"restart-{snapshot_entries}"
    hosts, leader = start_hosts(1, folder, options)
    callers = [
        gevent.spawn(
            lambda: [leader.log.propose(b"x" * COMMAND_BYTES, 30.0) for _ in range(50)]
        )
        for _ in range(entries // 50)
    ]
    gevent.joinall(callers)
    leader.stop()
    size = sum(path.stat().st_size for path in leader.folder.iterdir())
    again = Host("c1", leader.folder, options)
    started = time.monotonic()
    again.start([again])
    recovered = time.monotonic() - started
    again.log.read_barrier(20.0).unwrap()
    ready = time.monotonic() - started
    snapshots = again.log.driver.state.snapshot is not None
    again.stop()
    return {
        "entries": entries,
        "with_snapshot": snapshots,
        "disk_bytes": size,
        "recovered_ms": round(recovered * 1e3, 1),
        "reads_ready_ms": round(ready * 1e3, 1),
    }


def measure_cluster(count, folder, seconds):
    """Measure one cluster of some hosts."""
    hosts, leader = start_hosts(count, folder, ReplicatedLogOptions())
    gevent.sleep(1.5)
    try:
        return {
            "hosts": count,
            "load": [measure_rate(hosts, leader, n, seconds) for n in CALLERS],
            "read_barrier": measure_reads(hosts, 1.0),
            "idle": measure_idle(hosts, 3.0),
        }
    finally:
        for host in hosts:
            host.stop()


def main():
    """Measure all and print JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=3.0)
    arguments = parser.parse_args()
    logging.set_verbosity(logging.ERROR)
    with tempfile.TemporaryDirectory(dir=".") as name:
        folder = Path(name)
        clusters = [measure_cluster(n, folder, arguments.seconds) for n in (1, 3, 5)]
        restarts = [measure_restart(folder, n) for n in (NEVER, 250)]
    alone = clusters[0]["load"][-1]["accepted_per_second"]
    for found in clusters:
        rate = found["load"][-1]["accepted_per_second"]
        found["rate_against_one_host"] = round(rate / max(alone, 0.1), 3)
    shown = {"command_bytes": COMMAND_BYTES, "clusters": clusters, "restart": restarts}
    print(json.dumps(shown, indent=2))


if __name__ == "__main__":
    main()
