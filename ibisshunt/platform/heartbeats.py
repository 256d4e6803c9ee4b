"""Handle the heartbeats and leave messages of an agent's local target over HTTP."""

from typing import Annotated, Literal

import msgspec

from ..components.forwarding.agent import AgentTask
from ..components.web import RequestHandler, WebReply, WebRequest
from ..coordination.forwarding.target_tracking.incarnations import (
    Heartbeat,
    HeartbeatKind,
)
from .replies import NOT_FOUND_REPLY, OK_REPLY, make_error_reply

INSTANCE_PREFIX = "/-/instances/"
STATE_DRAINING = "draining"

_Count = Annotated[int, msgspec.Meta(ge=0)]
_OneOrMore = Annotated[int, msgspec.Meta(ge=1)]
# Start time of the target in milliseconds, by the wall clock of its host; older
# target software does not send it.
_StartTime = _Count | msgspec.UnsetType


class _HeartbeatBody(msgspec.Struct, rename="pascal"):
    """Body of a heartbeat; ``warmup_left_ms`` is the remaining warm-up time."""

    service: str
    address: str
    zone: str
    version: str
    state: Literal["ready", "draining"]
    slots: _OneOrMore
    warmup_left_ms: _Count
    seq: _Count
    start_time_ms: _StartTime = msgspec.field(name="born", default=msgspec.UNSET)


class _DeregisterBody(msgspec.Struct, rename="pascal"):
    """Body of a leave message, which may also be sent without a body."""

    service: str | msgspec.UnsetType = msgspec.UNSET
    start_time_ms: _StartTime = msgspec.field(name="born", default=msgspec.UNSET)


_HEARTBEAT_DECODER = msgspec.json.Decoder(_HeartbeatBody)
_DEREGISTER_DECODER = msgspec.json.Decoder(_DeregisterBody)


def make_instance_handler(task: AgentTask) -> RequestHandler:
    """Return the handler of the heartbeats and leave messages of the local target.

    A malformed message, or one of another program, is rejected and changes nothing: if
    an unknown state were treated as ready, a target that is leaving would get new
    flows.
    """

    def handle(request: WebRequest) -> WebReply:
        name, _, action = request.path.removeprefix(INSTANCE_PREFIX).partition("/")
        is_instance = request.path.startswith(INSTANCE_PREFIX) and name
        handle_body = _HANDLERS.get(action)
        if request.method != "POST" or not is_instance or handle_body is None:
            return NOT_FOUND_REPLY
        try:
            handle_body(task, name, request.body)
        except (msgspec.DecodeError, ValueError) as error:
            task.record_rejected_message(name, str(error))
            return make_error_reply("400 Bad Request", str(error))
        return OK_REPLY

    return handle


def _handle_heartbeat(task: AgentTask, name: str, body: bytes) -> None:
    message = _HEARTBEAT_DECODER.decode(body)
    _check_service(task, message.service)
    heartbeat = Heartbeat(
        name,
        message.service,
        message.slots,
        message.state == STATE_DRAINING,
        message.warmup_left_ms,
        message.seq,
        _get_start_time(message.start_time_ms),
    )
    if task.handle_heartbeat(heartbeat) == HeartbeatKind.MISSING_START:
        raise ValueError("found nothing, expected `int` - at `$.born`")


def _handle_deregister(task: AgentTask, name: str, body: bytes) -> None:
    message = _DEREGISTER_DECODER.decode(body) if body.strip() else _DeregisterBody()
    if message.service is not msgspec.UNSET:
        _check_service(task, message.service)
    task.handle_leave(name, _get_start_time(message.start_time_ms))


def _check_service(task: AgentTask, service: str) -> None:
    if service != task.agent.service:
        raise ValueError(
            f"found {service!r}, expected {task.agent.service!r} - at `$.Service`"
        )


def _get_start_time(start_time_ms: _StartTime) -> int | None:
    return None if start_time_ms is msgspec.UNSET else start_time_ms


_HANDLERS = {"heartbeat": _handle_heartbeat, "deregister": _handle_deregister}
