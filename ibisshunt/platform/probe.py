"""Answer the probe by which the platform's routers find balancers."""

from collections.abc import Callable

from ..components.web import Handle, WebReply, WebRequest
from .answers import DONE, NOT_FOUND, UNAVAILABLE

READY_PATH = "/-/ready"


def answer_probe(is_ready: Callable[[], bool]) -> Handle:
    """Return the handler of the routers' probe."""

    def handle(request: WebRequest) -> WebReply:
        if request.path != READY_PATH:
            return NOT_FOUND
        return DONE if is_ready() else WebReply(UNAVAILABLE)

    return handle
