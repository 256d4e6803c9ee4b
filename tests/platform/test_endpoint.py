"""What an agent answers to heartbeats, its endpoint's and those of other writers."""

import json

import msgspec
import pytest
from hypothesis import given, strategies as st

from ibisshunt.components.forwarding.agent import AgentTask
from ibisshunt.components.web import WebRequest
from ibisshunt.coordination.forwarding.messages import TargetState
from ibisshunt.model.address import Address
from ibisshunt.platform.endpoint import answer_endpoint
from ibisshunt.platform.packet import CODEC
from tests.node_settings import NOWHERE, make_settings

SERVICE = "huvo11a"
BEAT = {
    "Service": SERVICE,
    "Address": "10.128.0.9:8080",
    "Zone": "a",
    "Version": "v1",
    "Slots": 3,
    "State": "ready",
    "WarmupLeftMs": 0,
    "Seq": 4,
    "born": 1_700_000_000_000,
}
PATH = "/-/instances/i-1/heartbeat"
LEAVE = "/-/instances/i-1/deregister"


class NoSocket:
    """Stand for the socket between nodes; nothing is sent."""

    def handle(self, kind, handler):
        """Take a handler."""

    def send_all(self, peers, message):
        """Send nothing."""


def make_agent():
    """Return an agent's task beside an open target, and its handler."""
    settings = make_settings(
        outward=NOWHERE, target=Address("127.0.0.1", 9), service=SERVICE
    )
    task = AgentTask(settings, CODEC, NoSocket(), list)
    handle = answer_endpoint(task)
    assert handle(WebRequest("POST", PATH, json.dumps(BEAT).encode())).status[:3] == (
        "200"
    )
    return task, handle


@pytest.fixture
def agent():
    task, handle = make_agent()
    yield task, handle
    task.close()


def look(task):
    """Return what a heartbeat could change."""
    found = task.agent
    return (
        found.state,
        found.present,
        found.target.announced_at,
        found.target.incarnations._ended,
    )


def send(handle, body, path=PATH):
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    return handle(WebRequest("POST", path, raw)).status[:3]


@pytest.mark.parametrize(
    "changes",
    [
        {"State": "Draining"},
        {"State": "gone"},
        {"State": None},
        {"Service": "wuno96b"},
        {"Slots": 0},
        {"Slots": "3"},
        {"Seq": -1},
        {"Seq": 4.5},
        {"born": "1700000000001"},
        {"born": None},
        {"born": 1.5},
        {"born": True},
        {"WarmupLeftMs": [0]},
    ],
)
def test_a_heartbeat_of_another_writer_changes_nothing(agent, changes):
    # A damaged heartbeat, or one of other software, reaches an agent with an open
    # target. Any state but "draining" was taken for open, another service's word for
    # the target's own. It is refused, counted, and all else goes on.
    task, handle = agent
    before = look(task)
    assert send(handle, {**BEAT, "Seq": 9, **changes}) == "400"
    assert look(task) == before
    assert task.refused_words == 1


@pytest.mark.parametrize("field", sorted(BEAT))
def test_a_heartbeat_that_lacks_a_field_changes_nothing(agent, field):
    task, handle = agent
    before = look(task)
    body = {**BEAT, "State": "draining", "Seq": 9}
    del body[field]
    assert send(handle, body) == "400"
    assert look(task) == before


@pytest.mark.parametrize("body", [b"", b"{", b"\xff\xfe", b"[]", b"3", b"null"])
def test_a_body_that_cannot_be_read_is_refused(agent, body):
    task, handle = agent
    before = look(task)
    assert send(handle, body) == "400"
    assert look(task) == before


@pytest.mark.parametrize(
    "body", [b"{", b"[]", {"born": "x"}, {"Service": "wuno96b"}, {"born": -1}]
)
def test_a_last_word_of_another_writer_changes_nothing(agent, body):
    task, handle = agent
    before = look(task)
    assert send(handle, body, LEAVE) == "400"
    assert look(task) == before


def test_a_last_word_may_have_no_body(agent):
    task, handle = agent
    assert send(handle, b"", LEAVE) == "200"
    assert task.agent.state == TargetState.GONE


def test_calls_that_are_not_there_are_not_found(agent):
    _, handle = agent
    assert send(handle, BEAT, "/-/instances//heartbeat") == "404"
    assert send(handle, BEAT, "/-/instances/i-1/other") == "404"
    assert handle(WebRequest("GET", PATH, b"")).status[:3] == "404"


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=6,
)


@given(
    st.dictionaries(st.sampled_from(sorted(BEAT)), JSON_VALUES, min_size=1)
    | JSON_VALUES
    | st.binary(max_size=64),
    st.sampled_from((PATH, LEAVE)),
)
def test_no_word_that_is_refused_changes_the_agent(changes, path):
    # Whatever is sent in place of a heartbeat or a last word: what is answered 4xx has
    # changed nothing, and nothing is answered 5xx or ends the handler.
    task, handle = make_agent()
    try:
        before = look(task)
        is_beat = isinstance(changes, dict) and changes.keys() <= BEAT.keys()
        body = {**BEAT, **changes} if is_beat else changes
        if not isinstance(body, bytes):
            body = msgspec.json.encode(body)
        status = send(handle, body, path)
        assert status in ("200", "400")
        if status == "400":
            assert look(task) == before
    finally:
        task.close()
