"""Handle the readiness probe that the platform's routers use to find balancers."""

from collections.abc import Callable

from ..components.web import RequestHandler, WebReply, WebRequest
from .replies import NOT_FOUND_REPLY, OK_REPLY, STATUS_UNAVAILABLE

READY_PATH = "/-/ready"


def make_readiness_handler(is_ready: Callable[[], bool]) -> RequestHandler:
    """Return the handler of the readiness probe."""

    def handle(request: WebRequest) -> WebReply:
        if request.path != READY_PATH:
            return NOT_FOUND_REPLY
        return OK_REPLY if is_ready() else WebReply(STATUS_UNAVAILABLE)

    return handle
