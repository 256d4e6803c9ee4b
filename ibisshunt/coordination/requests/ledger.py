"""Store the outcomes of idempotency keys on one replica."""

import heapq
from collections.abc import Iterable, Iterator
from dataclasses import replace
from typing import Final

from .messages import (
    Attempt,
    Claim,
    ClaimReply,
    ClaimStatus,
    LedgerRecord,
    RecordState,
    Settle,
    StoredResponse,
)

# Bytes of a record without its response; see measurements/requests_ledger.py.
RECORD_BYTES: Final = 1_000
MAX_RELEASED: Final = 4
MAX_LEDGER_BYTES: Final = 64 * 1024 * 1024

# The state that wins when two replicas hold different ones: the highest.
STATE_PRECEDENCE: Final = {
    RecordState.FREE: 0,
    RecordState.CLAIMED: 1,
    RecordState.UNKNOWN: 2,
    RecordState.DONE: 3,
}


class Ledger:
    """Store records by key, within a memory limit, until their deadlines.

    ``retention`` is in seconds. All times are in seconds of the replica's own
    monotonic clock.
    """

    def __init__(self, retention: float, max_bytes: int = MAX_LEDGER_BYTES) -> None:
        self.retention = retention
        self._max_bytes = max_bytes
        self._bytes = 0
        self._records: dict[bytes, LedgerRecord] = {}
        self._expiries: list[tuple[float, bytes]] = []

    def __len__(self) -> int:
        """Count the records."""
        return len(self._records)

    def __iter__(self) -> Iterator[LedgerRecord]:
        """Yield the records sorted by key."""
        return iter([self._records[key] for key in sorted(self._records)])

    @property
    def used_bytes(self) -> int:
        """Return the bytes that count towards the memory limit."""
        return self._bytes

    def find(self, key: bytes) -> LedgerRecord | None:
        """Return the record of a key, or None."""
        return self._records.get(key)

    def claim(self, claim: Claim, now: float) -> ClaimReply:
        """Reserve the key for an attempt; the verdict says why it was not granted."""
        existing = self._records.get(claim.key)
        if existing is None and self._bytes + RECORD_BYTES > self._max_bytes:
            return ClaimReply(ClaimStatus.FULL)
        if existing is None:
            self._store(self._make_record(claim, RecordState.CLAIMED, now))
            return ClaimReply(ClaimStatus.GRANTED)
        # A delayed claim must not reserve the key for an attempt that was abandoned:
        # retries would wait for that attempt in vain.
        if claim.attempt in existing.released:
            return ClaimReply(ClaimStatus.RELEASED)
        if existing.attempt is None:
            return self._grant_free_key(existing, claim, now)
        if existing.fingerprint != claim.fingerprint:
            return ClaimReply(ClaimStatus.MISMATCH)
        return _make_claim_reply(existing, claim.attempt)

    def _grant_free_key(
        self, existing: LedgerRecord, claim: Claim, now: float
    ) -> ClaimReply:
        if len(existing.released) >= MAX_RELEASED:
            existing = replace(existing, released=existing.released[1:])
        record = self._make_record(claim, RecordState.CLAIMED, now)
        self._store(replace(record, released=existing.released))
        return ClaimReply(ClaimStatus.GRANTED)

    def settle(self, settle: Settle, now: float) -> None:
        """Store the outcome of an attempt."""
        if settle.state == RecordState.FREE:
            self._release(settle, now)
            return
        record = self._make_record(settle, settle.state, now)
        self.merge((replace(record, answer=settle.answer),))

    def _release(self, settle: Settle, now: float) -> None:
        existing = self._records.get(settle.key)
        if existing is None:
            record = self._make_record(settle, RecordState.FREE, now)
            self._store(replace(record, attempt=None, released=(settle.attempt,)))
            return
        released = _union_released(existing.released, (settle.attempt,))
        if existing.attempt == settle.attempt and existing.state == RecordState.CLAIMED:
            existing = replace(existing, attempt=None, state=RecordState.FREE)
        self._store(replace(existing, released=released))

    def merge(self, records: Iterable[LedgerRecord]) -> None:
        """Merge records of another replica; the order of arrival does not matter."""
        for record in records:
            existing = self._records.get(record.key)
            self._store(record if existing is None else merge_records(existing, record))

    def expire(self, now: float) -> None:
        """Delete the records whose deadline has passed."""
        while self._expiries and self._expiries[0][0] <= now:
            _, key = heapq.heappop(self._expiries)
            record = self._records.get(key)
            if record is not None and record.deadline <= now:
                self._bytes -= count_record_bytes(record)
                del self._records[key]

    def _make_record(
        self, message: Claim | Settle, state: RecordState, now: float
    ) -> LedgerRecord:
        return LedgerRecord(
            message.key,
            message.attempt,
            message.fingerprint,
            state,
            now + self.retention,
        )

    def _store(self, record: LedgerRecord) -> None:
        existing = self._records.get(record.key)
        if existing is not None:
            self._bytes -= count_record_bytes(existing)
        # A response that does not fit loses its body and the record stays "done":
        # without the record the request could run again.
        if self._bytes + count_record_bytes(record) > self._max_bytes and record.answer:
            record = replace(
                record, answer=replace(record.answer, body=b"", kept=False)
            )
        self._records[record.key] = record
        self._bytes += count_record_bytes(record)
        if existing is None or existing.deadline != record.deadline:
            heapq.heappush(self._expiries, (record.deadline, record.key))


def merge_records(left: LedgerRecord, right: LedgerRecord) -> LedgerRecord:
    """Return the combined record of two replicas."""
    released = _union_released(left.released, right.released)
    deadline = max(left.deadline, right.deadline)
    if _is_conflict(left, right, released):
        # Two attempts claimed the key under views that did not know of each other.
        # One of them may run, so the key must not be granted again, not even to them.
        state = RecordState.UNKNOWN
        return replace(left, state=state, released=released, deadline=deadline)
    ordered = sorted(
        (left, right),
        key=lambda record: _get_precedence(record, released),
        reverse=True,
    )
    winner = ordered[0]
    if winner.attempt in released and winner.state == RecordState.CLAIMED:
        winner = replace(winner, attempt=None, state=RecordState.FREE)
    return replace(winner, released=released, deadline=deadline)


def _is_conflict(
    left: LedgerRecord, right: LedgerRecord, released: tuple[Attempt, ...]
) -> bool:
    if left.attempt == right.attempt:
        return False
    return all(
        record.state == RecordState.CLAIMED and record.attempt not in released
        for record in (left, right)
    )


def count_record_bytes(record: LedgerRecord) -> int:
    """Return the bytes of a record that count towards the memory limit."""
    return RECORD_BYTES + (_count_response_bytes(record.answer) if record.answer else 0)


def _count_response_bytes(response: StoredResponse) -> int:
    headers = sum(len(name) + len(value) + 130 for name, value in response.headers)
    return len(response.body) + headers


def _get_precedence(
    record: LedgerRecord, released: tuple[Attempt, ...]
) -> tuple[int, bool]:
    if record.state == RecordState.CLAIMED and record.attempt in released:
        return STATE_PRECEDENCE[RecordState.FREE], True
    kept = record.answer is not None and record.answer.kept
    return STATE_PRECEDENCE[record.state], kept


def _union_released(
    left: tuple[Attempt, ...], right: tuple[Attempt, ...]
) -> tuple[Attempt, ...]:
    return tuple(sorted({*left, *right}))[-MAX_RELEASED:]


def _make_claim_reply(existing: LedgerRecord, attempt: Attempt) -> ClaimReply:
    if existing.state == RecordState.DONE:
        return ClaimReply(ClaimStatus.DONE, existing.answer)
    if existing.state == RecordState.UNKNOWN:
        return ClaimReply(ClaimStatus.UNKNOWN)
    if existing.attempt == attempt:
        return ClaimReply(ClaimStatus.GRANTED)
    return ClaimReply(ClaimStatus.HELD)
