"""Distributed algorithms of the load balancer, without input or output.

Each part takes events and the time, and returns what to do: the embedder provides
sockets, disks, clocks and random numbers. No part needs gevent, gRPC or the daemons.

=====================  ==================================================
part                   entry points
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
placement and search   ``forwarding.balancer.Balancer``, ``forwarding.agent.Agent``
node discovery         ``directory.registry.Registry``, ``directory.node_view``
configuration version  ``versions.VersionStore``
drained domains        ``versions.FleetState``
=====================  ==================================================

The names in ``__all__`` keep their meaning within one major version; see
``docs/LIBRARY.md``.
"""

from importlib import import_module
from typing import Any

# Module that defines each name, imported on first use: a program that runs one part
# must not pay for importing all of them, and a balancer has only a quarter of a core.
_MODULES_BY_NAME = {
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
    """Import a part on first use."""
    if name == "consensus":
        return import_module(".consensus", __name__)
    if name not in _MODULES_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(_MODULES_BY_NAME[name], __name__), name)
