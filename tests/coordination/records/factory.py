"""Build commands for the tests of the record store."""

import json

from ibisshunt.coordination.records.commands import (
    AnnounceTarget,
    ChangeRecords,
    ChangeTargets,
    TargetChange,
)
from ibisshunt.coordination.records.documents import parse_document
from ibisshunt.coordination.records.store import RecordStore
from ibisshunt.model.address import Address
from ibisshunt.model.target import Announcement, TargetState

ADMIN = "admin"


def business(name, **keys):
    return {"kind": "business", "schema": 1, "name": name, **keys}


def service(owner, name, port=80, **keys):
    document = {
        "kind": "service",
        "schema": 1,
        "business": owner,
        "name": name,
        "address": "127.1.0.1",
        "port": port,
        "protocol": "tcp",
        "callers": ["127.0.0.0/8"],
    }
    return {**document, **keys}


def service_2(owner, name, port=80, **keys):
    document = {
        "kind": "service",
        "schema": 2,
        "business": owner,
        "name": name,
        "listen": {"address": "127.1.0.1", "port": port, "protocol": "tcp"},
        "admission": {"callers": ["127.0.0.0/8"]},
    }
    return {**document, **keys}


def grant(owner, name, token):
    document = {"kind": "grant", "schema": 1, "business": owner, "name": name}
    return {**document, "token_hash": token * 64}


def evacuation(domain):
    return {"kind": "evacuation", "schema": 1, "name": domain}


def drain(owner, service, target):
    document = {"kind": "drain", "schema": 1, "business": owner}
    return {**document, "service": service, "target": target}


def delete(kind, owner, name, **keys):
    document = {"kind": kind, "schema": 1, "name": name, "delete": True, **keys}
    has_owner = kind not in ("business", "evacuation")
    return {**document, "business": owner} if has_owner else document


def change(*documents, operation="o", token=ADMIN, now=1000.0):
    changes = tuple(
        parse_document(json.dumps(document)).unwrap() for document in documents
    )
    token_hash = token if token == ADMIN else token * 64
    return ChangeRecords(operation, token_hash, token == ADMIN, now, changes)


def announcement(name="t1", session="s1", port=7001, service="booking"):
    return Announcement(
        "marea",
        service,
        name,
        session,
        "h1",
        "moin-a",
        packets=Address("127.0.0.1", port),
        streams=Address("127.0.0.1", port + 1),
        tunnel=Address("127.0.0.1", port + 2),
    )


def announce(leaving=False, now=1000.0, **keys):
    return AnnounceTarget(announcement(**keys), leaving, now)


def set_state(incarnation, state: TargetState | None):
    return ChangeTargets((TargetChange("marea", "booking", incarnation, state),))


class Driver:
    """Apply commands at increasing log indexes."""

    def __init__(self, store=None):
        self.store = store or RecordStore()
        self.index = 0

    def apply(self, command):
        self.index += 1
        return self.store.apply(self.index, command)

    def put(self, *documents, **keys):
        keys.setdefault("operation", f"o{self.index}")
        return self.apply(change(*documents, **keys))

    def errors(self, *documents, **keys):
        return [result.error for result in self.put(*documents, **keys).results]

    def targets(self):
        return {
            target.incarnation: target.state
            for slice_ in self.store.slices.values()
            for target in slice_.targets
        }


def start_marea():
    driver = Driver()
    driver.put(business("marea"), service("marea", "booking"))
    return driver
