"""Remember the answers to operations, so that a resend gets the first one."""

from dataclasses import dataclass
from typing import Final

import xxhash

from .commands import ChangeOutcome, ChangeRecords, ChangeResult

# An operator resends within seconds. At its full rate a business fills this many
# minutes of answers; counting them instead of timing them holds whatever a clock does.
KEPT_MINUTES: Final = 11
MIN_KEPT: Final = 660
MAX_KEPT_ADMIN: Final = 10_000


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold the outcome of one operation and what its request was."""

    token_hash: str
    operation: str
    digest: str
    outcome: ChangeOutcome


class AnswerBook:
    """Hold the answers by token and operation, oldest first.

    A token never sees the answers of another one.
    """

    def __init__(self, answers: tuple[Answer, ...] = ()) -> None:
        self._by_token: dict[str, dict[str, Answer]] = {}
        for answer in answers:
            self._add(answer)

    def find(self, command: ChangeRecords) -> ChangeOutcome | None:
        """Return the first answer, or an error if the request was another one."""
        answer = self._by_token.get(command.token_hash, {}).get(command.operation)
        if answer is None:
            return None
        if answer.digest == digest_request(command):
            return answer.outcome
        error = f"operation {command.operation!r} was used for another request"
        results = tuple(
            ChangeResult(change.name, 0, error) for change in command.changes
        )
        return ChangeOutcome(results, answer.outcome.revision)

    def remember(
        self, command: ChangeRecords, outcome: ChangeOutcome, limit: int
    ) -> None:
        """Keep the answer, and at most ``limit`` answers of its token."""
        digest = digest_request(command)
        self._add(Answer(command.token_hash, command.operation, digest, outcome))
        kept = self._by_token[command.token_hash]
        while len(kept) > limit:
            del kept[next(iter(kept))]

    def forget(self, token_hash: str) -> None:
        """Drop the answers of a token that was taken back."""
        self._by_token.pop(token_hash, None)

    def list_answers(self) -> tuple[Answer, ...]:
        """Return all answers, oldest first within each token."""
        return tuple(
            answer for kept in self._by_token.values() for answer in kept.values()
        )

    def _add(self, answer: Answer) -> None:
        self._by_token.setdefault(answer.token_hash, {})[answer.operation] = answer


def count_kept(rate: int) -> int:
    """Return how many answers are kept for a business of this rate a minute."""
    return max(MIN_KEPT, KEPT_MINUTES * rate)


def digest_request(command: ChangeRecords) -> str:
    """Return a digest of the texts that the operator sent."""
    hasher = xxhash.xxh3_128()
    for change in command.changes:
        hasher.update(f"{len(change.document)}:{change.document}".encode())
    return hasher.hexdigest()
