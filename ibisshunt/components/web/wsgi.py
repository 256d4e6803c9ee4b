"""Serve HTTP with gevent's WSGI server, on hosts that can afford its import."""

from collections.abc import Iterable
from typing import Any

from gevent import socket
from gevent.pywsgi import WSGIHandler, WSGIServer

from ...model.address import Address
from . import MAX_BODY_BYTES, TOO_LARGE_REPLY, RequestHandler, WebReply, WebRequest

# Never received: the client has closed the connection.
CLIENT_GONE_REPLY = WebReply("503 Service Unavailable")

# Key of the WSGI environment with the socket of the request's connection.
CONNECTION_KEY = "ibisshunt.connection"


class ConnectionHandler(WSGIHandler):
    """Serve one connection, and add its socket to the environment of its requests."""

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment of a request."""
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self.socket
        return environ


def start_wsgi_server(address: Address, handle: RequestHandler) -> WSGIServer:
    """Return a started server; the calling code must stop it."""

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        reply = _handle_request(environ, handle)
        headers = [
            ("Content-Type", reply.content_type),
            ("Content-Length", str(len(reply.body))),
        ]
        start_response(reply.status, headers)
        return [reply.body]

    server = WSGIServer(
        address.as_pair(),
        application,
        log=None,
        error_log=None,
        handler_class=ConnectionHandler,
    )
    server.start()
    return server


def _is_closed_by_client(connection: Any) -> bool:
    """Return whether the client has closed its connection."""
    connection.setblocking(False)
    try:
        return not connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        connection.setblocking(True)


def _handle_request(environ: dict[str, Any], handle: RequestHandler) -> WebReply:
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdigit() or int(length) > MAX_BODY_BYTES:
        return TOO_LARGE_REPLY
    body = environ["wsgi.input"].read(int(length)) if int(length) else b""
    if _is_closed_by_client(environ[CONNECTION_KEY]):
        # A host that resumes after being suspended finds calls that were made long ago.
        # Executed now, they could undo what the operator has since changed through
        # another host.
        return CLIENT_GONE_REPLY
    request = WebRequest(environ["REQUEST_METHOD"], environ["PATH_INFO"], body)
    return handle(request)
