"""Describe the requests that an agent queues or runs."""

from dataclasses import dataclass, field
from typing import Final

from gevent.event import Event

from ...coordination.requests.admission import Refused
from ...coordination.requests.messages import Attempt
from ...protocol.requests import Outcome, Request, ResponsePart, ResponsePartKind
from .target_client import refuse

EVENT_STREAM_TYPE: Final = "text/event-stream"
FINAL_PARTS: Final = (ResponsePartKind.END, ResponsePartKind.REFUSAL)


@dataclass(slots=True)
class Job:
    """Request that this agent queues or runs; times are monotonic seconds."""

    request: Request
    attempt: Attempt
    deadline: float
    hops: int
    # Set when the job has started, or is pulled or refused.
    decided: Event = field(default_factory=Event)
    has_started: bool = False
    # The agent that has pulled the job, or None to run it here.
    peer: int | None = None
    target_failed: bool = False
    refusal: ResponsePart | None = None


def is_idempotent(request: Request) -> bool:
    """Return whether the method is idempotent by RFC 9110."""
    return request.method in ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE")


def accepts_event_stream(request: Request) -> bool:
    """Return whether the caller accepts an event stream; these stay at their agent."""
    return any(
        name.lower() == "accept" and EVENT_STREAM_TYPE in value
        for name, value in request.headers
    )


def is_event_stream(head: ResponsePart) -> bool:
    """Return whether a response is an event stream: it has no deadline and no slot."""
    content_types = [
        value for name, value in head.headers if name.lower() == "content-type"
    ]
    return bool(content_types) and content_types[0].startswith(EVENT_STREAM_TYPE)


def make_refusal(refused: Refused) -> ResponsePart:
    """Return the response part for a refused request."""
    return refuse(Outcome.NOT_RUN, refused.reason, refused.retry_after)
