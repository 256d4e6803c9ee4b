"""Answer the operator's calls on a control host."""

from returns.pipeline import is_successful

from ..components.versions import VersionService
from ..components.web import Handle, WebReply, WebRequest
from ..exceptions import ConfigurationError
from .answers import DONE, NOT_FOUND, UNAVAILABLE, explain
from .configuration import read_configuration

PUT_PATH = "/-/config/put"
GET_PATH = "/-/config/get"


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
    try:
        found = read_configuration(body)
    except ConfigurationError as error:
        return explain("400 Bad Request", error.fault.reason)
    result = service.put(found.version, body)
    if not is_successful(result):
        return explain(UNAVAILABLE, str(result.failure()))
    return DONE


def _get(service: VersionService) -> WebReply:
    result = service.get()
    if not is_successful(result):
        return explain(UNAVAILABLE, str(result.failure()))
    body = result.unwrap()
    if not body:
        return explain(UNAVAILABLE, "no configuration was accepted yet")
    return WebReply("200 OK", body)
