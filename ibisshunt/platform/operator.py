"""Handle the operator's HTTP calls on a control host."""

from collections.abc import Collection

from returns.pipeline import is_successful

from ..components.versions import FleetStateService
from ..components.web import RequestHandler, WebReply, WebRequest
from ..exceptions import ConfigurationError
from .configuration import read_configuration
from .replies import NOT_FOUND_REPLY, OK_REPLY, STATUS_UNAVAILABLE, make_error_reply

PUT_PATH = "/-/config/put"
GET_PATH = "/-/config/get"
EVACUATE_PREFIX = "/-/evacuate/"
# Last part of an evacuation's path -> whether it drains the failure domain.
EVACUATE_ACTIONS = {"start": True, "end": False}


def make_operator_handler(
    service: FleetStateService, domains: Collection[str]
) -> RequestHandler:
    """Return the handler of the operator's calls.

    ``domains`` are the names of all failure domains, empty when they are not known.
    """

    def handle(request: WebRequest) -> WebReply:
        if request.path == PUT_PATH and request.method == "POST":
            return _put_configuration(service, request.body)
        if request.path == GET_PATH and request.method == "GET":
            return _get_configuration(service)
        if request.path.startswith(EVACUATE_PREFIX) and request.method == "POST":
            return _set_domain_drained(service, domains, request.path)
        return NOT_FOUND_REPLY

    return handle


def _put_configuration(service: FleetStateService, body: bytes) -> WebReply:
    try:
        routes = read_configuration(body)
    except ConfigurationError as error:
        return make_error_reply("400 Bad Request", error.fault.reason)
    result = service.put_configuration(routes.version, body)
    if not is_successful(result):
        return make_error_reply(STATUS_UNAVAILABLE, str(result.failure()))
    return OK_REPLY


def _set_domain_drained(
    service: FleetStateService, domains: Collection[str], path: str
) -> WebReply:
    domain, slash, action = path.removeprefix(EVACUATE_PREFIX).rpartition("/")
    if not slash or action not in EVACUATE_ACTIONS:
        reason = f"found {path!r}, expected {EVACUATE_PREFIX}DOMAIN/start or .../end"
        return make_error_reply("404 Not Found", reason)
    if not domain or (domains and domain not in domains):
        known = ", ".join(sorted(domains))
        reason = f"failure domain {domain!r} does not exist, expected one of: {known}"
        return make_error_reply("404 Not Found", reason)
    result = service.set_domain_drained(domain, EVACUATE_ACTIONS[action])
    if not is_successful(result):
        return make_error_reply(STATUS_UNAVAILABLE, str(result.failure()))
    if not result.unwrap().is_applied:
        # A newer change overtook this delayed one. A rejection would make the operator
        # believe that the newer change is not in effect either.
        return make_error_reply(
            STATUS_UNAVAILABLE, "a newer order for this domain was accepted"
        )
    return OK_REPLY


def _get_configuration(service: FleetStateService) -> WebReply:
    result = service.get_configuration()
    if not is_successful(result):
        return make_error_reply(STATUS_UNAVAILABLE, str(result.failure()))
    body = result.unwrap()
    if not body:
        return make_error_reply(STATUS_UNAVAILABLE, "no configuration was accepted yet")
    return WebReply("200 OK", body)
