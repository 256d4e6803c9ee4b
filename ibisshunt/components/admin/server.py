"""Serve the admin pages to operators and monitoring over HTTP."""

import json
from collections.abc import Callable, Iterable
from typing import Any

from gevent.pywsgi import WSGIServer

from ...core import Kernel
from ...model.address import Address
from ...protocol.codec import to_json_value

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
# Status line, content type and body.
Page = tuple[str, str, bytes]

JSON_CONTENT_TYPE = "application/json"
TEXT_CONTENT_TYPE = "text/plain; charset=utf-8"


def make_application(kernel: Kernel) -> Callable[..., Iterable[bytes]]:
    """Return a WSGI application that serves /metrics, /dump and /ready."""

    def show_metrics() -> Page:
        body, headers = kernel.find("metrics").render()
        return "200 OK", headers.get("Content-Type", TEXT_CONTENT_TYPE), body

    def show_dump() -> Page:
        body = json.dumps(to_json_value(kernel.dump()), indent=1, sort_keys=True)
        return "200 OK", JSON_CONTENT_TYPE, body.encode()

    def show_ready() -> Page:
        if kernel.is_stopping():
            return "503 Service Unavailable", TEXT_CONTENT_TYPE, b"stopping\n"
        missing = kernel.list_unready()
        if missing:
            body = "waiting for " + ", ".join(missing) + "\n"
            return "503 Service Unavailable", TEXT_CONTENT_TYPE, body.encode()
        return "200 OK", TEXT_CONTENT_TYPE, b"ready\n"

    pages = {"/metrics": show_metrics, "/dump": show_dump, "/ready": show_ready}

    def serve_page(
        environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        render_page = pages.get(environ["PATH_INFO"])
        if render_page is None:
            start_response("404 Not Found", [("Content-Type", TEXT_CONTENT_TYPE)])
            return [b"pages: /metrics /dump /ready\n"]
        status, content_type, body = render_page()
        start_response(
            status, [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        )
        return [body]

    return serve_page


def setup(kernel: Kernel, address: Address) -> Address:
    """Serve the admin pages; return the bound address."""
    server = WSGIServer(address.as_pair(), make_application(kernel), log=None)
    server.start()
    kernel.register("admin", server, unload=lambda: server.stop(timeout=1))
    return Address(address.ip, server.server_port)
