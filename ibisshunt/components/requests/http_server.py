"""Serve HTTP/1.1 to the callers of the agent's service."""

import contextlib
import hashlib
import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Final

import gevent
from gevent import socket
from gevent.pywsgi import WSGIHandler, WSGIServer
from returns.result import Failure, Result, Success

from ...helpers.clock import read_wall_clock
from ...helpers.relay import reset_connection
from ...model.address import Address
from ...model.record import RequestPolicy
from ...protocol.requests import Outcome, Request, ResponsePart, ResponsePartKind
from .request_handler import CallerDisconnectedError, RequestHandler
from .target_client import is_hop_by_hop

MAX_BODY_BYTES: Final = 1024 * 1024
MAX_KEY_CHARACTERS: Final = 255
STATUS_BY_OUTCOME: Final = {
    Outcome.NOT_RUN: 503,
    Outcome.UNKNOWN: 504,
    Outcome.DONE: 409,
}
REASON_PHRASES: Final = {
    400: "Bad Request",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class IncompleteResponseError(Exception):
    """Raised when a response has begun and cannot be completed; aborts the call."""


ABORT_ERRORS: Final = (IncompleteResponseError, CallerDisconnectedError)


class _ConnectionHandler(WSGIHandler):
    """Handle a connection whose caller address comes from the relay's preamble."""

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ["ibisshunt.handler"] = self
        environ["ibisshunt.raw_path"] = self.path
        return environ

    def log_error(self, msg: str, *args: Any) -> None:
        """Log nothing: malformed input of a caller needs no log line."""

    def handle_error(self, error_type: Any, value: Any, traceback: Any) -> None:
        """Reset the connection when a response cannot be completed.

        After an orderly close an incomplete response could look complete to a caller
        that does not check its length.
        """
        if self.headers_sent or isinstance(value, ABORT_ERRORS):
            self.close_connection = True
            reset_connection(self.socket)
            return
        super().handle_error(error_type, value, traceback)


class HttpServer:
    """Serve the connections of callers; registered as ``front``."""

    def __init__(
        self, request_handler: RequestHandler, clock: Callable[[], float]
    ) -> None:
        self.policy = RequestPolicy()
        self.active_count = 0
        self.outcomes: Counter[str] = Counter()
        self._connections: set[socket.socket] = set()
        self._request_handler = request_handler
        self._clock = clock
        self._server = WSGIServer(
            ("127.0.0.1", 0), self._serve, handler_class=_ConnectionHandler, log=None
        )
        self._server.environ.update(SERVER_NAME="ibisshunt", SERVER_PORT="0")

    def handle(self, connection: socket.socket, caller: Address) -> None:
        """Serve the requests of one connection until it ends."""
        self._connections.add(connection)
        try:
            _ConnectionHandler(connection, caller.as_pair(), self._server).handle()
        except CallerDisconnectedError:
            reset_connection(connection)
        finally:
            self._connections.discard(connection)

    def close(self) -> None:
        """Shut down the connections of callers.

        A caller with an open connection and no request would delay a planned stop.
        """
        for connection in [*self._connections]:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _serve(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        arrived_at = self._clock()
        result = read_request(environ)
        if isinstance(result, Failure):
            return _refuse(start_response, *result.failure())
        request = result.unwrap()
        deadline = find_deadline(environ, self.policy.timeout_ms / 1000, arrived_at)
        return self._respond(environ, start_response, request, deadline)

    def _count_outcome(self, start_response: Any) -> Any:
        def start_counted_response(status: str, headers: list[tuple[str, str]]) -> Any:
            outcome = dict(headers).get("Ibisshunt-Outcome", "")
            self.outcomes[outcome] += 1
            return start_response(status, headers)

        return start_counted_response

    def _respond(
        self,
        environ: dict[str, Any],
        start_response: Any,
        request: Request,
        deadline: float,
    ) -> Iterator[bytes]:
        task = gevent.getcurrent()
        watcher_task = gevent.spawn(
            _watch_disconnect, environ["ibisshunt.handler"].socket, task
        )
        parts = self._request_handler.handle(request, deadline)
        self.active_count += 1
        try:
            yield from _write_response(self._count_outcome(start_response), parts)
        finally:
            self.active_count -= 1
            watcher_task.kill(block=False)
            parts.close()


def _write_response(
    start_response: Any, parts: Iterator[ResponsePart]
) -> Iterator[bytes]:
    first = next(parts, None)
    if first is None or first.kind == ResponsePartKind.REFUSAL:
        yield from _refuse_part(start_response, first)
        return
    headers = [*first.headers, ("Ibisshunt-Outcome", Outcome.DONE.value)]
    start_response(f"{first.status} {first.reason}", headers)
    yield b""
    for part in parts:
        if part.kind == ResponsePartKind.END:
            return
        if part.kind == ResponsePartKind.REFUSAL:
            break
        yield part.data
    raise IncompleteResponseError("response ended without its last part")


def _refuse_part(start_response: Any, part: ResponsePart | None) -> Iterable[bytes]:
    if part is None:
        return _refuse(start_response, 504, Outcome.UNKNOWN, "no answer")
    status = part.status or STATUS_BY_OUTCOME[part.outcome]
    return _refuse(start_response, status, part.outcome, part.reason, part.retry_after)


def _refuse(
    start_response: Any,
    status: int,
    outcome: Outcome,
    reason: str,
    retry_after: float = 0.0,
) -> Iterable[bytes]:
    body = f"{outcome}: {reason}\n".encode()
    headers = [
        ("Content-Type", "text/plain; charset=utf-8"),
        ("Content-Length", str(len(body))),
        ("Ibisshunt-Outcome", outcome.value),
    ]
    if retry_after > 0:
        headers.append(("Retry-After", str(math.ceil(retry_after))))
    start_response(f"{status} {REASON_PHRASES[status]}", headers)
    return [body]


def read_request(
    environ: dict[str, Any],
) -> Result[Request, tuple[int, Outcome, str]]:
    """Read a complete request, or return the status, outcome and reason of refusal."""
    try:
        body = environ["wsgi.input"].read(MAX_BODY_BYTES + 1)
    except OSError as error:
        return Failure((400, Outcome.NOT_RUN, f"body is not whole: {error}"))
    length = environ.get("CONTENT_LENGTH")
    if len(body) > MAX_BODY_BYTES:
        reason = f"body is over {MAX_BODY_BYTES} bytes"
        return Failure((413, Outcome.NOT_RUN, reason))
    if length and length.isdigit() and len(body) < int(length):
        return Failure((400, Outcome.NOT_RUN, "body is not whole"))
    key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    if len(key) > MAX_KEY_CHARACTERS:
        reason = f"Idempotency-Key is over {MAX_KEY_CHARACTERS} characters"
        return Failure((400, Outcome.NOT_RUN, reason))
    return Success(_make_request(environ, body, key))


def _make_request(environ: dict[str, Any], body: bytes, key: str) -> Request:
    method, path = environ["REQUEST_METHOD"], environ["ibisshunt.raw_path"]
    has_key = bool(key) and method not in ("GET", "HEAD", "OPTIONS", "TRACE")
    authorization = environ.get("HTTP_AUTHORIZATION", "")
    content = "\n".join((method, path, authorization, "")).encode() + body
    return Request(
        method,
        path,
        tuple(_list_headers(environ, len(body))),
        body,
        environ["REMOTE_ADDR"],
        hashlib.blake2b(key.encode(), digest_size=16).digest() if has_key else b"",
        hashlib.blake2b(content, digest_size=16).digest() if has_key else b"",
    )


def _list_headers(environ: dict[str, Any], size: int) -> Iterator[tuple[str, str]]:
    for name, value in environ["ibisshunt.handler"].headers.items():
        if not is_hop_by_hop(name) and name.lower() != "content-length":
            yield name, value
    if size:
        yield "Content-Length", str(size)


def find_deadline(
    environ: dict[str, Any], max_seconds: float, arrived_at: float
) -> float:
    """Return the time at which the caller stops waiting, in monotonic seconds.

    ``Ibisshunt-Deadline`` is in seconds since the epoch, ``Request-Timeout`` in
    seconds; the record's timeout, ``max_seconds``, is the upper bound.
    """
    seconds = max_seconds
    if (wall_deadline := _read_number(environ, "HTTP_IBISSHUNT_DEADLINE")) is not None:
        seconds = min(seconds, wall_deadline - read_wall_clock())
    if (timeout := _read_number(environ, "HTTP_REQUEST_TIMEOUT")) is not None:
        seconds = min(seconds, timeout)
    return arrived_at + seconds


def _read_number(environ: dict[str, Any], name: str) -> float | None:
    try:
        number = float(environ[name])
    except (KeyError, ValueError):
        return None
    return number if math.isfinite(number) else None


def _watch_disconnect(connection: socket.socket, task: Any) -> None:
    """Interrupt the task when the caller closes its connection."""
    hub = gevent.get_hub()
    watcher = hub.loop.io(connection.fileno(), 1)
    try:
        hub.wait(watcher)
        try:
            is_disconnected = not connection.recv(
                1, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
        except BlockingIOError:
            return
        except OSError:
            is_disconnected = True
        if is_disconnected:
            gevent.kill(task, CallerDisconnectedError())
    finally:
        watcher.close()
