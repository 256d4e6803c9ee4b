"""Measure the control host: cost of records, changes, streams, leases and restarts.

Run ``python -m measurements.control``; it prints JSON and takes under a minute.
"""

from gevent import monkey

monkey.patch_all()

import grpc.experimental.gevent as grpc_gevent

grpc_gevent.init_gevent()

import gc
import json
import statistics
import subprocess
import sys
import time
import tracemalloc
from contextlib import ExitStack
from dataclasses import replace
from pathlib import Path
from tempfile import TemporaryDirectory

import gevent
from gevent.pool import Pool
from returns.pipeline import is_successful

from ibisshunt.components.consensus import ReplicatedLogOptions
from ibisshunt.components.control import setup
from ibisshunt.components.control.state import ControlState
from ibisshunt.coordination.distribution.receiver import ActiveConfiguration, receive
from ibisshunt.coordination.distribution.sender import Sender
from ibisshunt.coordination.records.commands import (
    AnnounceTarget,
    ChangeRecords,
    encode_command,
)
from ibisshunt.coordination.records.documents import parse_document
from ibisshunt.core import Kernel
from ibisshunt.model.address import Address
from ibisshunt.model.target import Announcement
from ibisshunt.protocol.codec import encode
from ibisshunt.protocol.messages import (
    ANNOUNCE,
    APPLY,
    AnnounceRequest,
    ApplyRequest,
)
from ibisshunt.protocol.rpc import Channel
from ibisshunt.settings import ControlSettings

SERVICES = 1_000
TARGETS_EACH = 6
SUBSCRIBERS = 100
# gRPC under gevent polls with 32 threads a process: with more channels than that a
# message may wait until the next one comes.
SUBSCRIBER_PROCESSES = 5
CHANGES = 50
RESTART_CHANGES = 1_000
ADMIN_TOKEN_HASH = "0" * 64


def make_service(number, slots=1):
    """Return the text of a service."""
    return json.dumps(
        {
            "kind": "service",
            "schema": 1,
            "business": "marea",
            "name": f"service-{number}",
            "address": f"127.1.{number // 250}.{1 + number % 250}",
            "port": 8080,
            "protocol": "tcp",
            "callers": ["127.0.0.0/8"],
            "slots": slots,
        }
    )


BUSINESS = json.dumps({"kind": "business", "schema": 1, "name": "marea"})


def make_change(operation, *documents):
    """Return a change of records."""
    changes = tuple(parse_document(text).unwrap() for text in documents)
    return ChangeRecords(operation, ADMIN_TOKEN_HASH, True, 1000.0, changes)


def make_announcement(service, number):
    """Return an announcement of one target."""
    return Announcement(
        "marea",
        f"service-{service}",
        f"target-{number}",
        "session",
        f"host-{service}-{number}",
        f"domain-{number}",
        packets=Address("127.0.0.1", 10_000 + number),
        streams=Address("127.0.0.1", 20_000 + number),
        tunnel=Address("127.0.0.1", 30_000 + number),
    )


def fill(state, services, targets):
    """Put services and targets into the state; return the commands."""
    commands = [make_change("setup", BUSINESS)]
    for number in range(services):
        commands.append(make_change(f"s{number}", make_service(number)))
    for number in range(services):
        for place in range(targets):
            announced = make_announcement(number, place)
            commands.append(AnnounceTarget(announced, False, 1000.0))
    data = [encode_command(command) for command in commands]
    for index, command in enumerate(data, start=1):
        state.apply(index, command)
    return data


def measure_time(run, repeat):
    """Return CPU seconds of one run, the median of several."""
    found = []
    for _ in range(repeat):
        start = time.process_time()
        run()
        found.append(time.process_time() - start)
    return statistics.median(found)


def measure_memory():
    """Return bytes for each 1,000 records, and for each 1,000 targets."""
    gc.collect()
    tracemalloc.start()
    start = tracemalloc.get_traced_memory()[0]
    records = ControlState()
    fill(records, SERVICES, 0)
    gc.collect()
    middle = tracemalloc.get_traced_memory()[0]
    both = ControlState()
    fill(both, SERVICES, 1)
    gc.collect()
    end = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        "bytes_per_1000_records": middle - start,
        "bytes_per_1000_targets": (end - middle) - (middle - start),
    }


def measure_changes():
    """Return bytes and CPU of one change, at the sender and at a node."""
    state = ControlState()
    index = len(fill(state, SERVICES, TARGETS_EACH))
    before = state.sender.configuration.revision
    snapshot = state.sender.make_update(0)
    changes = iter(range(10_000))

    def change_once():
        nonlocal index
        index += 1
        number = next(changes)
        text = make_service(number % SERVICES, slots=2 + number)
        state.apply(index, encode_command(make_change(f"c{index}", text)))

    apply_cpu = measure_time(change_once, 50)
    since = state.store.revision - 1
    delta = state.sender.make_update(since)
    received = receive(ActiveConfiguration(), state.sender.make_update(0)).active
    held = replace(received.configuration, revision=since)
    heartbeat = state.sender.make_update(state.store.revision)
    empty = Sender().make_update(0)
    return {
        "services": SERVICES,
        "targets": SERVICES * TARGETS_EACH,
        "snapshot_bytes": len(encode(snapshot)),
        "delta_bytes": len(encode(delta)),
        "heartbeat_bytes": len(encode(heartbeat)),
        "empty_bytes": len(encode(empty)),
        "control_cpu_ms_per_change": apply_cpu * 1e3,
        "control_cpu_ms_per_snapshot_encoding": measure_time(
            lambda: encode(snapshot), 5
        )
        * 1e3,
        "node_cpu_ms_per_delta": measure_time(
            lambda: receive(replace(received, configuration=held), delta), 20
        )
        * 1e3,
        "node_cpu_ms_per_snapshot": measure_time(
            lambda: receive(ActiveConfiguration(), snapshot), 3
        )
        * 1e3,
        "revisions": state.store.revision - before,
    }


class Service:
    """Run one control host on a temporary folder."""

    def __init__(self, folder, options=None):
        self.kernel = Kernel()
        loopback = Address("127.0.0.1", 0)
        settings = ControlSettings("c1", "east", loopback, loopback, folder)
        self.control = setup(self.kernel, settings, options)
        self.channel = Channel(self.control.address)
        assert is_successful(self.control.host.log.read_barrier(20.0))

    def propose(self, command):
        """Propose a command on this host."""
        self.control.host.log.propose(encode_command(command), 20.0).unwrap()

    def apply(self, operation, *documents):
        """Apply records and return the revision."""
        reply = self.channel.call(APPLY, ApplyRequest(operation, documents))
        assert not any(found.error for found in reply.outcomes), reply
        return reply.revision

    def stop(self):
        """Stop the host."""
        self.channel.close()
        self.kernel.stop()


def write_changes(service):
    """Make many changes over the log, several at a time."""
    setup_commands = [make_change("setup", BUSINESS)] + [
        make_change(f"s{number}", make_service(number)) for number in range(100)
    ]
    for command in setup_commands:
        service.propose(command)
    commands = [
        make_change(f"r{number}", make_service(number % 100, slots=2 + number))
        for number in range(RESTART_CHANGES)
    ]
    Pool(20).map(service.propose, commands)


def measure_restart(folder, snapshot_entries):
    """Return seconds from start to serving again after many changes."""
    options = ReplicatedLogOptions(snapshot_entries=snapshot_entries)
    service = Service(folder, options)
    start = time.monotonic()
    write_changes(service)
    written = time.monotonic() - start
    revision = service.control.host.state.store.revision
    service.stop()
    start, cpu_start = time.monotonic(), time.process_time()
    service = Service(folder, options)
    served = time.monotonic() - start
    cpu = time.process_time() - cpu_start
    assert service.control.host.state.store.revision == revision
    service.stop()
    data = sum(found.stat().st_size for found in Path(folder).iterdir())
    return {
        "changes": RESTART_CHANGES,
        "seconds_to_write": written,
        "folder_bytes": data,
        "seconds_until_it_leads_and_serves": served,
        "cpu_seconds": cpu,
    }


def start_subscribers(address):
    """Start the subscriber processes."""
    count = SUBSCRIBERS // SUBSCRIBER_PROCESSES
    return [
        subprocess.Popen(
            [
                sys.executable,
                "-m",
                "measurements.control_subscribers",
                str(address),
                str(count),
                f"p{process}",
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for process in range(SUBSCRIBER_PROCESSES)
    ]


def wait_for_streams(service):
    """Wait until all subscribers watch."""
    deadline = time.monotonic() + 20
    while service.control.watches.stream_count < SUBSCRIBERS:
        assert time.monotonic() < deadline, "subscribers did not come"
        gevent.sleep(0.1)


def measure_streams(folder):
    """Return the time until a change is in force on all subscribers, and its cost."""
    service = Service(folder)
    fast = json.dumps({**json.loads(BUSINESS), "changes_per_minute": 60_000})
    service.apply("setup", fast, *(make_service(number) for number in range(22)))
    processes = start_subscribers(service.control.address)
    wait_for_streams(service)
    idle_start, cpu_start = time.monotonic(), time.process_time()
    gevent.sleep(6)
    idle_cpu = (time.process_time() - cpu_start) / (time.monotonic() - idle_start)
    accepted, cpu_start = {}, time.process_time()
    for number in range(CHANGES):
        sent = time.monotonic()
        revision = service.apply(f"c{number}", make_service(number % 22, 2 + number))
        accepted[revision] = (sent, time.monotonic())
        gevent.sleep(0.02)
    gevent.sleep(1)
    change_cpu = time.process_time() - cpu_start
    outputs = [json.loads(found.communicate(timeout=10)[0]) for found in processes]
    service.stop()
    return {
        "subscribers": SUBSCRIBERS,
        "processes": SUBSCRIBER_PROCESSES,
        "idle_control_cpu_share_per_stream": idle_cpu / SUBSCRIBERS,
        "control_cpu_ms_per_change_and_stream": change_cpu
        / (CHANGES * SUBSCRIBERS)
        * 1e3,
        **summarize_in_force(accepted, outputs),
    }


def summarize_in_force(accepted, outputs):
    """Return quantiles of the time until the last subscriber had each change."""
    nodes = [found for output in outputs for found in output["in_force"]]
    whole, after, missing = [], [], 0
    for revision, (sent, answered) in accepted.items():
        # A node that took two changes at once has the first in force as well.
        times = [
            min(
                (at for seen, at in node.items() if int(seen) >= revision), default=None
            )
            for node in nodes
        ]
        missing += times.count(None)
        if None not in times:
            whole.append(max(times) - sent)
            after.append(max(times) - answered)
    updates = sum(output["updates"] for output in outputs)
    cpu = sum(output["cpu_seconds"] for output in outputs)
    return {
        "changes": len(accepted),
        "not_in_force": missing,
        "in_force_everywhere_ms_median": statistics.median(whole) * 1e3,
        "in_force_everywhere_ms_worst": max(whole) * 1e3,
        "after_the_answer_ms_median": statistics.median(after) * 1e3,
        "subscriber_cpu_ms_per_update_with_start": cpu / updates * 1e3,
    }


def measure_renewals(folder):
    """Return the control host's CPU for one renewal of a lease."""
    service = Service(folder)
    service.apply("setup", BUSINESS, make_service(0))
    announced = make_announcement(0, 0)
    request = AnnounceRequest(announced)
    service.channel.call(ANNOUNCE, request)
    start = time.process_time()
    for _ in range(500):
        service.channel.call(ANNOUNCE, request)
    both_ends = (time.process_time() - start) / 500
    start = time.process_time()
    for _ in range(500):
        service.control.leases.handle_announce(request, None)
    handler = (time.process_time() - start) / 500
    service.stop()
    return {
        "cpu_ms_per_renewal_both_ends": both_ends * 1e3,
        "cpu_ms_per_renewal_handler_alone": handler * 1e3,
    }


def main():
    """Measure all and print JSON."""
    with ExitStack() as stack:
        folders = [stack.enter_context(TemporaryDirectory()) for _ in range(4)]
        result = {
            "memory": measure_memory(),
            "changes": measure_changes(),
            "restart_from_log": measure_restart(folders[0], 1_000_000),
            "restart_from_snapshot": measure_restart(folders[1], 500),
            "streams": measure_streams(folders[2]),
            "renewals": measure_renewals(folders[3]),
        }
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
