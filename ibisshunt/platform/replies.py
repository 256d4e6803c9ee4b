"""Define HTTP replies that several request handlers share."""

import msgspec

from ..components.web import WebReply

OK_REPLY = WebReply("200 OK")
NOT_FOUND_REPLY = WebReply("404 Not Found")
STATUS_UNAVAILABLE = "503 Service Unavailable"


def make_error_reply(status: str, reason: str) -> WebReply:
    """Return a reply whose body names the error."""
    return WebReply(status, msgspec.json.encode({"Error": reason}))
