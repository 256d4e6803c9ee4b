"""Run this agent's ledger replica, and claim keys for the requests of this agent."""

from collections.abc import Callable, Iterable
from typing import Any, Final

import gevent
from gevent.event import Event

from ...coordination.requests.claims import Backoff, Claimant, ClaimResult, SendClaim
from ...coordination.requests.ledger import Ledger
from ...coordination.requests.messages import (
    Attempt,
    Claim,
    ClaimReply,
    ClaimStatus,
    Fetch,
    FetchReply,
    RecordState,
    Settle,
    StoredResponse,
)
from ...coordination.requests.replica import LedgerReplica
from ...coordination.requests.views import EMPTY_VIEW, Member, find_replicas, make_view
from ...helpers.logging import log_event
from ...protocol.requests import Request
from .peers import Peers

FETCH_RETRY_SECONDS: Final = 0.05
# The view opens without the records of a former member that is silent for this long.
UNREACHABLE_TIMEOUT_SECONDS: Final = 0.5
SETTLE_RETRY_SECONDS: Final = 0.2
MAX_SETTLE_ATTEMPTS: Final = 5
# How long a response is held back until its replicas have confirmed it.
SETTLE_TIMEOUT_SECONDS: Final = 1.0


class LedgerService:
    """Manage the ledger replica of this agent and claim keys for its requests."""

    def __init__(self, peers: Peers, clock: Callable[[], float]) -> None:
        self._peers = peers
        self._clock = clock
        self._replica: LedgerReplica | None = None
        self._no_departures = False
        self._view_changed = Event()
        self._unreachable_deadlines: dict[int, float] = {}
        self._served_members: dict[int, set[int]] = {}
        self._last_served_view = EMPTY_VIEW

    @property
    def is_open(self) -> bool:
        """Return whether this agent answers claims."""
        return self._replica is not None and self._replica.is_open

    @property
    def used_bytes(self) -> int:
        """Return the bytes of the stored outcomes."""
        return self._replica.ledger.used_bytes if self._replica is not None else 0

    def update_members(
        self,
        incarnation: int,
        revision: int,
        members: Iterable[Member],
        no_departures: bool,
        retention: float,
    ) -> None:
        """Apply a change of the members; ``retention`` is in seconds."""
        if self._replica is None or self._replica.incarnation != incarnation:
            self._replica = LedgerReplica(incarnation, Ledger(retention))
        self._replica.ledger.retention = retention
        self._no_departures = no_departures
        self._replica.change_view(make_view(revision, members), self._clock())
        self._view_changed.set()

    def run_view_changes(self) -> None:
        """Fetch the records of this agent's keys after each change of the members."""
        while True:
            self._view_changed.wait(timeout=1.0)
            self._view_changed.clear()
            while self._replica is not None and not self._open_view():
                gevent.sleep(FETCH_RETRY_SECONDS)

    def _open_view(self) -> bool:
        replica = self._replica
        if replica.is_open or not replica.view.members:
            return True
        tasks = [
            gevent.spawn(self._fetch, replica, peer) for peer in replica.list_sources()
        ]
        gevent.joinall(tasks)
        if not replica.try_open(self._no_departures, self._clock()):
            return False
        self._unreachable_deadlines.clear()
        log_event("ledger_opened", revision=replica.view.revision)
        return True

    def _fetch(self, replica: LedgerReplica, source: int) -> None:
        view, after = replica.view, b""
        while after is not None:
            reply = self._peers.fetch(source, replica.make_fetch(self._clock(), after))
            if reply is None:
                self._record_silence(replica, source)
                return
            if view != replica.view:
                return
            after = replica.handle_fetch_reply(reply, self._clock())

    def _record_silence(self, replica: LedgerReplica, source: int) -> None:
        now = self._clock()
        deadline = self._unreachable_deadlines.setdefault(
            source, now + UNREACHABLE_TIMEOUT_SECONDS
        )
        if now >= deadline:
            replica.mark_unreachable(source)

    def handle_claim(self, claim: Claim) -> ClaimReply:
        """Answer a claim."""
        if self._replica is None:
            return ClaimReply(ClaimStatus.CLOSED)
        return self._replica.claim(claim, self._clock())

    def handle_settle(self, settle: Settle) -> None:
        """Store an outcome."""
        if self._replica is not None:
            self._replica.settle(settle, self._clock())

    def handle_fetch(self, fetch: Fetch) -> FetchReply:
        """Answer a fetch; it may contain a newer view, which is opened next."""
        if self._replica is None:
            return FetchReply(0, refused=True)
        reply = self._replica.handle_fetch(fetch, self._clock())
        self._view_changed.set()
        if not (reply.refused or reply.more):
            self._served_members.setdefault(fetch.view.digest, set()).add(
                fetch.incarnation
            )
            self._last_served_view = fetch.view
        return reply

    def is_safe_to_leave(self) -> bool:
        """Return whether the remaining agents have fetched all outcomes stored here."""
        if self._replica is None or not len(self._replica.ledger):
            return True
        view = self._last_served_view
        members = {member.incarnation for member in view.members}
        if not members or self._replica.incarnation in members:
            return False
        return members <= self._served_members[view.digest]

    def claim(self, request: Request, attempt: Attempt, deadline: float) -> ClaimResult:
        """Claim a key at both replicas; release it if the claim is not granted."""
        if self._replica is None:
            return self._make_claimant(request, attempt, deadline).start()
        claimant = self._make_claimant(request, attempt, deadline)
        step = claimant.start()
        try:
            while not isinstance(step, ClaimResult):
                step = self._advance(claimant, step)
        except BaseException:
            # The caller disconnected during the claim: its attempt will never start.
            self._release(request, attempt, claimant.contacted_replicas)
            raise
        if step.release:
            self._release(request, attempt, step.release)
        return step

    def _make_claimant(
        self, request: Request, attempt: Attempt, deadline: float
    ) -> Claimant:
        view = self._replica.view if self._replica else make_view(0, ())
        return Claimant(
            request.key, request.fingerprint, attempt, view, deadline, self._clock()
        )

    def _advance(self, claimant: Claimant, step: SendClaim | Backoff) -> Any:
        if isinstance(step, Backoff):
            gevent.sleep(max(0.0, step.deadline - self._clock()))
            return claimant.resume(self._replica.view, self._clock())
        if step.replica == self._replica.incarnation:
            reply = self.handle_claim(step.claim)
        else:
            reply = self._peers.claim(step.replica, step.claim)
        return claimant.handle_reply(reply, self._clock())

    def release(self, request: Request, attempt: Attempt) -> None:
        """Report to the replicas that a granted attempt will never start."""
        self._release(request, attempt, ())

    def _release(
        self, request: Request, attempt: Attempt, replicas: Iterable[int]
    ) -> None:
        settle = Settle(request.key, attempt, request.fingerprint, RecordState.FREE)
        self._send_settle(settle, replicas)

    def settle_unknown(self, request: Request, attempt: Attempt) -> None:
        """Report to the replicas that it is unknown whether the attempt has run."""
        self._send_settle(
            Settle(request.key, attempt, request.fingerprint, RecordState.UNKNOWN), ()
        )

    def settle_done(
        self, request: Request, attempt: Attempt, response: StoredResponse
    ) -> None:
        """Store the response at both replicas and wait a limited time for them.

        The caller gets the response even if a replica is lost: the request has run, and
        a retry then gets "unknown".
        """
        settle = Settle(
            request.key, attempt, request.fingerprint, RecordState.DONE, response
        )
        gevent.joinall(self._send_settle(settle, ()), timeout=SETTLE_TIMEOUT_SECONDS)

    def _send_settle(self, settle: Settle, extra_replicas: Iterable[int]) -> list[Any]:
        replicas = set(extra_replicas)
        if pair := find_replicas(self._replica.view, settle.key):
            replicas |= {pair.first.incarnation, pair.second.incarnation}
        if self._replica.incarnation in replicas:
            self.handle_settle(settle)
        remote_replicas = replicas - {self._replica.incarnation}
        return [
            gevent.spawn(self._send_settle_to, peer, settle) for peer in remote_replicas
        ]

    def _send_settle_to(self, replica: int, settle: Settle) -> None:
        for _ in range(MAX_SETTLE_ATTEMPTS):
            if self._peers.settle(replica, settle):
                return
            gevent.sleep(SETTLE_RETRY_SECONDS)

    def dump(self) -> dict[str, Any]:
        """Return the state for the dump."""
        if self._replica is None:
            return {"open": False}
        return {
            "open": self._replica.is_open,
            "revision": self._replica.view.revision,
            "members": [member.name for member in self._replica.view.members],
            "waits_for": self._replica.list_sources(),
            "records": len(self._replica.ledger),
            "bytes": self._replica.ledger.used_bytes,
        }
