"""Queue requests for the own target and share them with the other agents."""

from collections.abc import Callable, Iterator
from contextlib import closing
from dataclasses import replace
from random import random
from typing import Any, Final

import gevent
import grpc

from ...const import WARM_UP_SECONDS
from ...coordination.requests.admission import Admission, Refused
from ...coordination.requests.budget import RetryBudget
from ...coordination.requests.outcomes import Attempt
from ...coordination.requests.sharing import Load, Sharing, measure_load
from ...coordination.requests.weighting import Observations, find_share
from ...exceptions import RpcError
from ...helpers.clock import read_shared_clock
from ...helpers.logging import warn_event
from ...model.record import RequestPolicy
from ...protocol.requests import Envelope, HandRequest, Outcome, Part, PartKind, Request
from .client import TargetClient, refuse
from .jobs import (
    LAST_PARTS,
    Job,
    is_feed_head,
    is_feed_wanted,
    is_idempotent,
    make_refusal,
)
from .peers import Peers
from .prober import Prober

# A peer answers within the deadline; the way back may take this much longer.
HAND_GRACE_SECONDS: Final = 0.5
MAX_FEEDS: Final = 10_000
# Pushed once on arrival and pulled once by an idle agent.
MAX_HOPS: Final = 2


class Dispatcher:
    """Own the admission of one target."""

    def __init__(
        self,
        client: TargetClient,
        clock: Callable[[], float],
        credentials: grpc.ChannelCredentials | None = None,
    ) -> None:
        self.sharing = Sharing()
        self.peers = Peers(self.sharing, clock, self.tell_load, credentials)
        self.admission = Admission(1, RequestPolicy().queue_limit)
        self.budget = RetryBudget(RequestPolicy().retry_share)
        self.warm_deadline = 0.0
        self.feeds = 0
        self._client = client
        self._clock = clock
        self._jobs: dict[Attempt, Job] = {}
        self._seen = Observations()
        self._handing = 0
        self._prober = Prober(self.peers, self.sharing, self._is_idle, clock)

    def follow(self, slots: int, policy: RequestPolicy, warm_deadline: float) -> None:
        """Take over what the record says; ``warm_deadline`` is wall-clock time."""
        self.admission.slots = slots
        self.admission.queue_limit = policy.queue_limit
        self.budget.share = policy.retry_share
        self.warm_deadline = warm_deadline
        self._seen.keep_only((self.peers.incarnation, *self.peers.list_known()))

    def tell_load(self) -> Load:
        """Return the load that travels with each message."""
        weight = self._seen.weights.get(self.peers.incarnation, 1.0)
        return measure_load(self.admission, self._find_share(), weight)

    def run(
        self, request: Request, attempt: Attempt, deadline: float, hops: int = 0
    ) -> Iterator[Part]:
        """Yield the answer of a request, from the own target or another agent's."""
        job = Job(request, attempt, deadline, hops)
        if hops > 0:
            yield from self._run_here(job)
            return
        self.budget.count_request()
        peer = self._choose_peer(request)
        if peer is not None:
            yield from self._try_both(
                job, self._hand(job, peer), lambda: self._run_here(job)
            )
            return
        yield from self._try_both(
            job, self._run_here(job), lambda: self._run_elsewhere(job)
        )

    def withdraw(self, attempt: Attempt, reason: str) -> None:
        """Refuse a request that has not started; do nothing when it has."""
        if attempt in self._jobs and not self._jobs[attempt].decided.is_set():
            self._refuse_job(attempt, reason)

    def _try_both(
        self, job: Job, first: Iterator[Part], second: Callable[[], Iterator[Part]]
    ) -> Iterator[Part]:
        """Yield the first answer, or the second when the first did not begin."""
        with closing(first):
            part = next(first, None)
            if part is None:
                return
            if not self._may_repeat(job, part):
                yield part
                yield from first
                return
        again = second()
        with closing(again):
            found = next(again, None)
            yield part if found is None else found
            yield from again

    def _choose_peer(self, request: Request) -> int | None:
        if is_feed_wanted(request):
            return None
        weights = self._seen.weights
        return self.sharing.choose(self.tell_load(), random, self._clock(), weights)

    def _run_elsewhere(self, job: Job) -> Iterator[Part]:
        """Hand a job over that the own target has refused; yield nothing if alone."""
        if not job.target_failed:
            return
        own = replace(self.tell_load(), stopping=True)
        weights = self._seen.weights
        peer = self.sharing.choose(own, random, self._clock(), weights)
        if peer is not None:
            yield from self._hand(job, peer)

    def _may_repeat(self, job: Job, part: Part) -> bool:
        if part.kind != PartKind.REFUSAL or self.admission.stopping:
            return False
        # Without a key nobody can tell whether a second run doubles the first.
        safe = part.outcome == Outcome.NOT_RUN or is_idempotent(job.request)
        return safe and self.budget.take()

    def _hand(self, job: Job, peer: int) -> Iterator[Part]:
        """Yield what another agent answers; closing the iterator cancels it there."""

        def make(envelope: Envelope) -> HandRequest:
            left = job.deadline - self._clock()
            return HandRequest(envelope, job.request, job.attempt, left, job.hops + 1)

        started, is_feed, failed = self._clock(), False, True
        late = job.deadline + HAND_GRACE_SECONDS
        self._handing += 1
        try:
            with closing(self.peers.hand(peer, make)) as parts:
                while part := self._take(parts, late, is_feed, "agent is silent"):
                    is_feed = (
                        is_feed or part.kind == PartKind.HEAD and is_feed_head(part)
                    )
                    failed = part.kind == PartKind.REFUSAL
                    yield part
        except RpcError as error:
            # The call broke: the request may be running there. It is not sent again
            # unless it is idempotent.
            self.sharing.set_aside(peer, self._clock())
            warn_event("hand_over_broke", peer=peer, fault=error.fault)
            yield refuse(Outcome.UNKNOWN, str(error.fault), 1.0)
        finally:
            self._handing -= 1
            self._seen.note(peer, failed, self._clock() - started)

    def _take(
        self, parts: Iterator[Part], deadline: float, is_feed: bool, where: str
    ) -> Part | None:
        """Return the next part; after the deadline, that nobody knows."""
        left = max(0.001, deadline - self._clock())
        with gevent.Timeout(None if is_feed else left, False):
            return next(parts, None)
        return refuse(Outcome.UNKNOWN, f"deadline passed: {where}", 1.0)

    def _run_here(self, job: Job) -> Iterator[Part]:
        refused = self._offer(job)
        if refused is not None:
            yield make_refusal(refused)
            return
        try:
            self._wait_for_start(job)
            if job.refusal is not None:
                yield job.refusal
            elif job.peer is not None:
                yield from self._run_pulled(job)
            else:
                yield from self._run_in_target(job)
        finally:
            self._drop(job)

    def _offer(self, job: Job) -> Refused | None:
        refused = self.admission.offer(
            job.attempt,
            job.request.caller,
            job.deadline,
            self._clock(),
            self._find_share(),
        )
        if refused is None:
            self._jobs[job.attempt] = job
            self._start_jobs()
        return refused

    def _wait_for_start(self, job: Job) -> None:
        left = max(0.0, job.deadline - self._clock())
        if not job.decided.wait(left) and not job.started:
            self.admission.withdraw(job.attempt)
            job.refusal = refuse(Outcome.NOT_RUN, "deadline passed in the queue", 1.0)

    def _run_pulled(self, job: Job) -> Iterator[Part]:
        self._jobs.pop(job.attempt, None)
        again = Job(job.request, job.attempt, job.deadline, MAX_HOPS)
        yield from self._try_both(
            job, self._hand(job, job.peer), lambda: self._run_here(again)
        )

    def _run_in_target(self, job: Job) -> Iterator[Part]:
        """Yield the target's answer; a feed gives its slot back with its head."""
        started = self._clock()
        seconds: float | None = None
        failed, is_feed = True, False
        wall = read_shared_clock() + job.deadline - started
        with closing(self._client.run(job.request, wall)) as parts:
            try:
                while part := self._take(parts, job.deadline, is_feed, "in target"):
                    if part.kind == PartKind.HEAD:
                        failed = part.status in (429, 503)
                        is_feed = self._is_feed(part)
                    if part.kind == PartKind.END and not failed:
                        seconds = self._clock() - started
                    job.target_failed = part.kind == PartKind.REFUSAL
                    if is_feed or part.kind in LAST_PARTS:
                        self._free(job, seconds)
                    yield part
            finally:
                self.feeds -= is_feed
                spent = self._clock() - started
                self._seen.note(self.peers.incarnation, failed, spent)

    def _is_feed(self, head: Part) -> bool:
        if is_feed_head(head) and self.feeds < MAX_FEEDS:
            self.feeds += 1
            return True
        return False

    def _free(self, job: Job, seconds: float | None) -> None:
        self.admission.finish(job.attempt, seconds)
        self._start_jobs()
        self._prober.probe(self.admission.queued)

    def _drop(self, job: Job) -> None:
        """Forget a job whose caller has left or has its answer."""
        if self._jobs.get(job.attempt) is job:
            del self._jobs[job.attempt]
            self.admission.withdraw(job.attempt)
            self._free(job, None)

    def _start_jobs(self) -> None:
        while waiting := self.admission.start_next(self._clock(), self._find_share()):
            job = self._jobs[waiting.attempt]
            job.started = True
            job.decided.set()

    def take_handed(self, call: HandRequest) -> Iterator[Part]:
        """Run what another agent hands over."""
        self.sharing.hear(call.envelope.sender, call.envelope.load, self._clock())
        deadline = self._clock() + call.seconds_left
        return self.run(call.request, call.attempt, deadline, call.hops)

    def take_pull(self, sender: int, load: Load, idle: bool) -> int:
        """Hand the next request to an idle agent; return how many are handed."""
        self.sharing.hear(sender, load, self._clock())
        if load.queued and self._is_idle():
            self._prober.start_pull(sender)
        if not idle or sender not in self.peers.list_known():
            return 0
        waiting = self.admission.peek_next()
        if waiting is None:
            return 0
        # What can't be handed over keeps its place: offered anew it might be refused,
        # with nobody to tell its caller before the deadline.
        job = self._jobs[waiting.attempt]
        if job.hops >= MAX_HOPS or is_feed_wanted(job.request):
            return 0
        self.admission.withdraw(waiting.attempt)
        job.peer = sender
        job.decided.set()
        return 1

    def tick(self) -> None:
        """Drop what is too late, start what the ramp allows, look for work."""
        now = self._clock()
        for attempt in self.admission.list_expired(now):
            self._refuse_job(attempt, "deadline can not be met any more")
        self._start_jobs()
        self._prober.probe(self.admission.queued)

    def _refuse_job(self, attempt: Attempt, reason: str) -> None:
        job = self._jobs[attempt]
        self.admission.withdraw(attempt)
        wait = max(self.admission.estimate_wait(), self.admission.service_seconds)
        job.refusal = refuse(Outcome.NOT_RUN, reason, wait)
        job.decided.set()

    def _is_idle(self) -> bool:
        load = self.tell_load()
        return not load.stopping and load.queued == 0 and load.running < load.slots

    def stop(self) -> None:
        """Hand on or refuse what has not started."""
        self.admission.stopping = True
        for attempt, job in [*self._jobs.items()]:
            if job.started or not self.admission.withdraw(attempt):
                continue
            peer = self._choose_peer(job.request) if job.hops < MAX_HOPS else None
            if peer is None:
                job.refusal = refuse(Outcome.NOT_RUN, "agent is stopping", 1.0)
            job.peer = peer
            job.decided.set()

    @property
    def busy(self) -> int:
        """Count the requests in progress, feeds among them."""
        return len(self._jobs) + self._handing

    def _find_share(self) -> float:
        return find_share(self.warm_deadline, WARM_UP_SECONDS, read_shared_clock())

    def dump(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            "slots": self.admission.slots,
            "running": len(self.admission.running),
            "queued": self.admission.queued,
            "feeds": self.feeds,
            "stopping": self.admission.stopping,
            "service_seconds": self.admission.service_seconds,
            "weights": self._seen.weights,
        }
