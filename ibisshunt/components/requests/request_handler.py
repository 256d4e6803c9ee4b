"""Handle one request from its arrival to its response."""

from collections.abc import Callable, Iterator
from contextlib import closing
from itertools import count
from typing import Any, Final

import gevent

from ...coordination.requests.claims import ClaimOutcome
from ...coordination.requests.messages import Attempt, StoredResponse
from ...protocol.requests import (
    HandOverRequest,
    Outcome,
    Request,
    ResponsePart,
    ResponsePartKind,
)
from .dispatcher import Dispatcher
from .ledger_service import LedgerService
from .target_client import refuse

# A larger response is delivered, but not stored: a retry learns only that it was done.
MAX_STORED_RESPONSE_BYTES: Final = 1024 * 1024


class CallerDisconnectedError(Exception):
    """Raised in a task whose caller has disconnected."""


class RequestHandler:
    """Handle requests: claim their keys, run them and store their responses."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        ledger_service: LedgerService,
        clock: Callable[[], float],
    ) -> None:
        self._dispatcher = dispatcher
        self._ledger_service = ledger_service
        self._clock = clock
        self._attempt_numbers = count(1)

    def handle(self, request: Request, deadline: float) -> Iterator[ResponsePart]:
        """Yield the parts of the response to a caller's request.

        ``deadline`` is in monotonic seconds.
        """
        attempt = Attempt(
            self._dispatcher.peers.incarnation, next(self._attempt_numbers)
        )
        if not request.key:
            yield from self._dispatcher.run(request, attempt, deadline)
            return
        claim_result = self._ledger_service.claim(request, attempt, deadline)
        if claim_result.outcome != ClaimOutcome.GRANTED:
            yield from _make_claim_response(
                claim_result.outcome, claim_result.reason, claim_result.response
            )
            return
        yield from self._run_claimed(request, attempt, deadline)

    def _run_claimed(
        self, request: Request, attempt: Attempt, deadline: float
    ) -> Iterator[ResponsePart]:
        """Run a granted attempt in a task of its own.

        The caller may disconnect and retry later: an attempt that has started continues
        without it, and its outcome is reported to both replicas.
        """
        task = gevent.spawn(self._collect, request, attempt, deadline)
        try:
            parts = task.get()
        except CallerDisconnectedError:
            self._dispatcher.withdraw(attempt, "caller left")
            raise
        yield from parts

    def _collect(
        self, request: Request, attempt: Attempt, deadline: float
    ) -> list[ResponsePart]:
        parts: list[ResponsePart] = []
        with closing(self._dispatcher.run(request, attempt, deadline)) as iterator:
            parts.extend(iterator)
        last = parts[-1] if parts else refuse(Outcome.UNKNOWN, "no answer")
        if last.kind == ResponsePartKind.REFUSAL:
            self._report_refusal(request, attempt, last)
            # The parts before it are incomplete and must not reach the caller.
            return [last]
        if last.kind != ResponsePartKind.END:
            self._ledger_service.settle_unknown(request, attempt)
            return [refuse(Outcome.UNKNOWN, "answer is not whole", 1.0)]
        self._ledger_service.settle_done(request, attempt, _make_stored_response(parts))
        return parts

    def _report_refusal(
        self, request: Request, attempt: Attempt, last: ResponsePart
    ) -> None:
        if last.outcome == Outcome.NOT_RUN:
            self._ledger_service.release(request, attempt)
        else:
            self._ledger_service.settle_unknown(request, attempt)

    def run_forwarded(self, call: HandOverRequest) -> Iterator[ResponsePart]:
        """Run a request that another agent has forwarded and whose key it has claimed.

        This agent reports the response to the replicas as well: the other agent may die
        before it has the response.
        """
        if not call.request.key:
            yield from self._dispatcher.run_forwarded(call)
            return
        task = gevent.spawn(self._collect_forwarded, call)
        yield from task.get()

    def _collect_forwarded(self, call: HandOverRequest) -> list[ResponsePart]:
        parts = list(self._dispatcher.run_forwarded(call))
        if parts and parts[-1].kind == ResponsePartKind.END:
            response = _make_stored_response(parts)
            self._ledger_service.settle_done(call.request, call.attempt, response)
        return parts


def _make_stored_response(parts: list[ResponsePart]) -> StoredResponse:
    head = parts[0]
    body = b"".join(part.data for part in parts[1:])
    is_stored = len(body) <= MAX_STORED_RESPONSE_BYTES
    return StoredResponse(
        head.status,
        head.reason,
        head.headers,
        body if is_stored else b"",
        kept=is_stored,
    )


def _make_claim_response(
    claim_outcome: ClaimOutcome, reason: str, response: Any
) -> Iterator[ResponsePart]:
    if claim_outcome == ClaimOutcome.REPLAY and response is not None and response.kept:
        headers = (*response.headers, ("Ibisshunt-Replayed", "1"))
        yield ResponsePart(
            ResponsePartKind.HEAD, response.status, response.reason, headers
        )
        yield ResponsePart(ResponsePartKind.DATA, data=response.body)
        yield ResponsePart(ResponsePartKind.END)
        return
    if claim_outcome == ClaimOutcome.REPLAY:
        reason = "the request has run; its answer was too large to keep"
        yield ResponsePart(ResponsePartKind.REFUSAL, 409, reason, outcome=Outcome.DONE)
        return
    if claim_outcome == ClaimOutcome.MISMATCH:
        yield ResponsePart(
            ResponsePartKind.REFUSAL, 422, reason, outcome=Outcome.NOT_RUN
        )
        return
    outcome = (
        Outcome.NOT_RUN if claim_outcome == ClaimOutcome.NOT_RUN else Outcome.UNKNOWN
    )
    yield refuse(outcome, reason, 1.0)
