"""The operator drains and reopens failure domains by HTTP calls."""

import json

import pytest
from returns.result import Failure, Success

from ibisshunt.components.web import WebRequest
from ibisshunt.coordination.versions import DomainOutcome
from ibisshunt.exceptions import Fault
from ibisshunt.platform.operator import make_operator_handler

DOMAINS = frozenset(("moin-a", "moin-b"))
APPLIED = Success(DomainOutcome(True, 7, True))


class FakeService:
    """Record the changes that arrive, and return the same result for each."""

    def __init__(self, result):
        self.result = result
        self.changes = []

    def set_domain_drained(self, domain, is_drained):
        self.changes.append((domain, is_drained))
        return self.result


def call(path, result=APPLIED, domains=DOMAINS, method="POST"):
    """Return the status code, the body and the changes that arrived."""
    service = FakeService(result)
    reply = make_operator_handler(service, domains)(WebRequest(method, path, b""))
    return int(reply.status[:3]), json.loads(reply.body), service.changes


@pytest.mark.parametrize(("action", "is_drained"), [("start", True), ("end", False)])
def test_a_change_is_acknowledged_once_it_is_accepted(action, is_drained):
    status, _, changes = call(f"/-/evacuate/moin-a/{action}")
    assert (status, changes) == (200, [("moin-a", is_drained)])


@pytest.mark.parametrize(
    "path",
    [
        "/-/evacuate/moin-a/stop",
        "/-/evacuate/moin-a/",
        "/-/evacuate/moin-a",
        "/-/evacuate/start",
        "/-/evacuate//start",
        "/-/evacuate/moin-a/x/start",
    ],
)
def test_a_malformed_path_is_rejected_with_the_reason(path):
    status, body, changes = call(path)
    assert (status, changes) == (404, [])
    assert "expected" in body["Error"]


def test_an_unknown_failure_domain_is_rejected_with_a_list_of_the_known():
    status, body, changes = call("/-/evacuate/moin-c/start")
    assert (status, changes) == (404, [])
    assert "moin-c" in body["Error"]
    assert "moin-a, moin-b" in body["Error"]


def test_any_failure_domain_may_be_drained_when_none_are_configured():
    assert call("/-/evacuate/moin-c/start", domains=frozenset())[0] == 200


def test_another_method_changes_nothing():
    assert call("/-/evacuate/moin-a/start", method="GET")[::2] == (404, [])


def test_a_change_with_an_unknown_outcome_is_not_reported_as_rejected():
    # Guards against a change that is still in flight, and may take effect later, being
    # reported to the operator as without effect.
    fault = Failure(Fault("propose", "10.0.3.1", "not committed within 0.9 s"))
    assert call("/-/evacuate/moin-a/start", fault)[0] == 503
    superseded = Success(DomainOutcome(False, 9))
    assert call("/-/evacuate/moin-a/start", superseded)[0] == 503
