"""Keep outcomes of keys for the service, and claim keys for this agent."""

from collections.abc import Callable, Iterable
from typing import Any, Final

import gevent
from gevent.event import Event

from ...coordination.requests.claims import Ask, Claimant, End, Pause
from ...coordination.requests.handover import Holder
from ...coordination.requests.holders import EMPTY_VIEW, Member, find_pair, make_view
from ...coordination.requests.ledger import Ledger
from ...coordination.requests.outcomes import (
    Answer,
    Attempt,
    Claim,
    ClaimReply,
    Copy,
    Fetch,
    RecordState,
    Settle,
    Verdict,
)
from ...helpers.logging import log_event
from ...protocol.requests import Request
from .peers import Peers

FETCH_PAUSE_SECONDS: Final = 0.05
# A former member that is silent for this long is done without, in seconds.
GIVE_UP_SECONDS: Final = 0.5
SETTLE_PAUSE_SECONDS: Final = 0.2
SETTLE_TRIES: Final = 5
# An answer waits this long for its holders before the caller gets it, in seconds.
SETTLE_WAIT_SECONDS: Final = 1.0


class Keeper:
    """Own the holder of this agent and drive the claims of its requests."""

    def __init__(self, peers: Peers, clock: Callable[[], float]) -> None:
        self._peers = peers
        self._clock = clock
        self._holder: Holder | None = None
        self._founding = False
        self._changed = Event()
        self._silent: dict[int, float] = {}
        self._served: dict[int, set[int]] = {}
        self._last_served = EMPTY_VIEW

    @property
    def is_open(self) -> bool:
        """Tell whether this agent answers for its keys."""
        return self._holder is not None and self._holder.open

    @property
    def used_bytes(self) -> int:
        """Return the bytes that the kept outcomes are charged."""
        return self._holder.ledger.used_bytes if self._holder is not None else 0

    def follow(
        self,
        incarnation: int,
        revision: int,
        members: Iterable[Member],
        founding: bool,
        retention: float,
    ) -> None:
        """Follow a change of the members; ``retention`` is in seconds."""
        if self._holder is None or self._holder.incarnation != incarnation:
            self._holder = Holder(incarnation, Ledger(retention))
        self._holder.ledger.retention = retention
        self._founding = founding
        self._holder.change_view(make_view(revision, members), self._clock())
        self._changed.set()

    def open_views(self) -> None:
        """Fetch what the own keys need whenever the members have changed."""
        while True:
            self._changed.wait(timeout=1.0)
            self._changed.clear()
            while self._holder is not None and not self._open_view():
                gevent.sleep(FETCH_PAUSE_SECONDS)

    def _open_view(self) -> bool:
        holder = self._holder
        if holder.open or not holder.view.members:
            return True
        tasks = [
            gevent.spawn(self._fetch, holder, one) for one in holder.list_sources()
        ]
        gevent.joinall(tasks)
        if not holder.try_open(self._founding, self._clock()):
            return False
        self._silent.clear()
        log_event("ledger_opened", revision=holder.view.revision)
        return True

    def _fetch(self, holder: Holder, source: int) -> None:
        view, after = holder.view, b""
        while after is not None:
            copy = self._peers.fetch(source, holder.make_fetch(self._clock(), after))
            if copy is None:
                self._note_silence(holder, source)
                return
            if view != holder.view:
                return
            after = holder.take_copy(copy, self._clock())

    def _note_silence(self, holder: Holder, source: int) -> None:
        now = self._clock()
        deadline = self._silent.setdefault(source, now + GIVE_UP_SECONDS)
        if now >= deadline:
            holder.give_up(source)

    def take_claim(self, claim: Claim) -> ClaimReply:
        """Answer a claim."""
        if self._holder is None:
            return ClaimReply(Verdict.CLOSED)
        return self._holder.claim(claim, self._clock())

    def take_settle(self, settle: Settle) -> None:
        """Keep an outcome."""
        if self._holder is not None:
            self._holder.settle(settle, self._clock())

    def take_fetch(self, fetch: Fetch) -> Copy:
        """Answer a fetch and look for the newer view that it may tell of."""
        if self._holder is None:
            return Copy(0, refused=True)
        copy = self._holder.take_fetch(fetch, self._clock())
        self._changed.set()
        if not (copy.refused or copy.more):
            self._served.setdefault(fetch.view.digest, set()).add(fetch.incarnation)
            self._last_served = fetch.view
        return copy

    def is_handed_over(self) -> bool:
        """Tell whether the agents that stay have taken all that is kept here."""
        if self._holder is None or not len(self._holder.ledger):
            return True
        view = self._last_served
        staying = {member.incarnation for member in view.members}
        if not staying or self._holder.incarnation in staying:
            return False
        return staying <= self._served[view.digest]

    def claim(self, request: Request, attempt: Attempt, deadline: float) -> End:
        """Claim a key at both holders; what is not granted is released."""
        if self._holder is None:
            return self._make_claimant(request, attempt, deadline).start()
        claimant = self._make_claimant(request, attempt, deadline)
        step = claimant.start()
        try:
            while not isinstance(step, End):
                step = self._advance(claimant, step)
        except BaseException:
            # The caller left during the claim: its attempt will never start.
            self._release(request, attempt, claimant.asked)
            raise
        if step.release:
            self._release(request, attempt, step.release)
        return step

    def _make_claimant(
        self, request: Request, attempt: Attempt, deadline: float
    ) -> Claimant:
        view = self._holder.view if self._holder else make_view(0, ())
        return Claimant(
            request.key, request.fingerprint, attempt, view, deadline, self._clock()
        )

    def _advance(self, claimant: Claimant, step: Ask | Pause) -> Any:
        if isinstance(step, Pause):
            gevent.sleep(max(0.0, step.deadline - self._clock()))
            return claimant.resume(self._holder.view, self._clock())
        if step.holder == self._holder.incarnation:
            reply = self.take_claim(step.claim)
        else:
            reply = self._peers.claim(step.holder, step.claim)
        return claimant.take_reply(reply, self._clock())

    def release(self, request: Request, attempt: Attempt) -> None:
        """Tell the holders that a granted attempt never started and never will."""
        self._release(request, attempt, ())

    def _release(
        self, request: Request, attempt: Attempt, holders: Iterable[int]
    ) -> None:
        settle = Settle(request.key, attempt, request.fingerprint, RecordState.FREE)
        self._spread(settle, holders)

    def settle_unknown(self, request: Request, attempt: Attempt) -> None:
        """Tell the holders that nobody knows whether the attempt has run."""
        self._spread(
            Settle(request.key, attempt, request.fingerprint, RecordState.UNKNOWN), ()
        )

    def settle_done(self, request: Request, attempt: Attempt, answer: Answer) -> None:
        """Keep the answer at both holders; wait for them within a bound.

        The caller gets its answer also when a holder is lost: it is the truth, and a
        resend is then told "unknown".
        """
        settle = Settle(
            request.key, attempt, request.fingerprint, RecordState.DONE, answer
        )
        gevent.joinall(self._spread(settle, ()), timeout=SETTLE_WAIT_SECONDS)

    def _spread(self, settle: Settle, more: Iterable[int]) -> list[Any]:
        holders = set(more)
        if pair := find_pair(self._holder.view, settle.key):
            holders |= {pair.first.incarnation, pair.second.incarnation}
        if self._holder.incarnation in holders:
            self.take_settle(settle)
        others = holders - {self._holder.incarnation}
        return [gevent.spawn(self._settle_one, one, settle) for one in others]

    def _settle_one(self, holder: int, settle: Settle) -> None:
        for _ in range(SETTLE_TRIES):
            if self._peers.settle(holder, settle):
                return
            gevent.sleep(SETTLE_PAUSE_SECONDS)

    def dump(self) -> dict[str, Any]:
        """Return the state for the dump."""
        if self._holder is None:
            return {"open": False}
        return {
            "open": self._holder.open,
            "revision": self._holder.view.revision,
            "members": [member.name for member in self._holder.view.members],
            "waits_for": self._holder.list_sources(),
            "records": len(self._holder.ledger),
            "bytes": self._holder.ledger.used_bytes,
        }
