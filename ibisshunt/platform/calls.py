"""Answer the platform's HTTP calls: readiness, heartbeats, the operator."""

from collections.abc import Callable

import msgspec
from returns.pipeline import is_successful

from ..components.forwarding.agent import AgentTask
from ..components.forwarding.web import Handle, WebReply, WebRequest
from ..components.versions import VersionService
from ..coordination.forwarding.agent import Announcement
from .configuration import read_configuration

READY_PATH = "/-/ready"
PUT_PATH = "/-/config/put"
GET_PATH = "/-/config/get"
INSTANCE_PREFIX = "/-/instances/"
DRAINING = "draining"

DONE = WebReply("200 OK")
NOT_FOUND = WebReply("404 Not Found")
UNAVAILABLE = "503 Service Unavailable"


class _Beat(msgspec.Struct, rename="pascal"):
    """Hold a heartbeat; ``warmup_left_ms`` is how long the endpoint stays slow."""

    service: str
    state: str
    slots: int = 1
    warmup_left_ms: int = 0
    seq: int = 0


_BEATS = msgspec.json.Decoder(_Beat)


def answer_probe(is_ready: Callable[[], bool]) -> Handle:
    """Return the handler of the routers' probe."""

    def handle(request: WebRequest) -> WebReply:
        if request.path != READY_PATH:
            return NOT_FOUND
        return DONE if is_ready() else WebReply(UNAVAILABLE)

    return handle


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
        return _explain("400 Bad Request", str(error))
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


def answer_operator(service: VersionService) -> Handle:
    """Return the handler of the operator's calls."""

    def handle(request: WebRequest) -> WebReply:
        if request.path == PUT_PATH and request.method == "POST":
            return _put(service, request.body)
        if request.path == GET_PATH and request.method == "GET":
            return _get(service)
        return NOT_FOUND

    return handle


def _put(service: VersionService, body: bytes) -> WebReply:
    found = read_configuration(body)
    if fault := found.swap().value_or(None):
        return _explain("400 Bad Request", fault.reason)
    result = service.put(found.unwrap().version, body)
    if not is_successful(result):
        return _explain(UNAVAILABLE, str(result.failure()))
    return DONE


def _get(service: VersionService) -> WebReply:
    result = service.get()
    if not is_successful(result):
        return _explain(UNAVAILABLE, str(result.failure()))
    body = result.unwrap()
    if not body:
        return _explain(UNAVAILABLE, "no configuration was accepted yet")
    return WebReply("200 OK", body)


def _explain(status: str, reason: str) -> WebReply:
    return WebReply(status, msgspec.json.encode({"Error": reason}))
