"""Decide where, when and how often a request runs."""

from .admission import Admission, Refused, Waiting
from .budget import RetryBudget
from .claims import Ask, Claimant, End, Ending, Pause
from .handover import Holder
from .holders import Member, Pair, View, find_pair, make_view
from .ledger import Ledger
from .outcomes import Answer, Attempt
from .sharing import Load, Sharing
from .weighting import Observation, find_share, observe, weigh_targets

__all__ = [
    "Admission",
    "Answer",
    "Ask",
    "Attempt",
    "Claimant",
    "End",
    "Ending",
    "Holder",
    "Ledger",
    "Load",
    "Member",
    "Observation",
    "Pair",
    "Pause",
    "Refused",
    "RetryBudget",
    "Sharing",
    "View",
    "Waiting",
    "find_pair",
    "find_share",
    "make_view",
    "observe",
    "weigh_targets",
]
