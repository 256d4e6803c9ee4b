"""Serve HTTP with gevent's WSGI server, for hosts that can afford its import."""

from collections.abc import Iterable
from typing import Any

from gevent.pywsgi import WSGIServer

from ...model.address import Address
from . import MAX_BODY_BYTES, TOO_LARGE, Handle, WebReply, WebRequest


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
