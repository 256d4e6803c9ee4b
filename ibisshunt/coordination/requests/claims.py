"""Claim a key for one attempt at both of the key's replicas."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from .messages import Attempt, Claim, ClaimReply, ClaimStatus, StoredResponse
from .views import ReplicaPair, View, find_replicas

# How long an attempt waits for replicas that do not answer or have not opened yet.
UNAVAILABLE_TIMEOUT_SECONDS: Final = 1.0
INITIAL_BACKOFF_SECONDS: Final = 0.01
MAX_BACKOFF_SECONDS: Final = 0.25


class ClaimOutcome(StrEnum):
    """Outcome of a claim."""

    GRANTED = "granted"
    REPLAY = "replay"
    MISMATCH = "mismatch"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class SendClaim:
    """Send the claim to a replica and pass the reply to ``handle_reply``."""

    replica: int
    claim: Claim


@dataclass(frozen=True, slots=True)
class Backoff:
    """Call ``resume`` at the deadline, or earlier when the view changes."""

    deadline: float


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """End the claim; ``release`` lists the replicas that may have reserved the key."""

    outcome: ClaimOutcome
    reason: str
    response: StoredResponse | None = None
    release: tuple[int, ...] = ()


ClaimStep = SendClaim | Backoff | ClaimResult


class Claimant:
    """Claim a key at its first replica, then at its second.

    The order decides a race of two attempts: the one that gets the first replica
    continues, the other waits. The claim is granted when both replicas grant it under
    the same view; the target must not get a byte of the request earlier. ``deadline``
    is that of the request.
    """

    def __init__(
        self,
        key: bytes,
        fingerprint: bytes,
        attempt: Attempt,
        view: View,
        deadline: float,
        now: float,
    ) -> None:
        self.key = key
        self.fingerprint = fingerprint
        self.attempt = attempt
        self.contacted_replicas: set[int] = set()
        self._view = view
        self._pair: ReplicaPair | None = None
        self._reply_count = 0
        self._is_ledger_full = False
        self._deadline = deadline
        self._unavailable_deadline = min(deadline, now + UNAVAILABLE_TIMEOUT_SECONDS)
        self._backoff = INITIAL_BACKOFF_SECONDS

    def start(self) -> ClaimStep:
        """Return the first step."""
        self._reply_count = 0
        self._is_ledger_full = False
        self._pair = find_replicas(self._view, self.key)
        if self._pair is None:
            return self._finish(
                ClaimOutcome.UNKNOWN, "no two failure domains hold the key"
            )
        return self._send_claim()

    def resume(self, view: View, now: float) -> ClaimStep:
        """Retry after a backoff, under the current view."""
        if now >= self._deadline:
            return self._finish(ClaimOutcome.UNKNOWN, "deadline passed")
        if view.digest != self._view.digest:
            self._view = view
            return self.start()
        return self._send_claim() if self._pair else self.start()

    def handle_reply(self, reply: ClaimReply, now: float) -> ClaimStep:
        """Return the next step after a replica's reply."""
        if reply.verdict in (ClaimStatus.GRANTED, ClaimStatus.FULL):
            return self._count_reply(reply.verdict)
        if reply.verdict == ClaimStatus.DONE:
            return self._finish(ClaimOutcome.REPLAY, "done before", reply.answer)
        if reply.verdict == ClaimStatus.UNKNOWN:
            return self._finish(ClaimOutcome.UNKNOWN, "an earlier attempt may have run")
        if reply.verdict == ClaimStatus.MISMATCH:
            return self._finish(
                ClaimOutcome.MISMATCH, "key was used for another request"
            )
        if reply.verdict == ClaimStatus.RELEASED:
            return self._finish(ClaimOutcome.UNKNOWN, "attempt was given up")
        return self._back_off(reply.verdict, now)

    def _count_reply(self, verdict: ClaimStatus) -> ClaimStep:
        self._reply_count += 1
        self._is_ledger_full |= verdict == ClaimStatus.FULL
        self._backoff = INITIAL_BACKOFF_SECONDS
        if self._reply_count < 2:
            return self._send_claim()
        # "Not run" needs both replicas to say that they have never seen the key. One
        # replica may be out of date: the key may have run under a view that it missed,
        # whose records came from the other replica.
        if self._is_ledger_full:
            return self._finish(ClaimOutcome.NOT_RUN, "holders are full")
        return ClaimResult(ClaimOutcome.GRANTED, "")

    def _send_claim(self) -> ClaimStep:
        assert self._pair is not None
        member = self._pair.second if self._reply_count else self._pair.first
        self.contacted_replicas.add(member.incarnation)
        claim = Claim(self.key, self.attempt, self.fingerprint, self._view.digest)
        return SendClaim(member.incarnation, claim)

    def _back_off(self, verdict: ClaimStatus, now: float) -> ClaimStep:
        # An attempt that has claimed the key may be running: wait for its response. A
        # replica that does not answer or has not opened gets less time; the caller may
        # then retry.
        is_claimed = verdict == ClaimStatus.HELD
        deadline = self._deadline if is_claimed else self._unavailable_deadline
        if now >= deadline:
            return self._finish(ClaimOutcome.UNKNOWN, f"holder answered {verdict}")
        backoff = self._backoff
        self._backoff = min(MAX_BACKOFF_SECONDS, backoff * 2)
        return Backoff(min(deadline, now + backoff))

    def _finish(
        self, outcome: ClaimOutcome, reason: str, response: StoredResponse | None = None
    ) -> ClaimStep:
        return ClaimResult(
            outcome, reason, response, tuple(sorted(self.contacted_replicas))
        )
