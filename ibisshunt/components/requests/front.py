"""Speak HTTP/1.1 with the callers of the agent's service."""

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

from ...helpers.clock import read_shared_clock
from ...helpers.relay import reset_connection
from ...model.address import Address
from ...model.record import RequestPolicy
from ...protocol.requests import Outcome, Part, PartKind, Request
from .client import is_hop_by_hop
from .desk import CallerLeftError, Desk

MAX_BODY_BYTES: Final = 1024 * 1024
MAX_KEY_CHARACTERS: Final = 255
STATUS_OF: Final = {Outcome.NOT_RUN: 503, Outcome.UNKNOWN: 504, Outcome.DONE: 409}
REASONS: Final = {
    400: "Bad Request",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class PartialAnswerError(Exception):
    """End the connection: the caller has got a part of an answer that has no end."""


CUT_ERRORS: Final = (PartialAnswerError, CallerLeftError)


class _Handler(WSGIHandler):
    """Take the caller from the preamble of the relay, and keep its socket."""

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ["ibisshunt.handler"] = self
        environ["ibisshunt.raw_path"] = self.path
        return environ

    def log_error(self, msg: str, *args: Any) -> None:
        """Write nothing: what a caller sends is no event of ours."""

    def handle_error(self, kind: Any, value: Any, trace: Any) -> None:
        """Cut the connection when an answer can't be finished.

        A connection that ends in order could make a part look whole to a caller that
        does not check the length.
        """
        if self.headers_sent or isinstance(value, CUT_ERRORS):
            self.close_connection = True
            reset_connection(self.socket)
            return
        super().handle_error(kind, value, trace)


class Front:
    """Own the connections of callers; registered as ``front``."""

    def __init__(self, desk: Desk, clock: Callable[[], float]) -> None:
        self.policy = RequestPolicy()
        self.busy = 0
        self.outcomes: Counter[str] = Counter()
        self._connections: set[socket.socket] = set()
        self._desk = desk
        self._clock = clock
        self._server = WSGIServer(
            ("127.0.0.1", 0), self._serve, handler_class=_Handler, log=None
        )
        self._server.environ.update(SERVER_NAME="ibisshunt", SERVER_PORT="0")

    def handle(self, connection: socket.socket, caller: Address) -> None:
        """Serve the requests of one connection until it ends."""
        self._connections.add(connection)
        try:
            _Handler(connection, caller.as_pair(), self._server).handle()
        except CallerLeftError:
            reset_connection(connection)
        finally:
            self._connections.discard(connection)

    def close(self) -> None:
        """Close the connections that wait for a next request.

        A caller with an open connection and no request would hold up a planned stop.
        """
        for connection in [*self._connections]:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _serve(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        arrived = self._clock()
        result = read_request(environ)
        if isinstance(result, Failure):
            return _refuse(start, *result.failure())
        request = result.unwrap()
        deadline = find_deadline(environ, self.policy.timeout_ms / 1000, arrived)
        return self._relay(environ, start, request, deadline)

    def _note_outcome(self, start: Any) -> Any:
        def note(status: str, headers: list[tuple[str, str]]) -> Any:
            told = dict(headers).get("Ibisshunt-Outcome", "")
            self.outcomes[told] += 1
            return start(status, headers)

        return note

    def _relay(
        self, environ: dict[str, Any], start: Any, request: Request, deadline: float
    ) -> Iterator[bytes]:
        task = gevent.getcurrent()
        watch = gevent.spawn(_watch, environ["ibisshunt.handler"].socket, task)
        parts = self._desk.answer(request, deadline)
        self.busy += 1
        try:
            yield from _write(self._note_outcome(start), parts)
        finally:
            self.busy -= 1
            watch.kill(block=False)
            parts.close()


def _write(start: Any, parts: Iterator[Part]) -> Iterator[bytes]:
    first = next(parts, None)
    if first is None or first.kind == PartKind.REFUSAL:
        yield from _refuse_part(start, first)
        return
    headers = [*first.headers, ("Ibisshunt-Outcome", Outcome.DONE.value)]
    start(f"{first.status} {first.reason}", headers)
    yield b""
    for part in parts:
        if part.kind == PartKind.END:
            return
        if part.kind == PartKind.REFUSAL:
            break
        yield part.data
    raise PartialAnswerError("the answer has no end")


def _refuse_part(start: Any, part: Part | None) -> Iterable[bytes]:
    if part is None:
        return _refuse(start, 504, Outcome.UNKNOWN, "no answer")
    status = part.status or STATUS_OF[part.outcome]
    return _refuse(start, status, part.outcome, part.reason, part.retry_after)


def _refuse(
    start: Any, status: int, outcome: Outcome, reason: str, retry_after: float = 0.0
) -> Iterable[bytes]:
    body = f"{outcome}: {reason}\n".encode()
    headers = [
        ("Content-Type", "text/plain; charset=utf-8"),
        ("Content-Length", str(len(body))),
        ("Ibisshunt-Outcome", outcome.value),
    ]
    if retry_after > 0:
        headers.append(("Retry-After", str(math.ceil(retry_after))))
    start(f"{status} {REASONS[status]}", headers)
    return [body]


def read_request(
    environ: dict[str, Any],
) -> Result[Request, tuple[int, Outcome, str]]:
    """Return the whole request, or why it is refused."""
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
    keyed = bool(key) and method not in ("GET", "HEAD", "OPTIONS", "TRACE")
    secret = environ.get("HTTP_AUTHORIZATION", "")
    seal = "\n".join((method, path, secret, "")).encode() + body
    return Request(
        method,
        path,
        tuple(_list_headers(environ, len(body))),
        body,
        environ["REMOTE_ADDR"],
        hashlib.blake2b(key.encode(), digest_size=16).digest() if keyed else b"",
        hashlib.blake2b(seal, digest_size=16).digest() if keyed else b"",
    )


def _list_headers(environ: dict[str, Any], size: int) -> Iterator[tuple[str, str]]:
    for name, value in environ["ibisshunt.handler"].headers.items():
        if not is_hop_by_hop(name) and name.lower() != "content-length":
            yield name, value
    if size:
        yield "Content-Length", str(size)


def find_deadline(environ: dict[str, Any], longest: float, arrived: float) -> float:
    """Return the steady time at which the caller no longer waits.

    ``Ibisshunt-Deadline`` is in seconds since the epoch, ``Request-Timeout`` in
    seconds; the record's timeout, ``longest``, is the upper bound.
    """
    seconds = longest
    if (wall := _read_number(environ, "HTTP_IBISSHUNT_DEADLINE")) is not None:
        seconds = min(seconds, wall - read_shared_clock())
    if (timeout := _read_number(environ, "HTTP_REQUEST_TIMEOUT")) is not None:
        seconds = min(seconds, timeout)
    return arrived + seconds


def _read_number(environ: dict[str, Any], name: str) -> float | None:
    try:
        number = float(environ[name])
    except (KeyError, ValueError):
        return None
    return number if math.isfinite(number) else None


def _watch(connection: socket.socket, task: Any) -> None:
    """Interrupt the task when the caller closes its connection."""
    hub = gevent.get_hub()
    watcher = hub.loop.io(connection.fileno(), 1)
    try:
        hub.wait(watcher)
        try:
            left = not connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError:
            left = True
        if left:
            gevent.kill(task, CallerLeftError())
    finally:
        watcher.close()
