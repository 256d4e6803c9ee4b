"""Replicated state of a fleet: configuration version and drained failure domains."""

from .domains import DomainOutcome, DrainedDomainStore, decode_domain_outcome
from .state import FleetState, encode_domain_command
from .store import PutOutcome, PutVersion, VersionStore, decode_put_outcome, encode_put

__all__ = [
    "DomainOutcome",
    "DrainedDomainStore",
    "FleetState",
    "PutOutcome",
    "PutVersion",
    "VersionStore",
    "decode_domain_outcome",
    "decode_put_outcome",
    "encode_domain_command",
    "encode_put",
]
