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
=====================  ==================================================

The names in ``__all__`` keep their meaning within one major version; see
``docs/LIBRARY.md``.
"""

from . import consensus
from .distribution.receiver import receive
from .distribution.sender import Sender
from .flows.owner import FlowOwner
from .flows.router import Router
from .flows.table import ServiceTable
from .membership.leases import LeaseBook
from .records.commands import (
    AnnounceTarget,
    ChangeRecords,
    ChangeTargets,
    decode_command,
    encode_command,
)
from .records.documents import parse_document
from .records.store import RecordStore
from .requests import Admission, Ledger

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
