"""Measure what flows, tables and decisions cost. Prints JSON.

Bytes are taken with tracemalloc, times as the best of a few rounds, decisions as
multiples of one flow hash in the same run as well.
"""

import argparse
import json
import statistics
import time
import tracemalloc

import dpkt

from ibisshunt.coordination.flows.owner import FlowOwner
from ibisshunt.coordination.flows.ranking import BUCKETS, find_bucket
from ibisshunt.coordination.flows.router import Router
from ibisshunt.coordination.flows.store import FlowStore, Owner, PointerStore
from ibisshunt.coordination.flows.table import ServiceTable
from ibisshunt.model.address import Address
from ibisshunt.model.configuration import Configuration, ServiceSlice
from ibisshunt.model.flow import Protocol
from ibisshunt.model.record import Service
from ibisshunt.model.target import Announcement, Target, TargetState
from ibisshunt.protocol.datagram import DatagramKind, Header
from ibisshunt.protocol.packet import read_packet, scan_packet

SERVICES = 1100
ENDPOINTS = 6400
FLOW_COUNTS = (10_000, 100_000, 300_000)
IDLE_SECONDS = 300.0
ROUNDS = 5
DECISIONS = 20_000


def make_slice(number: int, targets: int, first: int) -> ServiceSlice:
    """Return a service with its targets."""
    service = Service(
        f"business{number % 40}",
        f"service{number}",
        f"127.{1 + number // 65_000}.{number // 250 % 250}.{number % 250 + 1}",
        443,
        Protocol.TCP,
        ("127.3.0.0/16",),
        number=number,
    )
    return ServiceSlice(
        service,
        tuple(make_target(service, first + one) for one in range(targets)),
        revision=1,
    )


def make_target(service: Service, incarnation: int) -> Target:
    """Return a ready target."""
    address = Address("127.0.0.1", 1024 + incarnation % 60_000)
    announcement = Announcement(
        service.business,
        service.name,
        f"target{incarnation}",
        "s",
        "host",
        f"domain{incarnation % 7}",
        address,
        address,
        address,
    )
    return Target(announcement, incarnation, TargetState.READY, 0.0)


def make_configuration() -> Configuration:
    """Share 6,400 endpoints out among 1,100 services: 5 or 6 each."""
    slices, first = {}, 1
    for number in range(1, SERVICES + 1):
        size = ENDPOINTS * number // SERVICES - ENDPOINTS * (number - 1) // SERVICES
        slices[number] = make_slice(number, size, first)
        first += size
    return Configuration(1, slices)


def make_keys(count: int) -> list[bytes]:
    """Return keys as packets hold them: each is an object of its own."""
    return [b"\x06" + number.to_bytes(12, "big") for number in range(count)]


def measure_bytes(build) -> tuple[int, object]:
    """Return the bytes that a call leaves allocated, and its result."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    built = build()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before, built


def measure_flows(count: int) -> dict:
    """Report the bytes of flows and pointers and the time of a sweep."""

    def fill_flows():
        store = FlowStore(count)
        for number, key in enumerate(make_keys(count)):
            store.touch(key, 0, number / count * IDLE_SECONDS, IDLE_SECONDS)
        return store

    def fill_pointers():
        store = PointerStore(count)
        owner = Owner(1, 2, ("127.0.0.1", 3), 4)
        for number, key in enumerate(make_keys(count)):
            store.add(key, owner, IDLE_SECONDS + number / count * IDLE_SECONDS)
        return store

    used, store = measure_bytes(fill_flows)
    began = time.perf_counter()
    steps = [0.0]
    for _ in store.sweep(0.0):
        steps.append(time.perf_counter())
    sweep = time.perf_counter() - began
    pointers, _ = measure_bytes(fill_pointers)
    return {
        "flows": count,
        "bytes_per_flow": round(used / count, 1),
        "bytes_per_pointer": round(pointers / count, 1),
        "sweep_ms": round(sweep * 1000, 1),
        "sweep_steps": len(steps) - 1,
    }


def measure_tables() -> dict:
    """Report the time and bytes of the tables at the size to design for."""
    configuration = make_configuration()
    now = 1000.0

    def build():
        router = Router()
        router.update(configuration, now)
        return router

    began = time.perf_counter()
    build()
    take = time.perf_counter() - began
    bare_bytes, router = measure_bytes(build)
    tables = [route.table for route in router._routes.values()]
    began = time.perf_counter()
    for table in tables:
        table.list_first_incarnations()
    fill = time.perf_counter() - began
    one = configuration.slices[1]
    changed = ServiceSlice(one.service, one.targets[1:], 2)
    began = time.perf_counter()
    rebuilt = router.update(Configuration(2, {**configuration.slices, 1: changed}), now)
    rebuild = time.perf_counter() - began
    began = time.perf_counter()
    router._routes[1].table.list_first_incarnations()
    refill = time.perf_counter() - began
    chains, _ = measure_bytes(
        lambda: [tables[1].find_chain(bucket) for bucket in range(BUCKETS)]
    )
    return {
        "services": SERVICES,
        "endpoints": ENDPOINTS,
        "buckets_per_service": BUCKETS,
        "whole_ms": round(take * 1000),
        "whole_bytes": bare_bytes,
        "all_first_choices_of_all_services_ms": round(fill * 1000),
        "one_changed_ms": round(rebuild * 1000, 2),
        "one_changed_rebuilt_services": rebuilt,
        "one_changed_all_first_choices_ms": round(refill * 1000, 2),
        "agent_all_chains_bytes": chains,
    }


def time_each(call, arguments) -> float:
    """Return the microseconds of one call, as the best round's mean."""
    best = []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        for argument in arguments:
            call(argument)
        best.append((time.perf_counter() - began) / len(arguments) * 1e6)
    return min(best)


def make_packets(count: int) -> list[bytes]:
    """Return packets of as many flows."""
    packets = []
    for number in range(count):
        segment = dpkt.tcp.TCP(sport=1024 + number, dport=443, flags=0x10)
        packet = dpkt.ip.IP(src=b"\x7f\x03\0\1", dst=b"\x7f\x01\0\2", p=6, data=segment)
        packet.len = 40
        packets.append(bytes(packet))
    return packets


def measure_decisions() -> dict:
    """Report the time of one decision of each kind."""
    configuration = make_configuration()
    router = Router()
    router.update(configuration, 1000.0)
    packets = make_packets(DECISIONS)
    keys = [scan_packet(packet)[0] for packet in packets]
    slice_ = configuration.slices[1]
    owner = FlowOwner(DECISIONS, 0.0)
    owner.update(ServiceTable(slice_, 1000.0), slice_.targets[0].incarnation, 0.0)
    header = Header(DatagramKind.PACKET, 0, 1, 1, slice_.targets[0].incarnation)
    for key in keys:
        owner.state.flows.touch(key, 0, 1000.0, IDLE_SECONDS)
    fresh = FlowOwner(DECISIONS, 0.0)
    fresh.update(ServiceTable(slice_, 1000.0), slice_.targets[0].incarnation, 0.0)
    service = b"\x7f\x01\0\2"
    routed = [packet[:16] + service + packet[20:] for packet in packets]
    hash_time = time_each(find_bucket, keys)
    times = {
        "hash": hash_time,
        "scan_packet": time_each(scan_packet, packets),
        "read_packet_with_dpkt": time_each(read_packet, packets[:2000]),
        "balancer_route": time_each(lambda one: router.route(one, 1000.0), routed),
        "agent_known_flow": time_each(
            lambda key: owner.handle(header, key, 16, 1000.0), keys
        ),
        "agent_unknown_flow_forwarded": time_each(
            lambda key: fresh.handle(header, key, 16, 1000.0), keys[:5000]
        ),
    }
    return {
        "microseconds": {name: round(one, 2) for name, one in times.items()},
        "multiples_of_one_hash": {
            name: round(one / hash_time, 1) for name, one in times.items()
        },
    }


def measure_balance() -> dict:
    """Report how even the first choices of a service of 7 are."""
    table = ServiceTable(make_slice(1, 7, 1), 0.0)
    firsts = table.list_first_incarnations()
    counts = [firsts.count(one.incarnation) for one in table.targets]
    return {"most_over_mean": round(max(counts) / statistics.mean(counts), 3)}


if __name__ == "__main__":
    argparse.ArgumentParser(description=__doc__).parse_args()
    print(
        json.dumps(
            {
                "flows": [measure_flows(count) for count in FLOW_COUNTS],
                "tables": measure_tables(),
                "decisions": measure_decisions(),
                "buckets_of_7": measure_balance(),
            },
            indent=1,
        )
    )
