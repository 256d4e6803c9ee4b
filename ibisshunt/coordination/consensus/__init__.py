"""Decide how hosts agree on one log.

Embedders make a state with ``make_state``, pass each event to ``handle`` and carry out
what ``collect`` returns, in the order that ``Outputs`` gives. See
``docs/design/consensus.md``.
"""

from .faults import NotAccepted, NotConfirmed, OutcomeUnknown
from .host import collect, handle, has_fresh_quorum
from .messages import Entry, EntryKind, Envelope, Member, Membership, Snapshot
from .state import (
    Admit,
    Compact,
    ConsensusSettings,
    Found,
    HostState,
    Outputs,
    Propose,
    Read,
    Received,
    Remove,
    Role,
    Synced,
    Tick,
    Transfer,
    make_state,
)

__all__ = [
    "Admit",
    "Compact",
    "ConsensusSettings",
    "Entry",
    "EntryKind",
    "Envelope",
    "Found",
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
    "Remove",
    "Role",
    "Snapshot",
    "Synced",
    "Tick",
    "Transfer",
    "collect",
    "handle",
    "has_fresh_quorum",
    "make_state",
]
