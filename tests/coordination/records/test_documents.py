import json

import pytest
from returns.result import Failure

from ibisshunt.coordination.records.commands import decode_body
from ibisshunt.coordination.records.documents import parse_document
from tests.builders import SERVICE_DOCUMENT

SERVICE_1 = {
    **SERVICE_DOCUMENT,
    "slots": 1,
    "sharing": "hunting",
    "idle_timeout_s": 60,
}
SERVICE_2 = {
    "kind": "service",
    "schema": 2,
    "business": "marea",
    "name": "booking",
    "listen": {"address": "127.1.0.1", "port": 8080, "protocol": "tcp"},
    "admission": {"callers": ["127.0.0.0/8"]},
    "sharing": {"policy": "hunting", "slots": 1},
    "flows": {"idle_timeout_ms": 60_000},
}


def parse(document):
    return parse_document(json.dumps(document))


def test_both_versions_parse_to_the_same_service():
    first, second = parse(SERVICE_1).unwrap(), parse(SERVICE_2).unwrap()
    assert decode_body(first.kind, first.body) == decode_body(second.kind, second.body)
    assert (first.schema_version, second.schema_version) == (1, 2)


@pytest.mark.parametrize(
    ("changes", "expected_texts"),
    [
        ({"port": "80"}, ("key port:", "found '80'", "integer 1-65535")),
        ({"port": True}, ("key port:", "found True")),
        ({"address": "::1"}, ("key address:", "found '::1'", "IPv4")),
        ({"callers": ["10.0.0.1/8"]}, ("key callers.0:", "10.0.0.1/8")),
        ({"callers": "10.0.0.0/8"}, ("key callers:", "list of networks")),
        ({"protocol": "icmp"}, ("key protocol:", "tcp, udp")),
        ({"colour": 1}, ("key colour:", "found 1", "not allowed")),
        ({"schema": 3}, ("key schema:", "found 3", "1, 2")),
        ({"schema": "1"}, ("key schema:", "found '1'")),
        ({"kind": "route"}, ("key kind:", "found 'route'", "business")),
        ({"name": "Bo oking"}, ("key name:", "Bo oking")),
        ({"listen": {}}, ("key listen:", "not allowed")),
        ({"delete": False}, ("key delete:", "found False", "true")),
    ],
)
def test_an_error_names_the_key_what_was_found_and_what_is_expected(
    changes, expected_texts
):
    result = parse({**SERVICE_1, **changes})
    assert isinstance(result, Failure)
    for text in expected_texts:
        assert text in result.failure().reason


@pytest.mark.parametrize("text", ["", "[]", "7", "{", '{"kind":"a","kind":"b"}'])
def test_a_document_that_is_not_one_json_object_is_refused(text):
    assert isinstance(parse_document(text), Failure)


def test_a_missing_key_is_named():
    document = {key: value for key, value in SERVICE_1.items() if key != "callers"}
    assert "key callers: found nothing" in parse(document).failure().reason


def test_a_deletion_needs_no_other_keys():
    change = parse(
        {
            "kind": "service",
            "schema": 1,
            "business": "marea",
            "name": "booking",
            "delete": True,
            "expected_revision": 4,
        }
    ).unwrap()
    assert (change.body, change.expected_revision) == (b"", 4)
