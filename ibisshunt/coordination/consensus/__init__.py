"""Replicate a log across hosts with Raft, without input or output.

Embedders create a state with ``make_state``, pass each event to ``handle`` and execute
what ``collect`` returns, in the order that ``Outputs`` documents. See
``docs/design/consensus.md``.
"""

from .dispatch import collect, handle, has_fresh_quorum
from .faults import NotAccepted, NotConfirmed, OutcomeUnknown
from .messages import Entry, EntryKind, Envelope, Member, Membership, Snapshot
from .state import (
    AddLearner,
    BootstrapCluster,
    Compact,
    ConsensusSettings,
    HostState,
    Outputs,
    Propose,
    Read,
    Received,
    RemoveMember,
    Role,
    Synced,
    Tick,
    TransferLeadership,
    make_state,
)

__all__ = [
    "AddLearner",
    "BootstrapCluster",
    "Compact",
    "ConsensusSettings",
    "Entry",
    "EntryKind",
    "Envelope",
    "HostState",
    "Member",
    "Membership",
    "NotAccepted",
    "NotConfirmed",
    "OutcomeUnknown",
    "Outputs",
    "Propose",
    "Read",
    "Received",
    "RemoveMember",
    "Role",
    "Snapshot",
    "Synced",
    "Tick",
    "TransferLeadership",
    "collect",
    "handle",
    "has_fresh_quorum",
    "make_state",
]
