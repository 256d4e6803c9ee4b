"""Run one replica of the idempotency ledger through changes of the members."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Final

from .ledger import Ledger
from .messages import (
    Claim,
    ClaimReply,
    ClaimStatus,
    Fetch,
    FetchReply,
    LedgerRecord,
    PastView,
    RecordState,
    Settle,
)
from .views import EMPTY_VIEW, View, count_domains, find_replicas

# Represents a history that no agent knows: all agents of the service restarted at once.
UNKNOWN_HISTORY_VIEW: Final = View(0, (), 1)
MAX_PAGE_RECORDS: Final = 500
MAX_PAGE_BYTES: Final = 4 * 1024 * 1024


@dataclass(slots=True)
class FetchProgress:
    """Track the fetches of records for the current view."""

    answered: set[int] = field(default_factory=set)
    unreachable: set[int] = field(default_factory=set)
    knows_history: bool = False


class LedgerReplica:
    """Protect a ledger: answer claims only while every attempt that may run is known.

    A claim counts once both replicas have granted it under the same view. So each of
    them knows every started attempt, and a new view may open when the members of the
    older views have sealed those views and sent their records. Members of older views
    that cannot be reached are recorded as missing; if both replicas of a key are
    missing, the answer is "unknown" until the retention time ends.
    """

    def __init__(self, incarnation: int, ledger: Ledger) -> None:
        self.incarnation = incarnation
        self.ledger = ledger
        self.view: View = EMPTY_VIEW
        self.is_open = False
        self._past_views: dict[int, PastView] = {}
        self._newest_revision = 0
        self._promised_revision = 0
        self._knows_history = False
        self._fetch_progress = FetchProgress()

    def change_view(self, view: View, now: float) -> None:
        """Switch to a new view; no claim is granted until the view opens."""
        if view.revision <= self._newest_revision:
            return
        self._newest_revision = view.revision
        if view.digest == self.view.digest:
            self._keep_view(view)
            return
        if self.view.members:
            self._add_past_view(PastView(self.view, (), now + self.ledger.retention))
        self._past_views.pop(view.digest, None)
        self.view = view
        self._close()

    def _keep_view(self, view: View) -> None:
        # The revision at which the view opened is kept; a higher one from a peer means
        # that this agent missed a view that others opened in between.
        if not self.is_open:
            self.view = view
            self._close()

    def list_sources(self) -> tuple[int, ...]:
        """Return the agents whose records still have to be fetched."""
        done = (
            self._fetch_progress.answered
            | self._fetch_progress.unreachable
            | {self.incarnation}
        )
        return (
            tuple(sorted(self._list_members_to_fetch() - done))
            if not self.is_open
            else ()
        )

    def make_fetch(self, now: float, after: bytes = b"") -> Fetch:
        """Return the request for the records that follow the key ``after``."""
        return Fetch(self.incarnation, self.view, self._list_past_views(now), after)

    def handle_fetch(self, fetch: Fetch, now: float) -> FetchReply:
        """Seal older views and return a page of records."""
        is_same_view = fetch.view.digest == self.view.digest
        if not is_same_view and self._newest_revision > fetch.view.revision:
            return FetchReply(self.incarnation, refused=True)
        if not is_same_view:
            self._promise_view(fetch.view)
        self._merge_past_views(fetch.past, now)
        page, more = self._make_page(fetch, now)
        past = self._list_past_views(now, include_current=not is_same_view)
        return FetchReply(self.incarnation, page, past, self._knows_history, more=more)

    def handle_fetch_reply(self, reply: FetchReply, now: float) -> bytes | None:
        """Merge a page of records; return its last key if another page follows."""
        if reply.refused:
            return None
        self._merge_past_views(reply.past, now)
        self.ledger.merge(_shift_deadline(record, now) for record in reply.records)
        if reply.more:
            return reply.records[-1].key
        self._fetch_progress.answered.add(reply.incarnation)
        self._fetch_progress.knows_history |= reply.seasoned
        return None

    def mark_unreachable(self, incarnation: int) -> None:
        """Stop waiting for a former member; current members are always required."""
        if all(incarnation != member.incarnation for member in self.view.members):
            self._fetch_progress.unreachable.add(incarnation)

    def try_open(self, no_departures: bool, now: float) -> bool:
        """Open the view when all records are fetched; return whether it is open.

        ``no_departures`` means that no agent has ever left this service.
        """
        if self.is_open:
            return True
        # In a view of one failure domain no key has two replicas: no agent would take
        # over the records of the earlier views.
        if count_domains(self.view.members) < 2 or self.list_sources():
            return False
        if self._promised_revision > self.view.revision:
            return False
        # When all agents started with empty ledgers, none knows what ran before:
        # answering "never seen" would let a retried request run a second time.
        if not (
            no_departures or self._knows_history or self._fetch_progress.knows_history
        ):
            self._add_past_view(
                PastView(
                    UNKNOWN_HISTORY_VIEW, (), now + self.ledger.retention, settled=True
                )
            )
        self._finalize_past_views(now)
        self._knows_history = True
        self.is_open = True
        return True

    def claim(self, claim: Claim, now: float) -> ClaimReply:
        """Answer a claim; refuse it while the view is not open."""
        if not self.is_open or claim.digest != self.view.digest:
            return ClaimReply(ClaimStatus.CLOSED)
        self.ledger.expire(now)
        existing = self.ledger.find(claim.key)
        is_done = existing is not None and existing.state == RecordState.DONE
        if not is_done and self._may_have_lost(claim.key, now):
            return ClaimReply(ClaimStatus.UNKNOWN)
        return self.ledger.claim(claim, now)

    def settle(self, settle: Settle, now: float) -> None:
        """Store an outcome; outcomes are accepted under every view."""
        self.ledger.settle(settle, now)

    def _close(self) -> None:
        self.is_open = False
        self._fetch_progress = FetchProgress()

    def _promise_view(self, view: View) -> None:
        """Seal all views that are older than the view of the agent that fetches.

        Without the promise a claim under the older view could be granted after the
        records were sent, and the same key again under the newer view.
        """
        self._promised_revision = max(self._promised_revision, view.revision)
        self.is_open = False

    def _make_page(
        self, fetch: Fetch, now: float
    ) -> tuple[tuple[LedgerRecord, ...], bool]:
        page: list[LedgerRecord] = []
        size = 0
        for record in self.ledger:
            if record.key <= fetch.after or not _requester_replicates(
                record.key, fetch
            ):
                continue
            if len(page) >= MAX_PAGE_RECORDS or size > MAX_PAGE_BYTES:
                return tuple(page), True
            page.append(_shift_deadline(record, -now))
            size += len(record.answer.body) if record.answer else 0
        return tuple(page), False

    def _add_past_view(self, past: PastView) -> None:
        existing = self._past_views.get(past.view.digest)
        if existing is None:
            self._past_views[past.view.digest] = past
            return
        # An agent that has not settled the view may lack records of a member that is
        # lost by now: its own records have to be fetched again. Until then missing
        # members stay missing: a late message would turn "unknown" into "never seen".
        settled = existing.settled and past.settled
        missing = tuple(sorted({*existing.missing, *past.missing}))
        deadline = max(existing.deadline, past.deadline)
        revision = max(existing.view.revision, past.view.revision)
        view = replace(existing.view, revision=revision)
        self._past_views[past.view.digest] = PastView(view, missing, deadline, settled)

    def _merge_past_views(self, past_views: Iterable[PastView], now: float) -> None:
        for past in past_views:
            if past.view.digest == self.view.digest:
                continue
            self._add_past_view(replace(past, deadline=past.deadline + now))
            # Members left and rejoined: other agents opened a view in between that
            # this agent missed, so the records that it has fetched are out of date.
            if past.view.revision > self.view.revision:
                self.view = replace(self.view, revision=past.view.revision)
                self._close()

    def _list_past_views(
        self, now: float, include_current: bool = False
    ) -> tuple[PastView, ...]:
        past_views = [
            replace(past, deadline=past.deadline - now)
            for past in self._past_views.values()
            if past.deadline > now
        ]
        if include_current and self.view.members:
            past_views.append(PastView(self.view, (), self.ledger.retention))
        return tuple(past_views)

    def _list_members_to_fetch(self) -> set[int]:
        unsettled = [
            past.view for past in self._past_views.values() if not past.settled
        ]
        views = [self.view, *unsettled]
        return {member.incarnation for view in views for member in view.members}

    def _finalize_past_views(self, now: float) -> None:
        """Keep only the past views with records that could not be fetched.

        A view whose missing members are in one failure domain has lost nothing: the
        other replica of each key has sent its records.
        """
        unrecovered = {}
        for digest, past in self._past_views.items():
            settled = past if past.settled else self._settle_view(past)
            if past.deadline > now and _lost_members_span_domains(settled):
                unrecovered[digest] = settled
        self._past_views = unrecovered

    def _settle_view(self, past: PastView) -> PastView:
        members = {member.incarnation for member in past.view.members}
        missing = tuple(sorted(members & self._fetch_progress.unreachable))
        return replace(past, missing=missing, settled=True)

    def _may_have_lost(self, key: bytes, now: float) -> bool:
        return any(
            _has_lost(past, key)
            for past in self._past_views.values()
            if past.deadline > now
        )


def _lost_members_span_domains(past: PastView) -> bool:
    if past.view.digest == UNKNOWN_HISTORY_VIEW.digest:
        return True
    missing = set(past.missing)
    lost = [member for member in past.view.members if member.incarnation in missing]
    return count_domains(lost) > 1


def _has_lost(past: PastView, key: bytes) -> bool:
    if past.view.digest == UNKNOWN_HISTORY_VIEW.digest:
        return True
    pair = find_replicas(past.view, key)
    if pair is None:
        return False
    replicas = {pair.first.incarnation, pair.second.incarnation}
    return replicas <= set(past.missing)


def _requester_replicates(key: bytes, fetch: Fetch) -> bool:
    pair = find_replicas(fetch.view, key)
    return pair is not None and pair.includes(fetch.incarnation)


def _shift_deadline(record: LedgerRecord, seconds: float) -> LedgerRecord:
    return replace(record, deadline=record.deadline + seconds)
