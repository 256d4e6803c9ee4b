"""Cache the outcomes of operations, so that a retry gets the first outcome."""

from dataclasses import dataclass
from typing import Final

import xxhash

from .commands import ChangeOutcome, ChangeRecords, ChangeResult

# An operator retries within seconds. Outcomes are limited by count, as many as a
# business can cause in this time at its full rate: a limit by age would depend on the
# hosts' clocks.
RETENTION_MINUTES: Final = 11
MIN_OUTCOMES: Final = 660
MAX_ADMIN_OUTCOMES: Final = 10_000


@dataclass(frozen=True, slots=True)
class CachedOutcome:
    """The outcome of one operation, with a digest of its request."""

    token_hash: str
    operation: str
    digest: str
    outcome: ChangeOutcome


class OutcomeCache:
    """Outcomes by token and operation id, oldest first.

    Operation ids of different tokens are independent: a token never gets the outcome of
    another token's operation.
    """

    def __init__(self, outcomes: tuple[CachedOutcome, ...] = ()) -> None:
        self._by_token: dict[str, dict[str, CachedOutcome]] = {}
        for cached in outcomes:
            self._store(cached)

    def find(self, command: ChangeRecords) -> ChangeOutcome | None:
        """Return the first outcome, an error if the request differs, or None."""
        cached = self._by_token.get(command.token_hash, {}).get(command.operation)
        if cached is None:
            return None
        if cached.digest == digest_request(command):
            return cached.outcome
        error = f"operation {command.operation!r} was used for another request"
        results = tuple(
            ChangeResult(change.name, 0, error) for change in command.changes
        )
        return ChangeOutcome(results, cached.outcome.revision)

    def add(self, command: ChangeRecords, outcome: ChangeOutcome, limit: int) -> None:
        """Store the outcome; evict the oldest of its token beyond ``limit``."""
        digest = digest_request(command)
        self._store(
            CachedOutcome(command.token_hash, command.operation, digest, outcome)
        )
        by_operation = self._by_token[command.token_hash]
        while len(by_operation) > limit:
            del by_operation[next(iter(by_operation))]

    def remove_token(self, token_hash: str) -> None:
        """Remove the outcomes of a token that was revoked."""
        self._by_token.pop(token_hash, None)

    def list_outcomes(self) -> tuple[CachedOutcome, ...]:
        """Return all outcomes, oldest first within each token."""
        return tuple(
            cached
            for by_operation in self._by_token.values()
            for cached in by_operation.values()
        )

    def _store(self, cached: CachedOutcome) -> None:
        self._by_token.setdefault(cached.token_hash, {})[cached.operation] = cached


def get_outcome_limit(changes_per_minute: int) -> int:
    """Return how many outcomes to store for a business with this rate limit."""
    return max(MIN_OUTCOMES, RETENTION_MINUTES * changes_per_minute)


def digest_request(command: ChangeRecords) -> str:
    """Return a digest of the documents that the operator sent."""
    hasher = xxhash.xxh3_128()
    for change in command.changes:
        hasher.update(f"{len(change.document)}:{change.document}".encode())
    return hasher.hexdigest()
