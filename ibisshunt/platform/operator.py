"""Answer the operator's calls on a control host."""

from collections.abc import Collection

from returns.pipeline import is_successful

from ..components.versions import VersionService
from ..components.web import Handle, WebReply, WebRequest
from ..exceptions import ConfigurationError
from .answers import DONE, NOT_FOUND, UNAVAILABLE, explain
from .configuration import read_configuration

PUT_PATH = "/-/config/put"
GET_PATH = "/-/config/get"


EVACUATE_PREFIX = "/-/evacuate/"
# The last part of an evacuation's path, and whether it drains the failure domain.
EVACUATE_CALLS = {"start": True, "end": False}


def answer_operator(service: VersionService, domains: Collection[str]) -> Handle:
    """Return the handler of the operator's calls.

    ``domains`` are the names of all failure domains, none when they are not known.
    """

    def handle(request: WebRequest) -> WebReply:
        if request.path == PUT_PATH and request.method == "POST":
            return _put(service, request.body)
        if request.path == GET_PATH and request.method == "GET":
            return _get(service)
        if request.path.startswith(EVACUATE_PREFIX) and request.method == "POST":
            return _evacuate(service, domains, request.path)
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


def _evacuate(service: VersionService, domains: Collection[str], path: str) -> WebReply:
    domain, slash, call = path.removeprefix(EVACUATE_PREFIX).rpartition("/")
    if not slash or call not in EVACUATE_CALLS:
        reason = f"found {path!r}, expected {EVACUATE_PREFIX}DOMAIN/start or .../end"
        return explain("404 Not Found", reason)
    if not domain or (domains and domain not in domains):
        known = ", ".join(sorted(domains))
        reason = f"failure domain {domain!r} does not exist, expected one of: {known}"
        return explain("404 Not Found", reason)
    result = service.order(domain, EVACUATE_CALLS[call])
    if not is_successful(result):
        return explain(UNAVAILABLE, str(result.failure()))
    if not result.unwrap().in_force:
        # A copy that was held up; told as refused, an operator would take the newer
        # order for undone.
        return explain(UNAVAILABLE, "a newer order for this domain was accepted")
    return DONE


def _get(service: VersionService) -> WebReply:
    result = service.get()
    if not is_successful(result):
        return explain(UNAVAILABLE, str(result.failure()))
    body = result.unwrap()
    if not body:
        return explain(UNAVAILABLE, "no configuration was accepted yet")
    return WebReply("200 OK", body)
