"""Hold the answers that several of the platform's HTTP calls share."""

import msgspec

from ..components.web import WebReply

DONE = WebReply("200 OK")
NOT_FOUND = WebReply("404 Not Found")
UNAVAILABLE = "503 Service Unavailable"


def explain(status: str, reason: str) -> WebReply:
    """Return an answer that tells what is wrong."""
    return WebReply(status, msgspec.json.encode({"Error": reason}))
