"""Serve HTTP/1.1 requests from outside the fleet."""

from collections.abc import Callable

import msgspec

# A request with a larger body is rejected before the body is read.
MAX_BODY_BYTES = 4 * 1024 * 1024


class WebRequest(msgspec.Struct, frozen=True):
    """HTTP request."""

    method: str
    path: str
    body: bytes


class WebReply(msgspec.Struct, frozen=True):
    """HTTP reply; ``status`` is the status code and the reason phrase."""

    status: str
    body: bytes = b"{}"
    content_type: str = "application/json"


RequestHandler = Callable[[WebRequest], WebReply]
TOO_LARGE_REPLY = WebReply("413 Content Too Large")
