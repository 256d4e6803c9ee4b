"""Answer HTTP/1.1 requests of the world around a node."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from gevent.pywsgi import WSGIServer

from ...model.address import Address

# A request that does not fit is refused before it is read. Unit: bytes. Source: a
# configuration of a few thousand routes.
MAX_BODY_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class WebRequest:
    """Hold one request."""

    method: str
    path: str
    body: bytes


@dataclass(frozen=True, slots=True)
class WebReply:
    """Hold one answer; ``status`` is the line's number and words."""

    status: str
    body: bytes = b"{}"
    kind: str = "application/json"


Handle = Callable[[WebRequest], WebReply]
TOO_LARGE = WebReply("413 Content Too Large")


def serve(address: Address, handle: Handle) -> WSGIServer:
    """Start to serve; the caller stops the server."""

    def answer(environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        reply = _answer(environ, handle)
        headers = [
            ("Content-Type", reply.kind),
            ("Content-Length", str(len(reply.body))),
        ]
        start(reply.status, headers)
        return [reply.body]

    server = WSGIServer(address.as_pair(), answer, log=None, error_log=None)
    server.start()
    return server


def _answer(environ: dict[str, Any], handle: Handle) -> WebReply:
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdigit() or int(length) > MAX_BODY_BYTES:
        return TOO_LARGE
    body = environ["wsgi.input"].read(int(length)) if int(length) else b""
    request = WebRequest(environ["REQUEST_METHOD"], environ["PATH_INFO"], body)
    return handle(request)
