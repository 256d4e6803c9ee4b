"""Answer the heartbeats of the endpoint beside an agent."""

from typing import Annotated, Literal

import msgspec

from ..components.forwarding.agent import AgentTask
from ..components.web import Handle, WebReply, WebRequest
from ..coordination.forwarding.holding.incarnations import Announcement, Word
from .answers import DONE, NOT_FOUND, explain

INSTANCE_PREFIX = "/-/instances/"
DRAINING = "draining"

_Count = Annotated[int, msgspec.Meta(ge=0)]
_OneOrMore = Annotated[int, msgspec.Meta(ge=1)]
# When the endpoint started, by its host's time of day, in milliseconds; older ones do
# not say it.
_Born = _Count | msgspec.UnsetType


class _Beat(msgspec.Struct, rename="pascal"):
    """Hold a heartbeat; ``warmup_left_ms`` is how long the endpoint stays slow."""

    service: str
    address: str
    zone: str
    version: str
    state: Literal["ready", "draining"]
    slots: _OneOrMore
    warmup_left_ms: _Count
    seq: _Count
    born: _Born = msgspec.field(name="born", default=msgspec.UNSET)


class _Leave(msgspec.Struct, rename="pascal"):
    """Hold the last word of an endpoint, which may have no body."""

    service: str | msgspec.UnsetType = msgspec.UNSET
    born: _Born = msgspec.field(name="born", default=msgspec.UNSET)


_BEATS = msgspec.json.Decoder(_Beat)
_LEAVES = msgspec.json.Decoder(_Leave)


def answer_endpoint(task: AgentTask) -> Handle:
    """Return the handler of the heartbeats of the endpoint beside an agent.

    What another writer sent, or what is damaged, changes nothing: an unknown state
    taken for an open one would bring new flows to a target that leaves.
    """

    def handle(request: WebRequest) -> WebReply:
        name, _, call = request.path.removeprefix(INSTANCE_PREFIX).partition("/")
        is_instance = request.path.startswith(INSTANCE_PREFIX) and name
        take = _CALLS.get(call)
        if request.method != "POST" or not is_instance or take is None:
            return NOT_FOUND
        try:
            take(task, name, request.body)
        except (msgspec.DecodeError, ValueError) as error:
            task.note_refused(name, str(error))
            return explain("400 Bad Request", str(error))
        return DONE

    return handle


def _take_beat(task: AgentTask, name: str, body: bytes) -> None:
    beat = _BEATS.decode(body)
    _check_service(task, beat.service)
    found = Announcement(
        name,
        beat.service,
        beat.slots,
        beat.state == DRAINING,
        beat.warmup_left_ms,
        beat.seq,
        _find_born(beat.born),
    )
    if task.announce(found) == Word.UNCLEAR:
        raise ValueError("found nothing, expected `int` - at `$.born`")


def _take_leave(task: AgentTask, name: str, body: bytes) -> None:
    leave = _LEAVES.decode(body) if body.strip() else _Leave()
    if leave.service is not msgspec.UNSET:
        _check_service(task, leave.service)
    task.leave(name, _find_born(leave.born))


def _check_service(task: AgentTask, service: str) -> None:
    if service != task.agent.service:
        raise ValueError(
            f"found {service!r}, expected {task.agent.service!r} - at `$.Service`"
        )


def _find_born(born: _Born) -> int | None:
    return None if born is msgspec.UNSET else born


_CALLS = {"heartbeat": _take_beat, "deregister": _take_leave}
