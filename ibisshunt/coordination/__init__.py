"""Offer the decisions that nodes take together, free of input and output.

Each part takes events and the time, and returns what to do: the embedder owns sockets,
disks, clocks and random numbers. None needs gevent, gRPC or the daemons.

=====================  ==================================================
part                   where to start
=====================  ==================================================
replicated log         ``consensus.make_state``, ``handle`` and ``collect``
record store           ``RecordStore.apply`` with ``parse_document``
configuration updates  ``Sender.make_update`` and ``receive``
leases and membership  ``LeaseBook.renew`` and ``sweep``
bucket table           ``ServiceTable.find_chain``
packet routing         ``Router.route``
flow ownership         ``FlowOwner.handle``
request admission      ``Admission.offer`` and ``start_next``
at-most-once ledger    ``Ledger.claim`` and ``settle``
flows asked for        ``forwarding.balancer.Balancer``, ``forwarding.agent.Agent``
nodes that meet        ``directory.registry.Registry``, ``directory.contacts``
highest version wins   ``versions.VersionStore``
drained domains        ``versions.FleetState``
=====================  ==================================================

The names in ``__all__`` keep their meaning within one major version; see
``docs/LIBRARY.md``.
"""

from importlib import import_module
from typing import Any

# Where each name lives. A program that runs one part must not pay for the import of
# all of them: a balancer has a quarter of a core to start on.
_HOMES = {
    "Admission": ".requests",
    "AnnounceTarget": ".records.commands",
    "ChangeRecords": ".records.commands",
    "ChangeTargets": ".records.commands",
    "FlowOwner": ".flows.owner",
    "LeaseBook": ".membership.leases",
    "Ledger": ".requests",
    "RecordStore": ".records.store",
    "Router": ".flows.router",
    "Sender": ".distribution.sender",
    "ServiceTable": ".flows.table",
    "decode_command": ".records.commands",
    "encode_command": ".records.commands",
    "parse_document": ".records.documents",
    "receive": ".distribution.receiver",
}

__all__ = [
    "Admission",
    "AnnounceTarget",
    "ChangeRecords",
    "ChangeTargets",
    "FlowOwner",
    "LeaseBook",
    "Ledger",
    "RecordStore",
    "Router",
    "Sender",
    "ServiceTable",
    "consensus",
    "decode_command",
    "encode_command",
    "parse_document",
    "receive",
]


def __getattr__(name: str) -> Any:
    """Import a part when it is first asked for."""
    if name == "consensus":
        return import_module(".consensus", __name__)
    if name not in _HOMES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(_HOMES[name], __name__), name)
