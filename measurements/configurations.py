"""Make configurations of any size for measurements."""

import json

from ibisshunt.coordination.records.commands import AnnounceTarget, ChangeRecords
from ibisshunt.coordination.records.documents import parse_document
from ibisshunt.coordination.records.store import RecordStore
from ibisshunt.model.address import Address
from ibisshunt.model.configuration import ServiceSlice
from ibisshunt.model.flow import Protocol
from ibisshunt.model.record import Service
from ibisshunt.model.target import Announcement, Target, TargetState

TARGETS_PER_SERVICE = 6
DOMAINS = 7


def make_address(number):
    """Return a service address on loopback for a number."""
    return f"127.{1 + number // 60_000}.{number // 250 % 240}.{1 + number % 250}"


def make_announcement(service, number):
    """Return the announcement of a target of a service number."""
    return Announcement(
        "marea",
        f"service-{service}",
        f"service-{service}-{number}",
        f"host-{service}-{number}/127.0.0.1:{30_000 + number}",
        f"host-{service}-{number}",
        f"domain-{number % DOMAINS}",
        packets=Address("127.0.0.1", 10_000 + number),
        streams=Address("127.0.0.1", 20_000 + number),
        tunnel=Address("127.0.0.1", 30_000 + number),
    )


def make_slice(number, targets, revision=1, port=8080):
    """Return one service with its targets."""
    service = Service(
        "marea",
        f"service-{number}",
        make_address(number),
        port,
        Protocol.TCP,
        ("127.0.0.0/8",),
        number=number,
    )
    found = tuple(
        Target(
            make_announcement(number, place),
            number * 1000 + place + 1,
            TargetState.READY,
            0.0,
        )
        for place in range(targets)
    )
    return ServiceSlice(service, found, revision)


def make_slices(services, targets, port=8080):
    """Return slices by service number."""
    return {
        number: make_slice(number, targets, port=port)
        for number in range(1, services + 1)
    }


def make_record(number):
    """Return the document of one service."""
    return json.dumps(
        {
            "kind": "service",
            "schema": 1,
            "business": "marea",
            "name": f"service-{number}",
            "address": make_address(number),
            "port": 8080,
            "protocol": "tcp",
            "callers": ["127.0.0.0/8"],
        }
    )


def fill_store(targets):
    """Return a store with as many targets, six a service."""
    store = RecordStore()
    services = targets // TARGETS_PER_SERVICE
    texts = [json.dumps({"kind": "business", "schema": 1, "name": "marea"})]
    texts += [make_record(number) for number in range(services)]
    for index, text in enumerate(texts, start=1):
        change = parse_document(text).unwrap()
        command = ChangeRecords(f"o{index}", "0" * 64, True, 1000.0, (change,))
        store.apply(index, command)
    for number in range(targets):
        announced = make_announcement(number % services, number // services)
        store.apply(len(texts) + number + 1, AnnounceTarget(announced, False, 1000.0))
    return store
