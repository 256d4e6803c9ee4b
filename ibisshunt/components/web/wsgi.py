"""Serve HTTP with gevent's WSGI server, for hosts that can afford its import."""

from collections.abc import Iterable
from typing import Any

from gevent import socket
from gevent.pywsgi import WSGIHandler, WSGIServer

from ...model.address import Address
from . import MAX_BODY_BYTES, TOO_LARGE, Handle, WebReply, WebRequest

# Nobody reads it.
GONE = WebReply("503 Service Unavailable")


# Key under which a request finds the connection that it came by.
CONNECTION_KEY = "ibisshunt.connection"


class Handler(WSGIHandler):
    """Serve one connection, and let its requests see whether the caller has left."""

    def get_environ(self) -> dict[str, Any]:
        """Return what is known of the request."""
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self.socket
        return environ


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

    server = WSGIServer(
        address.as_pair(), answer, log=None, error_log=None, handler_class=Handler
    )
    server.start()
    return server


def _has_left(connection: Any) -> bool:
    """Tell whether the caller has closed its connection."""
    connection.setblocking(False)
    try:
        return not connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        connection.setblocking(True)


def _answer(environ: dict[str, Any], handle: Handle) -> WebReply:
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdigit() or int(length) > MAX_BODY_BYTES:
        return TOO_LARGE
    body = environ["wsgi.input"].read(int(length)) if int(length) else b""
    if _has_left(environ[CONNECTION_KEY]):
        # A host that was suspended finds calls that were made long ago. Carried out
        # now, they could undo what the caller has ordered at another host since.
        return GONE
    request = WebRequest(environ["REQUEST_METHOD"], environ["PATH_INFO"], body)
    return handle(request)
