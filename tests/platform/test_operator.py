"""The operator's orders for failure domains, as HTTP calls."""

import json

import pytest
from returns.result import Failure, Success

from ibisshunt.components.web import WebRequest
from ibisshunt.coordination.versions import DomainOutcome
from ibisshunt.exceptions import Fault
from ibisshunt.platform.operator import answer_operator

DOMAINS = frozenset(("moin-a", "moin-b"))
TAKEN = Success(DomainOutcome(True, 7, True))


class FakeService:
    """Keep the orders that arrive, and answer each in the same way."""

    def __init__(self, result):
        self.result = result
        self.orders = []

    def order(self, domain, is_drained):
        self.orders.append((domain, is_drained))
        return self.result


def call(path, result=TAKEN, domains=DOMAINS, method="POST"):
    """Return the number of the status, the body and the orders that arrived."""
    service = FakeService(result)
    reply = answer_operator(service, domains)(WebRequest(method, path, b""))
    return int(reply.status[:3]), json.loads(reply.body), service.orders


@pytest.mark.parametrize(("word", "is_drained"), [("start", True), ("end", False)])
def test_an_order_is_acknowledged_once_it_is_accepted(word, is_drained):
    status, _, orders = call(f"/-/evacuate/moin-a/{word}")
    assert (status, orders) == (200, [("moin-a", is_drained)])


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
def test_a_malformed_path_is_refused_with_the_reason(path):
    status, body, orders = call(path)
    assert (status, orders) == (404, [])
    assert "expected" in body["Error"]


def test_an_unknown_failure_domain_is_refused_with_those_that_are_known():
    status, body, orders = call("/-/evacuate/moin-c/start")
    assert (status, orders) == (404, [])
    assert "moin-c" in body["Error"]
    assert "moin-a, moin-b" in body["Error"]


def test_where_no_failure_domain_is_told_any_may_be_drained():
    assert call("/-/evacuate/moin-c/start", domains=frozenset())[0] == 200


def test_another_method_changes_nothing():
    assert call("/-/evacuate/moin-a/start", method="GET")[::2] == (404, [])


def test_an_order_without_a_clear_outcome_is_never_told_as_refused():
    # Guards against an operator that takes an order in flight for one without effect.
    fault = Failure(Fault("propose", "10.0.3.1", "not committed within 0.9 s"))
    assert call("/-/evacuate/moin-a/start", fault)[0] == 503
    overtaken = Success(DomainOutcome(False, 9))
    assert call("/-/evacuate/moin-a/start", overtaken)[0] == 503
