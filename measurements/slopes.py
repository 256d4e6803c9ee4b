"""Measure how bytes, memory and time of the decisions grow with the size.

Run ``python -m measurements.slopes``; it prints JSON and takes under a minute. Times
are processor milliseconds, the best of two; bytes of memory are taken with tracemalloc.
"""

import gc
import json
import time
import tracemalloc

from ibisshunt.coordination.distribution.receiver import ActiveConfiguration, receive
from ibisshunt.coordination.distribution.sender import Sender
from ibisshunt.coordination.flows.router import Router
from ibisshunt.coordination.flows.table import ServiceTable
from ibisshunt.coordination.membership.leases import LeaseBook
from ibisshunt.coordination.records.snapshot import take_snapshot
from ibisshunt.model.configuration import Configuration, ConfigurationUpdate
from ibisshunt.protocol.codec import decode, encode
from ibisshunt.protocol.messages import (
    AnnounceReply,
    AnnounceRequest,
    NodeStatus,
    ReportReply,
    ReportRequest,
    StatusReply,
    TargetStatus,
    WatchRequest,
)

from .configurations import fill_store, make_slice, make_slices

SERVICES = (110, 330, 1100)
TARGETS_EACH = (2, 6, 18)
TARGETS = (400, 1600, 6400)
NODES = (450, 1800, 7250)
ROUNDS = 2
NOW = 1000.0


def measure_milliseconds(run):
    """Return the processor milliseconds of one run, the best of two."""
    found = []
    for _ in range(ROUNDS):
        began = time.process_time()
        run()
        found.append(time.process_time() - began)
    return min(found) * 1000


def measure_bytes(build):
    """Return the bytes of memory that a call leaves allocated, and its result."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    built = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before, built


def make_sender(slices):
    """Return a sender that holds the slices."""
    sender = Sender()
    sender.advance(Configuration(1, slices))
    return sender


def take_in(data):
    """Put a snapshot in force as a balancer does; it fills buckets when asked."""
    received = receive(
        ActiveConfiguration(), decode(data, ConfigurationUpdate).unwrap()
    ).active
    router = Router()
    router.update(received.configuration, NOW)
    return received, router


def measure_configuration(services, targets):
    """Report what a whole configuration costs its sender and a balancer."""
    update = make_sender(make_slices(services, targets)).make_update(0)
    data = encode(update)
    memory, _ = measure_bytes(lambda: take_in(data))
    return {
        "services": services,
        "targets_each": targets,
        "snapshot_bytes": len(data),
        "encode_ms": measure_milliseconds(lambda: encode(update)),
        "decode_and_check_ms": measure_milliseconds(
            lambda: receive(
                ActiveConfiguration(), decode(data, ConfigurationUpdate).unwrap()
            )
        ),
        "balancer_bytes": memory,
        "balancer_take_in_ms": measure_milliseconds(lambda: take_in(data)),
    }


def measure_change(targets):
    """Report what one change of one service costs."""
    slices = make_slices(100, targets)
    sender = make_sender(slices)
    changed = make_slice(1, targets, revision=2)
    after = {**slices, 1: changed}

    def advance():
        sender.advance(Configuration(2, {**after}))

    advance_ms = measure_milliseconds(advance)
    delta = encode(sender.make_update(1))
    router = Router()
    router.update(Configuration(1, slices), NOW)
    sides = iter([Configuration(2, after), Configuration(1, slices)] * ROUNDS)
    return {
        "targets_each": targets,
        "delta_bytes": len(delta),
        "advance_ms": advance_ms,
        "balancer_rebuild_ms": measure_milliseconds(
            lambda: router.update(next(sides), NOW)
        ),
        "all_first_choices_ms": measure_milliseconds(
            lambda: ServiceTable(changed, NOW).list_first_incarnations()
        ),
    }


def measure_control(targets):
    """Report what targets cost a control host: records, snapshot and leases."""
    memory, store = measure_bytes(lambda: fill_store(targets))
    found = store.list_targets()
    lease_bytes, book = measure_bytes(LeaseBook)
    lease_bytes, _ = measure_bytes(lambda: book.reset(found, NOW))

    def renew_all():
        for target in found:
            book.renew(target.incarnation, 10, NOW + 1)

    return {
        "targets": targets,
        "services": len(store.slices),
        "store_bytes": memory,
        "log_snapshot_bytes": len(take_snapshot(store)),
        "log_snapshot_ms": measure_milliseconds(lambda: take_snapshot(store)),
        "lease_bytes": lease_bytes,
        "lease_sweep_ms": measure_milliseconds(lambda: book.sweep(NOW + 1)),
        "lease_track_ms": measure_milliseconds(lambda: book.track(found, NOW + 1)),
        "renew_all_ms": measure_milliseconds(renew_all),
        "configuration_ms": measure_milliseconds(lambda: store.configuration),
    }


def measure_status(nodes):
    """Report the bytes and time of a status of the whole system."""
    reply = StatusReply(
        7,
        "c1",
        (),
        tuple(
            TargetStatus(f"business/service-{n % 1100}", f"target-{n}", "ready", n, 9)
            for n in range(nodes)
        ),
        tuple(NodeStatus(f"node-{n}", "agent", 7, 0.5) for n in range(nodes)),
    )
    data = encode(reply)
    return {
        "nodes": nodes,
        "reply_bytes": len(data),
        "encode_ms": measure_milliseconds(lambda: encode(reply)),
        "decode_ms": measure_milliseconds(lambda: decode(data, StatusReply).unwrap()),
    }


def measure_messages():
    """Report the bytes of the messages that every node exchanges while idle."""
    target = make_slice(1, 1).targets[0]
    heartbeat = make_sender(make_slices(10, 2)).make_update(1)
    return {
        "watch_request": len(encode(WatchRequest("balancer-17", 5))),
        "heartbeat": len(encode(heartbeat)),
        "report": len(encode(ReportRequest("balancer-17", "balancer", 12_345))),
        "report_reply": len(encode(ReportReply(12_345))),
        "announce": len(encode(AnnounceRequest(target.announcement, False, 2500))),
        "announce_reply": len(encode(AnnounceReply(6400, 6.0))),
    }


def main():
    """Measure all sizes and print JSON."""
    result = {
        "by_services": [measure_configuration(count, 6) for count in SERVICES],
        "by_targets_each": [measure_configuration(100, each) for each in TARGETS_EACH],
        "change": [measure_change(each) for each in TARGETS_EACH],
        "control": [measure_control(count) for count in TARGETS],
        "status": [measure_status(count) for count in NODES],
        "message_bytes": measure_messages(),
    }
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
