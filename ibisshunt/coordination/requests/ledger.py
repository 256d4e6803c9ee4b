"""Keep the outcomes of idempotency keys on one holder."""

import heapq
from collections.abc import Iterable, Iterator
from dataclasses import replace
from typing import Final

from .outcomes import (
    Answer,
    Attempt,
    Claim,
    ClaimReply,
    LedgerRecord,
    RecordState,
    Settle,
    Verdict,
)

# Bytes that a record takes beside its answer; see measurements/requests_ledger.py.
RECORD_BYTES: Final = 1_000
MAX_RELEASED: Final = 4
MAX_LEDGER_BYTES: Final = 64 * 1024 * 1024

RANK: Final = {
    RecordState.FREE: 0,
    RecordState.CLAIMED: 1,
    RecordState.UNKNOWN: 2,
    RecordState.DONE: 3,
}


class Ledger:
    """Hold records by key within a bound of memory, each until its deadline.

    ``retention`` is in seconds. Times are those of the holder's own steady clock.
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
        """Yield the records in the order of their keys."""
        return iter([self._records[key] for key in sorted(self._records)])

    @property
    def used_bytes(self) -> int:
        """Return the bytes that the records are charged."""
        return self._bytes

    def find(self, key: bytes) -> LedgerRecord | None:
        """Return the record of a key."""
        return self._records.get(key)

    def claim(self, claim: Claim, now: float) -> ClaimReply:
        """Reserve the key for the attempt, or tell why not."""
        found = self._records.get(claim.key)
        if found is None and self._bytes + RECORD_BYTES > self._max_bytes:
            return ClaimReply(Verdict.FULL)
        if found is None:
            self._store(self._make(claim, RecordState.CLAIMED, now))
            return ClaimReply(Verdict.GRANTED)
        # A claim that was delayed in the network must not reserve the key for an
        # attempt that was given up: resends would wait for it in vain.
        if claim.attempt in found.released:
            return ClaimReply(Verdict.RELEASED)
        if found.attempt is None:
            return self._grant_again(found, claim, now)
        if found.fingerprint != claim.fingerprint:
            return ClaimReply(Verdict.MISMATCH)
        return _reply_from(found, claim.attempt)

    def _grant_again(self, found: LedgerRecord, claim: Claim, now: float) -> ClaimReply:
        if len(found.released) >= MAX_RELEASED:
            found = replace(found, released=found.released[1:])
        record = self._make(claim, RecordState.CLAIMED, now)
        self._store(replace(record, released=found.released))
        return ClaimReply(Verdict.GRANTED)

    def settle(self, settle: Settle, now: float) -> None:
        """Keep what became of an attempt."""
        if settle.state == RecordState.FREE:
            self._release(settle, now)
            return
        record = self._make(settle, settle.state, now)
        self.merge((replace(record, answer=settle.answer),))

    def _release(self, settle: Settle, now: float) -> None:
        found = self._records.get(settle.key)
        if found is None:
            record = self._make(settle, RecordState.FREE, now)
            self._store(replace(record, attempt=None, released=(settle.attempt,)))
            return
        released = _unite(found.released, (settle.attempt,))
        if found.attempt == settle.attempt and found.state == RecordState.CLAIMED:
            found = replace(found, attempt=None, state=RecordState.FREE)
        self._store(replace(found, released=released))

    def merge(self, records: Iterable[LedgerRecord]) -> None:
        """Take in records of another holder; the order of arrival does not matter."""
        for record in records:
            found = self._records.get(record.key)
            self._store(record if found is None else merge_records(found, record))

    def expire(self, now: float) -> None:
        """Drop the records whose deadline has passed."""
        while self._expiries and self._expiries[0][0] <= now:
            _, key = heapq.heappop(self._expiries)
            record = self._records.get(key)
            if record is not None and record.deadline <= now:
                self._bytes -= charge(record)
                del self._records[key]

    def _make(
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
        found = self._records.get(record.key)
        if found is not None:
            self._bytes -= charge(found)
        # An answer that does not fit is known to be done, only its body is dropped:
        # dropping the record instead would let the request run again.
        if self._bytes + charge(record) > self._max_bytes and record.answer:
            record = replace(
                record, answer=replace(record.answer, body=b"", kept=False)
            )
        self._records[record.key] = record
        self._bytes += charge(record)
        if found is None or found.deadline != record.deadline:
            heapq.heappush(self._expiries, (record.deadline, record.key))


def merge_records(left: LedgerRecord, right: LedgerRecord) -> LedgerRecord:
    """Return what two holders know together."""
    released = _unite(left.released, right.released)
    deadline = max(left.deadline, right.deadline)
    if _conflict(left, right, released):
        # Two attempts hold the key, from views that did not know of each other. One
        # of them may run: neither may be granted to a third, nor to either again.
        state = RecordState.UNKNOWN
        return replace(left, state=state, released=released, deadline=deadline)
    sides = sorted((left, right), key=lambda one: _rank(one, released), reverse=True)
    best = sides[0]
    if best.attempt in released and best.state == RecordState.CLAIMED:
        best = replace(best, attempt=None, state=RecordState.FREE)
    return replace(best, released=released, deadline=deadline)


def _conflict(
    left: LedgerRecord, right: LedgerRecord, released: tuple[Attempt, ...]
) -> bool:
    if left.attempt == right.attempt:
        return False
    return all(
        side.state == RecordState.CLAIMED and side.attempt not in released
        for side in (left, right)
    )


def charge(record: LedgerRecord) -> int:
    """Return the bytes that a record is charged."""
    return RECORD_BYTES + (_count_bytes(record.answer) if record.answer else 0)


def _count_bytes(answer: Answer) -> int:
    headers = sum(len(name) + len(value) + 130 for name, value in answer.headers)
    return len(answer.body) + headers


def _rank(record: LedgerRecord, released: tuple[Attempt, ...]) -> tuple[int, bool]:
    if record.state == RecordState.CLAIMED and record.attempt in released:
        return RANK[RecordState.FREE], True
    kept = record.answer is not None and record.answer.kept
    return RANK[record.state], kept


def _unite(
    left: tuple[Attempt, ...], right: tuple[Attempt, ...]
) -> tuple[Attempt, ...]:
    return tuple(sorted({*left, *right}))[-MAX_RELEASED:]


def _reply_from(found: LedgerRecord, attempt: Attempt) -> ClaimReply:
    if found.state == RecordState.DONE:
        return ClaimReply(Verdict.DONE, found.answer)
    if found.state == RecordState.UNKNOWN:
        return ClaimReply(Verdict.UNKNOWN)
    if found.attempt == attempt:
        return ClaimReply(Verdict.GRANTED)
    return ClaimReply(Verdict.HELD)
