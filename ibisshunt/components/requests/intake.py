"""Serve the calls of the other agents of the service."""

from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any, Final

import gevent
import grpc
from gevent.queue import Queue

from ...coordination.requests.outcomes import Copy
from ...model.address import Address
from ...protocol.requests import (
    CLAIM,
    FETCH,
    HAND,
    PULL,
    SETTLE,
    ClaimAnswer,
    ClaimCall,
    Envelope,
    FetchCall,
    HandRequest,
    Part,
    PartKind,
    PullReply,
    PullRequest,
    SettleAnswer,
    SettleCall,
)
from ...protocol.rpc import Server
from .desk import CallerLeftError, Desk
from .dispatcher import Dispatcher
from .keeper import Keeper

QUEUED_PARTS: Final = 16


class Intake:
    """Own the rpc server of one agent's requests."""

    def __init__(
        self,
        address: Address,
        dispatcher: Dispatcher,
        keeper: Keeper,
        desk: Desk,
        credentials: grpc.ServerCredentials | None = None,
    ) -> None:
        self._dispatcher = dispatcher
        self._keeper = keeper
        self._desk = desk
        self._server = Server(
            address,
            {
                HAND: self._hand,
                PULL: self._pull,
                CLAIM: self._checked(self._claim),
                SETTLE: self._checked(self._settle),
                FETCH: self._checked(self._fetch),
            },
            credentials=credentials,
        )
        self.address = self._server.address
        self._server.start()

    def stop(self) -> None:
        """Refuse new calls and end those in progress after a short wait."""
        self._server.stop()

    def _check(self, envelope: Envelope, context: Any) -> None:
        # An address may be used again by an agent of another service, or by the next
        # incarnation of the same one with an empty ledger.
        own = self._dispatcher.peers.incarnation
        if envelope.receiver != own:
            reason = f"agent is incarnation {own}, not {envelope.receiver}"
            context.abort(grpc.StatusCode.FAILED_PRECONDITION, reason)

    def _checked(self, run: Callable[[Any], Any]) -> Callable[[Any, Any], Any]:
        def serve(call: Any, context: Any) -> Any:
            self._check(call.envelope, context)
            return run(call)

        return serve

    def _claim(self, call: ClaimCall) -> ClaimAnswer:
        reply = self._keeper.take_claim(call.claim)
        return ClaimAnswer(reply, self._dispatcher.tell_load())

    def _settle(self, call: SettleCall) -> SettleAnswer:
        self._keeper.take_settle(call.settle)
        return SettleAnswer(self._dispatcher.tell_load())

    def _fetch(self, call: FetchCall) -> Copy:
        return self._keeper.take_fetch(call.fetch)

    def _pull(self, call: PullRequest, context: Any) -> PullReply:
        self._check(call.envelope, context)
        envelope = call.envelope
        count = self._dispatcher.take_pull(envelope.sender, envelope.load, call.idle)
        return PullReply(self._dispatcher.tell_load(), count)

    def _hand(self, call: HandRequest, context: Any) -> Iterator[Part]:
        self._check(call.envelope, context)
        # The other agent cancels when its caller leaves or the deadline passes. The
        # request has a task of its own: this one belongs to the pool of the rpc server
        # and may serve another call by the time the cancellation comes.
        parts: Queue = Queue(maxsize=QUEUED_PARTS)
        task = gevent.spawn(self._produce, call, parts)
        context.add_callback(lambda: gevent.kill(task, CallerLeftError()))
        while (part := parts.get()) is not None:
            if part.kind in (PartKind.HEAD, PartKind.END, PartKind.REFUSAL):
                part = replace(part, load=self._dispatcher.tell_load())
            yield part

    def _produce(self, call: HandRequest, parts: Queue) -> None:
        answer = self._desk.run_handed(call)
        try:
            for part in answer:
                parts.put(part)
            parts.put(None)
        except CallerLeftError:
            # Nobody reads the queue any more; what it holds must not block the end.
            while not parts.empty():
                parts.get_nowait()
            parts.put(None)
        finally:
            answer.close()
