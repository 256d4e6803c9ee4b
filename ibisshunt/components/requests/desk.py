"""Follow one request from its arrival to its answer."""

from collections.abc import Callable, Iterator
from contextlib import closing
from itertools import count
from typing import Any, Final

import gevent

from ...coordination.requests.claims import Ending
from ...coordination.requests.outcomes import Answer, Attempt
from ...protocol.requests import HandRequest, Outcome, Part, PartKind, Request
from .client import refuse
from .dispatcher import Dispatcher
from .keeper import Keeper

# A larger answer is passed on whole, but a resend learns only that it is done.
MAX_ANSWER_BYTES: Final = 1024 * 1024


class CallerLeftError(Exception):
    """Interrupt the task whose caller has left."""


class Desk:
    """Answer requests: claim what has a key, run it, keep its answer."""

    def __init__(
        self, dispatcher: Dispatcher, keeper: Keeper, clock: Callable[[], float]
    ) -> None:
        self._dispatcher = dispatcher
        self._keeper = keeper
        self._clock = clock
        self._numbers = count(1)

    def answer(self, request: Request, deadline: float) -> Iterator[Part]:
        """Yield the parts of the answer to a caller's request.

        ``deadline`` is a steady time in seconds.
        """
        attempt = Attempt(self._dispatcher.peers.incarnation, next(self._numbers))
        if not request.key:
            yield from self._dispatcher.run(request, attempt, deadline)
            return
        end = self._keeper.claim(request, attempt, deadline)
        if end.ending != Ending.GRANTED:
            yield from _explain(end.ending, end.reason, end.answer)
            return
        yield from self._run_claimed(request, attempt, deadline)

    def _run_claimed(
        self, request: Request, attempt: Attempt, deadline: float
    ) -> Iterator[Part]:
        """Run a granted attempt in a task of its own.

        The caller may leave and come back for the answer: an attempt that has started
        goes on without it, and what becomes of it is told to both holders.
        """
        task = gevent.spawn(self._collect, request, attempt, deadline)
        try:
            parts = task.get()
        except CallerLeftError:
            self._dispatcher.withdraw(attempt, "caller left")
            raise
        yield from parts

    def _collect(
        self, request: Request, attempt: Attempt, deadline: float
    ) -> list[Part]:
        parts: list[Part] = []
        with closing(self._dispatcher.run(request, attempt, deadline)) as answer:
            parts.extend(answer)
        last = parts[-1] if parts else refuse(Outcome.UNKNOWN, "no answer")
        if last.kind == PartKind.REFUSAL:
            self._settle_refusal(request, attempt, last)
            # What came before it is not whole and must not reach the caller.
            return [last]
        if last.kind != PartKind.END:
            self._keeper.settle_unknown(request, attempt)
            return [refuse(Outcome.UNKNOWN, "answer is not whole", 1.0)]
        self._keeper.settle_done(request, attempt, _make_answer(parts))
        return parts

    def _settle_refusal(self, request: Request, attempt: Attempt, last: Part) -> None:
        if last.outcome == Outcome.NOT_RUN:
            self._keeper.release(request, attempt)
        else:
            self._keeper.settle_unknown(request, attempt)

    def run_handed(self, call: HandRequest) -> Iterator[Part]:
        """Run what another agent hands over; it has claimed the key.

        Its answer is kept from here, too: that agent may die while it waits.
        """
        if not call.request.key:
            yield from self._dispatcher.take_handed(call)
            return
        task = gevent.spawn(self._collect_handed, call)
        yield from task.get()

    def _collect_handed(self, call: HandRequest) -> list[Part]:
        parts = list(self._dispatcher.take_handed(call))
        if parts and parts[-1].kind == PartKind.END:
            answer = _make_answer(parts)
            self._keeper.settle_done(call.request, call.attempt, answer)
        return parts


def _make_answer(parts: list[Part]) -> Answer:
    head = parts[0]
    body = b"".join(part.data for part in parts[1:])
    kept = len(body) <= MAX_ANSWER_BYTES
    return Answer(
        head.status, head.reason, head.headers, body if kept else b"", kept=kept
    )


def _explain(ending: Ending, reason: str, answer: Any) -> Iterator[Part]:
    if ending == Ending.REPLAY and answer is not None and answer.kept:
        headers = (*answer.headers, ("Ibisshunt-Replayed", "1"))
        yield Part(PartKind.HEAD, answer.status, answer.reason, headers)
        yield Part(PartKind.DATA, data=answer.body)
        yield Part(PartKind.END)
        return
    if ending == Ending.REPLAY:
        reason = "the request has run; its answer was too large to keep"
        yield Part(PartKind.REFUSAL, 409, reason, outcome=Outcome.DONE)
        return
    if ending == Ending.MISMATCH:
        yield Part(PartKind.REFUSAL, 422, reason, outcome=Outcome.NOT_RUN)
        return
    outcome = Outcome.NOT_RUN if ending == Ending.NOT_RUN else Outcome.UNKNOWN
    yield refuse(outcome, reason, 1.0)
