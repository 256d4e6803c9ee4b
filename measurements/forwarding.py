"""Measure what the platform's programs tell each other: bytes, and time to take it in.

Run ``python -m measurements.forwarding`` and put what it prints into
``measurements/results/forwarding.json``. Times are processor time of one thread.
"""

import json
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import msgspec

from ibisshunt.components.directory.internal_socket import Message
from ibisshunt.coordination.directory.messages import Hello, NodeRole
from ibisshunt.coordination.directory.registry import Registry
from ibisshunt.coordination.forwarding.addresses import pack_addresses
from ibisshunt.coordination.forwarding.messages import (
    Answer,
    CheckpointEntries,
    FlowQuery,
    Ping,
    RelayRequest,
    SendMessage,
    Status,
    TargetState,
)
from ibisshunt.coordination.forwarding.placement.target import choose_target
from ibisshunt.coordination.forwarding.recovery.archive import FlowArchive
from ibisshunt.coordination.forwarding.recovery.checkpoint import (
    ENTRIES_PER_MESSAGE,
    FlowEntry,
    pack_entries,
)
from ibisshunt.coordination.forwarding.search.aggregation import make_aggregated
from ibisshunt.coordination.forwarding.search.manager import SearchManager
from ibisshunt.coordination.forwarding.segment import Segment
from ibisshunt.coordination.forwarding.state import BalancerState

TARGETS = (6, 51, 204)
NODES = (100, 400, 1_600)
FLOWS = (2_400, 9_600, 33_600)
ROUNDS = 20_000
SEARCHES = 2_000
ENCODE = msgspec.msgpack.Encoder().encode
DECODE = msgspec.msgpack.Decoder(Message).decode


def name_host(number: int) -> str:
    """Return an IPv4 address of the usual length."""
    return f"10.{number % 7 + 1}.{number // 200 % 256}.{number % 200 + 10}"


def make_status(number: int = 100_000) -> Status:
    """Return a status as agents send it in the middle of a day."""
    return Status(
        1_796_000_000,
        number,
        "gatepass",
        TargetState.OPEN,
        1,
        2,
        40,
        41_000,
        0,
        61,
    )


def time_calls(call: Callable[[int], Any], rounds: int = ROUNDS) -> float:
    """Return the microseconds of one call."""
    began = time.process_time()
    for number in range(rounds):
        call(number)
    return (time.process_time() - began) / rounds * 1e6


def make_answer(key: bytes, number: int, hosts: list[str]) -> bytes:
    """Return the answer that brings what all agents said: that they hold no flow."""
    answers = dict.fromkeys(hosts, int(Answer.NOT_HELD))
    return ENCODE(make_aggregated(key, number, answers))


def make_state() -> BalancerState:
    """Return what a balancer knows that has just started."""
    return BalancerState(random.Random(7).random, lambda event, **fields: None, 0.0)


def time_search(state: BalancerState, hosts: list[str]) -> float:
    """Return the microseconds in which a balancer finds that a flow has ended."""
    searches = SearchManager(state, 0.0)
    holders = [state.targets[host] for host in hosts]

    def search(number: int) -> None:
        key = number.to_bytes(12, "big")
        segment = Segment(key, b"packet", b"", 1, 2, is_ack=True)
        sent = searches.start(segment, holders, (), frozenset(), 10.0)
        assert isinstance(sent[0], SendMessage)
        ENCODE(sent[0].message)
        answer = make_answer(key, sent[0].message.round_id, hosts)
        searches.handle_aggregated_answers(DECODE(answer), 10.0)

    return time_calls(search, SEARCHES)


def measure_balancer(count: int) -> dict[str, float]:
    """Return what a balancer spends on a status, and on the choice of a target."""
    state = make_state()
    known = state.target_table
    for number in range(count):
        known.update(name_host(number), make_status(1), 0.0)
    targets = known.list_by_service("gatepass")
    hosts = [name_host(number) for number in range(count)]
    packed = [ENCODE(make_status(number + 2)) for number in range(ROUNDS)]

    def take(number: int) -> None:
        known.update(hosts[number % count], DECODE(packed[number]), 0.1)

    return {
        "targets": count,
        "status_us": time_calls(take),
        "choice_us": time_calls(
            lambda number: choose_target(
                targets, frozenset(), state.random_fraction, 0.1
            )
        ),
        "question_bytes": len(
            ENCODE(
                RelayRequest(
                    pack_addresses(hosts), FlowQuery(bytes(12), 1 << 31), 1 << 15
                )
            )
        ),
        "answer_bytes": len(make_answer(bytes(12), 1 << 15, hosts)),
        "search_us": time_search(state, hosts),
    }


def measure_archive(count: int) -> dict[str, float]:
    """Return what a control host spends on the noted flows of balancers."""
    entries = [
        FlowEntry(number.to_bytes(12, "big"), number, name_host(number), 1 << 31)
        for number in range(count)
    ]
    batches = [
        pack_entries(entries[first : first + ENTRIES_PER_MESSAGE])
        for first in range(0, count, ENTRIES_PER_MESSAGE)
    ]
    noted = ENCODE(CheckpointEntries(batches[0]))
    archive = FlowArchive()
    balancers = [name_host(number) for number in range(len(batches))]
    tracemalloc.start()
    for balancer, batch in zip(balancers, batches, strict=True):
        archive.add_entries(balancer, batch)
    archive.pop_unsaved()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    again = FlowArchive()
    taken = time_calls(
        lambda number: again.add_entries(balancers[number], batches[number]),
        len(batches),
    )
    return {
        "flows": count,
        "noted_bytes": len(noted) / ENTRIES_PER_MESSAGE,
        "held_bytes": held,
        "take_us": taken / ENTRIES_PER_MESSAGE,
    }


def measure_control(count: int) -> dict[str, float]:
    """Return what a control host spends on introductions among so many agents."""
    registry = Registry()
    for number in range(count):
        registry.handle_hello(
            name_host(number), Hello(NodeRole.AGENT, 61, 0), 61, (), 0.0
        )
    welcome = registry.handle_hello(
        "10.9.0.1", Hello(NodeRole.BALANCER, 61, 0), 61, (), 0.0
    )
    hello = ENCODE(Hello(NodeRole.BALANCER, 61, welcome.digest))

    def take(number: int) -> bytes:
        return ENCODE(registry.handle_hello("10.9.0.1", DECODE(hello), 61, (), 0.1))

    return {
        "nodes": count,
        "hello_us": time_calls(take),
        "list_bytes": len(ENCODE(welcome)),
        "file_bytes": len(ENCODE(registry.list_nodes_to_save())),
    }


def main() -> None:
    """Print all figures."""
    found = {
        "status_bytes": len(ENCODE(make_status())),
        "ping_bytes": len(ENCODE(Ping(1 << 31))),
        "hello_bytes": len(ENCODE(Hello(NodeRole.AGENT, 61, 1 << 31, "cambridge"))),
        "balancer": [measure_balancer(count) for count in TARGETS],
        "control": [measure_control(count) for count in NODES],
        "archive": [measure_archive(count) for count in FLOWS],
    }
    print(json.dumps(found, indent=1))


if __name__ == "__main__":
    main()
