"""Answer HTTP/1.1 requests of the world around a node."""

from collections.abc import Callable

import msgspec

# A request that does not fit is refused before it is read.
MAX_BODY_BYTES = 4 * 1024 * 1024


class WebRequest(msgspec.Struct, frozen=True):
    """Hold one request."""

    method: str
    path: str
    body: bytes


class WebReply(msgspec.Struct, frozen=True):
    """Hold one answer; ``status`` is the line's number and words."""

    status: str
    body: bytes = b"{}"
    kind: str = "application/json"


Handle = Callable[[WebRequest], WebReply]
TOO_LARGE = WebReply("413 Content Too Large")
