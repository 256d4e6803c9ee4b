"""Admit requests, choose the agent that runs them, and run each key at most once."""

from .admission import Admission, QueuedRequest, Refused
from .budget import RetryBudget
from .claims import Backoff, Claimant, ClaimOutcome, ClaimResult, SendClaim
from .ledger import Ledger
from .load_sharing import Load, LoadSharing
from .messages import Attempt, StoredResponse
from .replica import LedgerReplica
from .views import Member, ReplicaPair, View, find_replicas, make_view
from .weighting import (
    TargetStats,
    compute_slow_start_share,
    compute_weights,
    update_stats,
)

__all__ = [
    "Admission",
    "StoredResponse",
    "SendClaim",
    "Attempt",
    "Claimant",
    "ClaimResult",
    "ClaimOutcome",
    "LedgerReplica",
    "Ledger",
    "Load",
    "Member",
    "TargetStats",
    "ReplicaPair",
    "Backoff",
    "Refused",
    "RetryBudget",
    "LoadSharing",
    "View",
    "QueuedRequest",
    "find_replicas",
    "compute_slow_start_share",
    "make_view",
    "update_stats",
    "compute_weights",
]
