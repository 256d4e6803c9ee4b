"""Agree on one complete configuration of which the highest version is in force."""

from .store import Outcome, PutVersion, VersionStore, decode_outcome, encode_put

__all__ = ["Outcome", "PutVersion", "VersionStore", "decode_outcome", "encode_put"]
