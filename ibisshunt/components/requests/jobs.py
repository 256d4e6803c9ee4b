"""Describe requests on their way through an agent."""

from dataclasses import dataclass, field
from typing import Final

from gevent.event import Event

from ...coordination.requests.admission import Refused
from ...coordination.requests.outcomes import Attempt
from ...protocol.requests import Outcome, Part, PartKind, Request
from .client import refuse

FEED_TYPE: Final = "text/event-stream"
LAST_PARTS: Final = (PartKind.END, PartKind.REFUSAL)


@dataclass(slots=True)
class Job:
    """Hold one request that this agent queues or runs; times are steady seconds."""

    request: Request
    attempt: Attempt
    deadline: float
    hops: int
    decided: Event = field(default_factory=Event)
    started: bool = False
    # The agent that has pulled the job; None to run it here.
    peer: int | None = None
    target_failed: bool = False
    refusal: Part | None = None


def is_idempotent(request: Request) -> bool:
    """Tell whether the method may be sent again, as RFC 9110 defines it."""
    return request.method in ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE")


def is_feed_wanted(request: Request) -> bool:
    """Tell whether the caller asks for a feed; feeds stay with their agent."""
    return any(
        name.lower() == "accept" and FEED_TYPE in value
        for name, value in request.headers
    )


def is_feed_head(head: Part) -> bool:
    """Tell whether an answer is a feed: it then has no deadline and no slot."""
    kinds = [value for name, value in head.headers if name.lower() == "content-type"]
    return bool(kinds) and kinds[0].startswith(FEED_TYPE)


def make_refusal(refused: Refused) -> Part:
    """Return the part that tells a caller of a refusal."""
    return refuse(Outcome.NOT_RUN, refused.reason, refused.retry_after)
