"""Decide when a holder may answer for its keys after the members have changed."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Final

from .holders import EMPTY_VIEW, View, count_domains, find_pair
from .ledger import Ledger
from .outcomes import (
    Claim,
    ClaimReply,
    Copy,
    Fetch,
    LedgerRecord,
    PastView,
    RecordState,
    Settle,
    Verdict,
)

# Stands for a past that nobody knows: all agents of a service started anew at once.
BLIND_VIEW: Final = View(0, (), 1)
PAGE_RECORDS: Final = 500
PAGE_BYTES: Final = 4 * 1024 * 1024


@dataclass(slots=True)
class Progress:
    """Hold who has answered the fetches of the current view."""

    answered: set[int] = field(default_factory=set)
    given_up: set[int] = field(default_factory=set)
    seasoned: bool = False


class Holder:
    """Guard a ledger: answer only while all that may have run is known.

    A claim counts once both holders under one view have granted it. So a started
    attempt is known to either of them, and a new view may open when each of its
    members has sealed the older views and sent its records. Members of older views
    that cannot be asked are named: a key whose two holders are both among them is
    answered "unknown" until its retention has passed.
    """

    def __init__(self, incarnation: int, ledger: Ledger) -> None:
        self.incarnation = incarnation
        self.ledger = ledger
        self.view: View = EMPTY_VIEW
        self.open = False
        self._past: dict[int, PastView] = {}
        self._seen = 0
        self._promised = 0
        self._seasoned = False
        self._progress = Progress()

    def change_view(self, view: View, now: float) -> None:
        """Follow a change of members; grant nothing until the view opens."""
        if view.revision <= self._seen:
            return
        self._seen = view.revision
        if view.digest == self.view.digest:
            self._repeat_view(view)
            return
        if self.view.members:
            self._remember(PastView(self.view, (), now + self.ledger.retention))
        self._past.pop(view.digest, None)
        self.view = view
        self._close()

    def _repeat_view(self, view: View) -> None:
        # While open the first revision is kept: it tells whether a view in between,
        # which others opened meanwhile, was missed here.
        if not self.open:
            self.view = view
            self._close()

    def list_sources(self) -> tuple[int, ...]:
        """Return the agents that still have to be asked for their records."""
        asked = self._progress.answered | self._progress.given_up | {self.incarnation}
        return tuple(sorted(self._list_known() - asked)) if not self.open else ()

    def make_fetch(self, now: float, after: bytes = b"") -> Fetch:
        """Return the message that asks for records."""
        return Fetch(self.incarnation, self.view, self._list_past(now), after)

    def take_fetch(self, fetch: Fetch, now: float) -> Copy:
        """Seal older views and return a page of records."""
        same = fetch.view.digest == self.view.digest
        if not same and self._seen > fetch.view.revision:
            return Copy(self.incarnation, refused=True)
        if not same:
            self._promise(fetch.view)
        self._learn(fetch.past, now)
        page, more = self._take_page(fetch, now)
        past = self._list_past(now, include_own=not same)
        return Copy(self.incarnation, page, past, self._seasoned, more=more)

    def take_copy(self, copy: Copy, now: float) -> bytes | None:
        """Take in a page; return the key after which the next page begins."""
        if copy.refused:
            return None
        self._learn(copy.past, now)
        self.ledger.merge(_shift(record, now) for record in copy.records)
        if copy.more:
            return copy.records[-1].key
        self._progress.answered.add(copy.incarnation)
        self._progress.seasoned |= copy.seasoned
        return None

    def give_up(self, incarnation: int) -> None:
        """Do without a former member; a current one cannot be done without."""
        if all(incarnation != member.incarnation for member in self.view.members):
            self._progress.given_up.add(incarnation)

    def try_open(self, founding: bool, now: float) -> bool:
        """Open the view when nothing is left to ask; return whether it is open.

        ``founding`` tells that no agent has ever left this service.
        """
        if self.open:
            return True
        # A view in one failure domain has no pair of holders for any key: nobody would
        # take over the records of the views before it.
        if count_domains(self.view.members) < 2 or self.list_sources():
            return False
        if self._promised > self.view.revision:
            return False
        # An agent that started with an empty ledger among others like it cannot know
        # what ran before: "never seen" would let a resend run a second time.
        if not (founding or self._seasoned or self._progress.seasoned):
            self._remember(
                PastView(BLIND_VIEW, (), now + self.ledger.retention, settled=True)
            )
        self._settle_past(now)
        self._seasoned = True
        self.open = True
        return True

    def claim(self, claim: Claim, now: float) -> ClaimReply:
        """Answer a claim, or refuse while not all is known."""
        if not self.open or claim.digest != self.view.digest:
            return ClaimReply(Verdict.CLOSED)
        self.ledger.expire(now)
        found = self.ledger.find(claim.key)
        done = found is not None and found.state == RecordState.DONE
        if not done and self._is_lost(claim.key, now):
            return ClaimReply(Verdict.UNKNOWN)
        return self.ledger.claim(claim, now)

    def settle(self, settle: Settle, now: float) -> None:
        """Keep an outcome; it is welcome under every view."""
        self.ledger.settle(settle, now)

    def _close(self) -> None:
        self.open = False
        self._progress = Progress()

    def _promise(self, view: View) -> None:
        """Seal what the fetcher's view replaces.

        Without the promise a claim under the older view could be granted after the
        copy was taken, and the same key once more under the newer one.
        """
        self._promised = max(self._promised, view.revision)
        self.open = False

    def _take_page(
        self, fetch: Fetch, now: float
    ) -> tuple[tuple[LedgerRecord, ...], bool]:
        page: list[LedgerRecord] = []
        size = 0
        for record in self.ledger:
            if record.key <= fetch.after or not _is_held(record.key, fetch):
                continue
            if len(page) >= PAGE_RECORDS or size > PAGE_BYTES:
                return tuple(page), True
            page.append(_shift(record, -now))
            size += len(record.answer.body) if record.answer else 0
        return tuple(page), False

    def _remember(self, past: PastView) -> None:
        found = self._past.get(past.view.digest)
        if found is None:
            self._past[past.view.digest] = past
            return
        # Who has not settled the view may lack what a member that is lost by now would
        # have told: it has to be asked again. Until then what is missing stays so, else
        # a late message would turn "unknown" into "never seen".
        settled = found.settled and past.settled
        missing = tuple(sorted({*found.missing, *past.missing}))
        deadline = max(found.deadline, past.deadline)
        revision = max(found.view.revision, past.view.revision)
        view = replace(found.view, revision=revision)
        self._past[past.view.digest] = PastView(view, missing, deadline, settled)

    def _learn(self, pasts: Iterable[PastView], now: float) -> None:
        for past in pasts:
            if past.view.digest == self.view.digest:
                continue
            self._remember(replace(past, deadline=past.deadline + now))
            # Members that left and came back: others opened a view in between that
            # was missed here, and what was copied before it is out of date.
            if past.view.revision > self.view.revision:
                self.view = replace(self.view, revision=past.view.revision)
                self._close()

    def _list_past(self, now: float, include_own: bool = False) -> tuple[PastView, ...]:
        pasts = [
            replace(past, deadline=past.deadline - now)
            for past in self._past.values()
            if past.deadline > now
        ]
        if include_own and self.view.members:
            pasts.append(PastView(self.view, (), self.ledger.retention))
        return tuple(pasts)

    def _list_known(self) -> set[int]:
        unsettled = [past.view for past in self._past.values() if not past.settled]
        views = [self.view, *unsettled]
        return {member.incarnation for view in views for member in view.members}

    def _settle_past(self, now: float) -> None:
        """Keep of the past only what could not be copied.

        A view whose missing members share a failure domain has lost nothing: the
        other holder of each key has answered.
        """
        kept = {}
        for digest, past in self._past.items():
            settled = past if past.settled else self._settle_view(past)
            if past.deadline > now and _spans_domains(settled):
                kept[digest] = settled
        self._past = kept

    def _settle_view(self, past: PastView) -> PastView:
        members = {member.incarnation for member in past.view.members}
        missing = tuple(sorted(members & self._progress.given_up))
        return replace(past, missing=missing, settled=True)

    def _is_lost(self, key: bytes, now: float) -> bool:
        return any(
            _lacks(past, key) for past in self._past.values() if past.deadline > now
        )


def _spans_domains(past: PastView) -> bool:
    if past.view.digest == BLIND_VIEW.digest:
        return True
    missing = set(past.missing)
    lost = [one for one in past.view.members if one.incarnation in missing]
    return count_domains(lost) > 1


def _lacks(past: PastView, key: bytes) -> bool:
    if past.view.digest == BLIND_VIEW.digest:
        return True
    pair = find_pair(past.view, key)
    if pair is None:
        return False
    holders = {pair.first.incarnation, pair.second.incarnation}
    return holders <= set(past.missing)


def _is_held(key: bytes, fetch: Fetch) -> bool:
    pair = find_pair(fetch.view, key)
    return pair is not None and pair.holds(fetch.incarnation)


def _shift(record: LedgerRecord, seconds: float) -> LedgerRecord:
    return replace(record, deadline=record.deadline + seconds)
