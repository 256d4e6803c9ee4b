"""An agent accepts its target's heartbeats and rejects those of other programs."""

import json

import msgspec
import pytest
from hypothesis import given, strategies as st

from ibisshunt.components.forwarding.agent import AgentTask
from ibisshunt.components.web import WebRequest
from ibisshunt.coordination.forwarding.messages import TargetState
from ibisshunt.model.address import Address
from ibisshunt.platform.heartbeats import make_instance_handler
from ibisshunt.platform.packet import CODEC
from tests.node_settings import ANY_PORT, make_settings

SERVICE = "huvo11a"
HEARTBEAT = {
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
HEARTBEAT_PATH = "/-/instances/i-1/heartbeat"
LEAVE_PATH = "/-/instances/i-1/deregister"


class FakeInternalSocket:
    """Replace the internal socket; send nothing."""

    def register_handler(self, message_class, handler):
        """Ignore the handler."""

    def send_all(self, addresses, message):
        """Send nothing."""


def make_agent():
    """Return an agent's task whose target is open, and its HTTP handler."""
    settings = make_settings(
        outbound_address=ANY_PORT, target=Address("127.0.0.1", 9), service=SERVICE
    )
    task = AgentTask(settings, CODEC, FakeInternalSocket(), list)
    handle = make_instance_handler(task)
    assert handle(
        WebRequest("POST", HEARTBEAT_PATH, json.dumps(HEARTBEAT).encode())
    ).status[:3] == ("200")
    return task, handle


@pytest.fixture
def agent():
    task, handle = make_agent()
    yield task, handle
    task.close()


def capture_state(task):
    """Return the state of an agent that a heartbeat can change."""
    agent = task.agent
    return (
        agent.state,
        agent.current_heartbeat,
        agent.target.last_heartbeat_at,
        agent.target.incarnations._ended,
    )


def send(handle, body, path=HEARTBEAT_PATH):
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
def test_an_invalid_heartbeat_changes_nothing(agent, changes):
    # A damaged heartbeat, or one of other software, reaches an agent with an open
    # target. Guards against taking any state but "draining" for open, and another
    # service's heartbeat for the target's own. It is rejected and counted.
    task, handle = agent
    before = capture_state(task)
    assert send(handle, {**HEARTBEAT, "Seq": 9, **changes}) == "400"
    assert capture_state(task) == before
    assert task.rejected_messages == 1


@pytest.mark.parametrize("field", sorted(HEARTBEAT))
def test_a_heartbeat_that_lacks_a_field_changes_nothing(agent, field):
    task, handle = agent
    before = capture_state(task)
    body = {**HEARTBEAT, "State": "draining", "Seq": 9}
    del body[field]
    assert send(handle, body) == "400"
    assert capture_state(task) == before


@pytest.mark.parametrize("body", [b"", b"{", b"\xff\xfe", b"[]", b"3", b"null"])
def test_a_body_that_cannot_be_decoded_is_rejected(agent, body):
    task, handle = agent
    before = capture_state(task)
    assert send(handle, body) == "400"
    assert capture_state(task) == before


@pytest.mark.parametrize(
    "body", [b"{", b"[]", {"born": "x"}, {"Service": "wuno96b"}, {"born": -1}]
)
def test_an_invalid_leave_message_changes_nothing(agent, body):
    task, handle = agent
    before = capture_state(task)
    assert send(handle, body, LEAVE_PATH) == "400"
    assert capture_state(task) == before


def test_a_leave_message_may_have_no_body(agent):
    task, handle = agent
    # As after some seconds of heartbeats.
    task.agent.target.is_established = True
    assert send(handle, b"", LEAVE_PATH) == "200"
    assert task.agent.state == TargetState.GONE


def test_unknown_paths_and_methods_are_not_found(agent):
    _, handle = agent
    assert send(handle, HEARTBEAT, "/-/instances//heartbeat") == "404"
    assert send(handle, HEARTBEAT, "/-/instances/i-1/other") == "404"
    assert handle(WebRequest("GET", HEARTBEAT_PATH, b"")).status[:3] == "404"


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
    st.dictionaries(st.sampled_from(sorted(HEARTBEAT)), JSON_VALUES, min_size=1)
    | JSON_VALUES
    | st.binary(max_size=64),
    st.sampled_from((HEARTBEAT_PATH, LEAVE_PATH)),
)
def test_no_rejected_message_changes_the_agent(changes, path):
    # Whatever is sent in place of a heartbeat or a leave message: a 4xx reply means
    # that nothing has changed, and no reply is 5xx or an exception of the handler.
    task, handle = make_agent()
    try:
        before = capture_state(task)
        is_heartbeat = isinstance(changes, dict) and changes.keys() <= HEARTBEAT.keys()
        body = {**HEARTBEAT, **changes} if is_heartbeat else changes
        if not isinstance(body, bytes):
            body = msgspec.json.encode(body)
        status = send(handle, body, path)
        assert status in ("200", "400")
        if status == "400":
            assert capture_state(task) == before
    finally:
        task.close()
