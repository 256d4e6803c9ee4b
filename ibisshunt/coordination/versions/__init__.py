"""Agree on one configuration, the highest version, and on drained failure domains."""

from .domains import DomainOutcome, DomainStore, decode_domain_outcome
from .state import FleetState, encode_domain_command
from .store import Outcome, PutVersion, VersionStore, decode_outcome, encode_put

__all__ = [
    "DomainOutcome",
    "DomainStore",
    "FleetState",
    "Outcome",
    "PutVersion",
    "VersionStore",
    "decode_domain_outcome",
    "decode_outcome",
    "encode_domain_command",
    "encode_put",
]
