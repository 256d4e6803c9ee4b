"""Answer the heartbeats of the endpoint beside an agent."""

import msgspec

from ..components.forwarding.agent import AgentTask
from ..components.web import Handle, WebReply, WebRequest
from ..coordination.forwarding.agent import Announcement
from .answers import DONE, NOT_FOUND, explain

INSTANCE_PREFIX = "/-/instances/"
DRAINING = "draining"


class _Beat(msgspec.Struct, rename="pascal"):
    """Hold a heartbeat; ``warmup_left_ms`` is how long the endpoint stays slow."""

    service: str
    state: str
    slots: int = 1
    warmup_left_ms: int = 0
    seq: int = 0


_BEATS = msgspec.json.Decoder(_Beat)


def answer_endpoint(task: AgentTask) -> Handle:
    """Return the handler of the heartbeats of the endpoint beside an agent."""

    def handle(request: WebRequest) -> WebReply:
        name, _, call = request.path.removeprefix(INSTANCE_PREFIX).partition("/")
        if request.method != "POST" or not request.path.startswith(INSTANCE_PREFIX):
            return NOT_FOUND
        if call == "deregister":
            task.leave(name)
            return DONE
        if call != "heartbeat":
            return NOT_FOUND
        return _take_beat(task, name, request.body)

    return handle


def _take_beat(task: AgentTask, name: str, body: bytes) -> WebReply:
    try:
        beat = _BEATS.decode(body)
    except msgspec.DecodeError as error:
        return explain("400 Bad Request", str(error))
    found = Announcement(
        name,
        beat.service,
        beat.slots,
        beat.state == DRAINING,
        beat.warmup_left_ms,
        beat.seq,
    )
    task.announce(found)
    return DONE
