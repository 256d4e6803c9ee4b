"""Queue requests for the local target and share them with the other agents."""

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
from ...coordination.requests.load_sharing import Load, LoadSharing, measure_load
from ...coordination.requests.messages import Attempt
from ...coordination.requests.weighting import OutlierDetector, compute_slow_start_share
from ...exceptions import RpcError
from ...helpers.clock import read_wall_clock
from ...helpers.logging import warn_event
from ...model.record import RequestPolicy
from ...protocol.requests import (
    Envelope,
    HandOverRequest,
    Outcome,
    Request,
    ResponsePart,
    ResponsePartKind,
)
from .jobs import (
    FINAL_PARTS,
    Job,
    accepts_event_stream,
    is_event_stream,
    is_idempotent,
    make_refusal,
)
from .peers import Peers
from .request_puller import RequestPuller
from .target_client import TargetClient, refuse

# A peer answers within the deadline; its reply may take this much longer to arrive.
FORWARD_GRACE_SECONDS: Final = 0.5
MAX_EVENT_STREAMS: Final = 10_000
# A request may be forwarded once on arrival and pulled once by an idle agent.
MAX_HOPS: Final = 2


class Dispatcher:
    """Admit the requests for one target, or forward them to a less loaded agent."""

    def __init__(
        self,
        client: TargetClient,
        clock: Callable[[], float],
        credentials: grpc.ChannelCredentials | None = None,
    ) -> None:
        self.load_sharing = LoadSharing()
        self.peers = Peers(self.load_sharing, clock, self.report_load, credentials)
        self.admission = Admission(1, RequestPolicy().queue_limit)
        self.retry_budget = RetryBudget(RequestPolicy().retry_share)
        self.warm_deadline = 0.0
        self.event_streams = 0
        self._client = client
        self._clock = clock
        self._jobs: dict[Attempt, Job] = {}
        self._outlier_detector = OutlierDetector()
        self._forwarding_count = 0
        self._puller = RequestPuller(
            self.peers, self.load_sharing, self._is_idle, clock
        )

    def update_service(
        self, slots: int, policy: RequestPolicy, warm_deadline: float
    ) -> None:
        """Apply the record of the service; ``warm_deadline`` is wall-clock time."""
        self.admission.slots = slots
        self.admission.queue_limit = policy.queue_limit
        self.retry_budget.share = policy.retry_share
        self.warm_deadline = warm_deadline
        self._outlier_detector.retain(
            (self.peers.incarnation, *self.peers.list_peers())
        )

    def report_load(self) -> Load:
        """Return the load report that is sent with each message."""
        weight = self._outlier_detector.weights.get(self.peers.incarnation, 1.0)
        return measure_load(self.admission, self._compute_slow_start_share(), weight)

    def run(
        self, request: Request, attempt: Attempt, deadline: float, hops: int = 0
    ) -> Iterator[ResponsePart]:
        """Yield the response to a request, from the local target or another agent."""
        job = Job(request, attempt, deadline, hops)
        if hops > 0:
            yield from self._run_locally(job)
            return
        self.retry_budget.count_request()
        peer = self._choose_peer(request)
        if peer is not None:
            yield from self._try_with_fallback(
                job, self._forward(job, peer), lambda: self._run_locally(job)
            )
            return
        yield from self._try_with_fallback(
            job, self._run_locally(job), lambda: self._retry_elsewhere(job)
        )

    def withdraw(self, attempt: Attempt, reason: str) -> None:
        """Refuse a request unless it has started."""
        if attempt in self._jobs and not self._jobs[attempt].decided.is_set():
            self._refuse_job(attempt, reason)

    def _try_with_fallback(
        self,
        job: Job,
        first: Iterator[ResponsePart],
        make_fallback: Callable[[], Iterator[ResponsePart]],
    ) -> Iterator[ResponsePart]:
        """Yield the first response; if it is refused and may be retried, the second."""
        with closing(first):
            part = next(first, None)
            if part is None:
                return
            if not self._may_retry(job, part):
                yield part
                yield from first
                return
        fallback = make_fallback()
        with closing(fallback):
            fallback_part = next(fallback, None)
            yield part if fallback_part is None else fallback_part
            yield from fallback

    def _choose_peer(self, request: Request) -> int | None:
        if accepts_event_stream(request):
            return None
        weights = self._outlier_detector.weights
        return self.load_sharing.choose_peer(
            self.report_load(), random, self._clock(), weights
        )

    def _retry_elsewhere(self, job: Job) -> Iterator[ResponsePart]:
        """Forward a job that the local target has refused, if a peer can run it."""
        if not job.target_failed:
            return
        local_load = replace(self.report_load(), stopping=True)
        weights = self._outlier_detector.weights
        peer = self.load_sharing.choose_peer(local_load, random, self._clock(), weights)
        if peer is not None:
            yield from self._forward(job, peer)

    def _may_retry(self, job: Job, part: ResponsePart) -> bool:
        if part.kind != ResponsePartKind.REFUSAL or self.admission.stopping:
            return False
        # Only a request that has not run, or an idempotent one, may run again.
        is_safe = part.outcome == Outcome.NOT_RUN or is_idempotent(job.request)
        return is_safe and self.retry_budget.take()

    def _forward(self, job: Job, peer: int) -> Iterator[ResponsePart]:
        """Yield the response of another agent; closing the iterator cancels it."""

        def make_request(envelope: Envelope) -> HandOverRequest:
            seconds_left = job.deadline - self._clock()
            return HandOverRequest(
                envelope, job.request, job.attempt, seconds_left, job.hops + 1
            )

        started_at, is_streaming, failed = self._clock(), False, True
        reply_deadline = job.deadline + FORWARD_GRACE_SECONDS
        self._forwarding_count += 1
        try:
            with closing(self.peers.forward(peer, make_request)) as parts:
                while part := self._next_part(
                    parts, reply_deadline, is_streaming, "agent is silent"
                ):
                    is_streaming = (
                        is_streaming
                        or part.kind == ResponsePartKind.HEAD
                        and is_event_stream(part)
                    )
                    failed = part.kind == ResponsePartKind.REFUSAL
                    yield part
        except RpcError as error:
            # The call broke and the request may be running at the other agent. It is
            # not retried unless it is idempotent.
            self.load_sharing.suspend(peer, self._clock())
            warn_event("hand_over_broke", peer=peer, fault=error.fault)
            yield refuse(Outcome.UNKNOWN, str(error.fault), 1.0)
        finally:
            self._forwarding_count -= 1
            self._outlier_detector.record(peer, failed, self._clock() - started_at)

    def _next_part(
        self,
        parts: Iterator[ResponsePart],
        deadline: float,
        is_streaming: bool,
        stage: str,
    ) -> ResponsePart | None:
        """Return the next part; after the deadline a refusal with unknown outcome."""
        seconds_left = max(0.001, deadline - self._clock())
        with gevent.Timeout(None if is_streaming else seconds_left, False):
            return next(parts, None)
        return refuse(Outcome.UNKNOWN, f"deadline passed: {stage}", 1.0)

    def _run_locally(self, job: Job) -> Iterator[ResponsePart]:
        refused = self._enqueue(job)
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
            self._remove_job(job)

    def _enqueue(self, job: Job) -> Refused | None:
        refused = self.admission.offer(
            job.attempt,
            job.request.caller,
            job.deadline,
            self._clock(),
            self._compute_slow_start_share(),
        )
        if refused is None:
            self._jobs[job.attempt] = job
            self._start_jobs()
        return refused

    def _wait_for_start(self, job: Job) -> None:
        seconds_left = max(0.0, job.deadline - self._clock())
        if not job.decided.wait(seconds_left) and not job.has_started:
            self.admission.withdraw(job.attempt)
            job.refusal = refuse(Outcome.NOT_RUN, "deadline passed in the queue", 1.0)

    def _run_pulled(self, job: Job) -> Iterator[ResponsePart]:
        self._jobs.pop(job.attempt, None)
        fallback = Job(job.request, job.attempt, job.deadline, MAX_HOPS)
        yield from self._try_with_fallback(
            job, self._forward(job, job.peer), lambda: self._run_locally(fallback)
        )

    def _run_in_target(self, job: Job) -> Iterator[ResponsePart]:
        """Yield the target's response; an event stream frees its slot with its head."""
        started_at = self._clock()
        seconds: float | None = None
        failed, is_streaming = True, False
        wall_deadline = read_wall_clock() + job.deadline - started_at
        with closing(self._client.run(job.request, wall_deadline)) as parts:
            try:
                while part := self._next_part(
                    parts, job.deadline, is_streaming, "in target"
                ):
                    if part.kind == ResponsePartKind.HEAD:
                        failed = part.status in (429, 503)
                        is_streaming = self._start_event_stream(part)
                    if part.kind == ResponsePartKind.END and not failed:
                        seconds = self._clock() - started_at
                    job.target_failed = part.kind == ResponsePartKind.REFUSAL
                    if is_streaming or part.kind in FINAL_PARTS:
                        self._free_slot(job, seconds)
                    yield part
            finally:
                self.event_streams -= is_streaming
                elapsed = self._clock() - started_at
                self._outlier_detector.record(self.peers.incarnation, failed, elapsed)

    def _start_event_stream(self, head: ResponsePart) -> bool:
        if is_event_stream(head) and self.event_streams < MAX_EVENT_STREAMS:
            self.event_streams += 1
            return True
        return False

    def _free_slot(self, job: Job, seconds: float | None) -> None:
        self.admission.finish(job.attempt, seconds)
        self._start_jobs()
        self._puller.pull_when_due(self.admission.queued)

    def _remove_job(self, job: Job) -> None:
        """Remove a job whose caller has disconnected or has its response."""
        if self._jobs.get(job.attempt) is job:
            del self._jobs[job.attempt]
            self.admission.withdraw(job.attempt)
            self._free_slot(job, None)

    def _start_jobs(self) -> None:
        while queued_request := self.admission.start_next(
            self._clock(), self._compute_slow_start_share()
        ):
            job = self._jobs[queued_request.attempt]
            job.has_started = True
            job.decided.set()

    def run_forwarded(self, call: HandOverRequest) -> Iterator[ResponsePart]:
        """Run a request that another agent has forwarded."""
        self.load_sharing.update_load(
            call.envelope.sender, call.envelope.load, self._clock()
        )
        deadline = self._clock() + call.seconds_left
        return self.run(call.request, call.attempt, deadline, call.hops)

    def handle_pull(self, sender: int, load: Load, idle: bool) -> int:
        """Forward the next request to an idle agent; return how many are forwarded."""
        self.load_sharing.update_load(sender, load, self._clock())
        if load.queued and self._is_idle():
            self._puller.start_pull(sender)
        if not idle or sender not in self.peers.list_peers():
            return 0
        queued_request = self.admission.peek_next()
        if queued_request is None:
            return 0
        # A request that cannot be forwarded stays in the queue: if it were removed and
        # queued again, it could be refused after its caller has waited.
        job = self._jobs[queued_request.attempt]
        if job.hops >= MAX_HOPS or accepts_event_stream(job.request):
            return 0
        self.admission.withdraw(queued_request.attempt)
        job.peer = sender
        job.decided.set()
        return 1

    def tick(self) -> None:
        """Refuse expired requests, start those that fit, and pull when idle."""
        now = self._clock()
        for attempt in self.admission.list_expired(now):
            self._refuse_job(attempt, "deadline can not be met any more")
        self._start_jobs()
        self._puller.pull_when_due(self.admission.queued)

    def _refuse_job(self, attempt: Attempt, reason: str) -> None:
        job = self._jobs[attempt]
        self.admission.withdraw(attempt)
        wait = max(self.admission.estimate_wait(), self.admission.service_seconds)
        job.refusal = refuse(Outcome.NOT_RUN, reason, wait)
        job.decided.set()

    def _is_idle(self) -> bool:
        load = self.report_load()
        return not load.stopping and load.queued == 0 and load.running < load.slots

    def stop(self) -> None:
        """Forward or refuse the requests that have not started."""
        self.admission.stopping = True
        for attempt, job in [*self._jobs.items()]:
            if job.has_started or not self.admission.withdraw(attempt):
                continue
            peer = self._choose_peer(job.request) if job.hops < MAX_HOPS else None
            if peer is None:
                job.refusal = refuse(Outcome.NOT_RUN, "agent is stopping", 1.0)
            job.peer = peer
            job.decided.set()

    @property
    def active_count(self) -> int:
        """Return the number of requests in progress, event streams included."""
        return len(self._jobs) + self._forwarding_count

    def _compute_slow_start_share(self) -> float:
        return compute_slow_start_share(
            self.warm_deadline, WARM_UP_SECONDS, read_wall_clock()
        )

    def dump(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            "slots": self.admission.slots,
            "running": len(self.admission.running),
            "queued": self.admission.queued,
            "feeds": self.event_streams,
            "stopping": self.admission.stopping,
            "service_seconds": self.admission.service_seconds,
            "weights": self._outlier_detector.weights,
        }
