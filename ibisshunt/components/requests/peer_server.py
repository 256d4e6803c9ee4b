"""Serve the gRPC calls of the other agents of the service."""

from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any, Final

import gevent
import grpc
from gevent.queue import Queue

from ...coordination.requests.messages import FetchReply
from ...model.address import Address
from ...protocol.requests import (
    CLAIM,
    FETCH,
    HAND_OVER,
    PULL,
    SETTLE,
    ClaimAnswer,
    ClaimCall,
    Envelope,
    FetchCall,
    HandOverRequest,
    PullReply,
    PullRequest,
    ResponsePart,
    ResponsePartKind,
    SettleAnswer,
    SettleCall,
)
from ...protocol.rpc import Server
from .dispatcher import Dispatcher
from .ledger_service import LedgerService
from .request_handler import CallerDisconnectedError, RequestHandler

MAX_QUEUED_PARTS: Final = 16


class PeerServer:
    """Run the gRPC server that the other agents of the service call."""

    def __init__(
        self,
        address: Address,
        dispatcher: Dispatcher,
        ledger_service: LedgerService,
        request_handler: RequestHandler,
        credentials: grpc.ServerCredentials | None = None,
    ) -> None:
        self._dispatcher = dispatcher
        self._ledger_service = ledger_service
        self._request_handler = request_handler
        self._server = Server(
            address,
            {
                HAND_OVER: self._forward,
                PULL: self._pull,
                CLAIM: self._with_receiver_check(self._claim),
                SETTLE: self._with_receiver_check(self._settle),
                FETCH: self._with_receiver_check(self._fetch),
            },
            credentials=credentials,
        )
        self.address = self._server.address
        self._server.start()

    def stop(self) -> None:
        """Refuse new calls and end those in progress after a short wait."""
        self._server.stop()

    def _check_receiver(self, envelope: Envelope, context: Any) -> None:
        # The address may have been reused by an agent of another service, or by a new
        # incarnation of this agent with an empty ledger.
        local_incarnation = self._dispatcher.peers.incarnation
        if envelope.receiver != local_incarnation:
            reason = (
                f"agent is incarnation {local_incarnation}, not {envelope.receiver}"
            )
            context.abort(grpc.StatusCode.FAILED_PRECONDITION, reason)

    def _with_receiver_check(
        self, handle_call: Callable[[Any], Any]
    ) -> Callable[[Any, Any], Any]:
        def handle(call: Any, context: Any) -> Any:
            self._check_receiver(call.envelope, context)
            return handle_call(call)

        return handle

    def _claim(self, call: ClaimCall) -> ClaimAnswer:
        reply = self._ledger_service.handle_claim(call.claim)
        return ClaimAnswer(reply, self._dispatcher.report_load())

    def _settle(self, call: SettleCall) -> SettleAnswer:
        self._ledger_service.handle_settle(call.settle)
        return SettleAnswer(self._dispatcher.report_load())

    def _fetch(self, call: FetchCall) -> FetchReply:
        return self._ledger_service.handle_fetch(call.fetch)

    def _pull(self, call: PullRequest, context: Any) -> PullReply:
        self._check_receiver(call.envelope, context)
        envelope = call.envelope
        count = self._dispatcher.handle_pull(envelope.sender, envelope.load, call.idle)
        return PullReply(self._dispatcher.report_load(), count)

    def _forward(self, call: HandOverRequest, context: Any) -> Iterator[ResponsePart]:
        self._check_receiver(call.envelope, context)
        # The other agent cancels the call when its caller disconnects or the deadline
        # passes. The request runs in its own task: the current one belongs to the pool
        # of the gRPC server and may serve another call when the cancellation comes.
        parts: Queue = Queue(maxsize=MAX_QUEUED_PARTS)
        task = gevent.spawn(self._produce, call, parts)
        context.add_callback(lambda: gevent.kill(task, CallerDisconnectedError()))
        while (part := parts.get()) is not None:
            if part.kind in (
                ResponsePartKind.HEAD,
                ResponsePartKind.END,
                ResponsePartKind.REFUSAL,
            ):
                part = replace(part, load=self._dispatcher.report_load())
            yield part

    def _produce(self, call: HandOverRequest, parts: Queue) -> None:
        parts_iterator = self._request_handler.run_forwarded(call)
        try:
            for part in parts_iterator:
                parts.put(part)
            parts.put(None)
        except CallerDisconnectedError:
            # The queue has no reader any more: if it is full, the last put would block.
            while not parts.empty():
                parts.get_nowait()
            parts.put(None)
        finally:
            parts_iterator.close()
