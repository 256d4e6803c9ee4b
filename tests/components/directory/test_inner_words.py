"""Datagrams of other writers, and damaged ones, between our own nodes."""

import msgspec
import pytest
from hypothesis import given, strategies as st

from ibisshunt.components.directory.control import ControlDirectory
from ibisshunt.components.directory.inner import InnerSocket, Message
from ibisshunt.components.directory.known import DirectoryFiles
from ibisshunt.components.directory.node import NodeDirectory
from ibisshunt.components.forwarding.balancer import BalancerTask
from ibisshunt.components.forwarding.checkpoints import CheckpointTask
from ibisshunt.components.storage.files import run_here
from ibisshunt.coordination.directory.messages import NodeRole
from ibisshunt.coordination.forwarding.messages import Status
from ibisshunt.coordination.versions import FleetState
from ibisshunt.helpers.clock import read_clock
from ibisshunt.model.address import Address
from ibisshunt.platform.packet import CODEC
from tests.components.storage.memory_files import MemoryFiles
from tests.node_settings import make_settings

SENDER = ("127.7.8.9", 17_720)
TAGS = "drabyzgtkoqucemshwlinfp"
WORDS = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**40), 2**40)
    | st.text(max_size=12)
    | st.binary(max_size=40)
    | st.sampled_from(["10.0.2.1", "not an address"]),
    lambda inner: st.lists(inner, max_size=4),
    max_leaves=6,
)


def make_balancer(inner):
    """Let a balancer and its tasks take messages."""
    task = BalancerTask(make_settings(), CODEC, inner)
    directory = NodeDirectory(
        inner, NodeRole.BALANCER, (), lambda body: None, task.meet, "a"
    )
    CheckpointTask(
        "127.0.0.1",
        task.balancer,
        inner,
        directory.list_control,
        directory.list_heard,
        1,
    )
    return task


def make_control(inner):
    """Let a control host take messages."""
    files = DirectoryFiles(MemoryFiles(), run_here)
    return ControlDirectory(inner, FleetState(), tuple, files)


@pytest.fixture(params=[make_balancer, make_control])
def inner(request):
    opened = InnerSocket(Address("127.0.0.1", 0))
    opened.send_all = lambda peers, message: [str(peer) for peer in peers]
    task = request.param(opened)
    yield opened
    opened.close()
    if isinstance(task, BalancerTask):
        task.close()


@pytest.mark.parametrize("role", [7, -1, "BALANCER", None])
def test_an_introduction_with_a_role_that_is_not_one_is_refused(inner, role):
    # A datagram of another writer introduces a node of an unknown role. Taken, it ended
    # the task that reads messages, and with it the control host.
    inner._take(msgspec.msgpack.encode(["h", role, 1, 1, "a", False]), SENDER)
    assert inner.unreadable == 1


@pytest.mark.parametrize("field", range(1, 12))
def test_a_status_with_a_field_of_another_kind_is_refused(inner, field):
    status = Status(1, 1, "booking", 0, 1, 0, 0, 0, 0, 1, 0, 5)
    words = msgspec.to_builtins(status)
    words[field] = -5
    inner._take(msgspec.msgpack.encode(words), SENDER)
    assert inner.unreadable == 1


def send_to_all(raw):
    """Let a balancer and a control host that have just started take a datagram."""
    for make in (make_balancer, make_control):
        opened = InnerSocket(Address("127.0.0.1", 0))
        opened.send_all = lambda peers, message: [str(peer) for peer in peers]
        task = make(opened)
        try:
            opened._take(raw, SENDER)
            if isinstance(task, BalancerTask):
                task.balancer.sweep(read_clock())
        finally:
            opened.close()
            if isinstance(task, BalancerTask):
                task.close()


@given(st.sampled_from(TAGS), st.lists(WORDS, max_size=12))
def test_no_datagram_ends_the_task_that_reads_them(tag, words):
    # Whatever another writer sends to a balancer or a control host: what is no message
    # is counted, what is one is taken, and nothing raises.
    send_to_all(msgspec.msgpack.encode([tag, *words]))


@given(st.data())
def test_no_message_with_odd_values_ends_the_task(data):
    # Each field has its own kind and any value in it.
    kind = data.draw(st.sampled_from(Message.__args__))
    message = data.draw(st.from_type(kind))
    try:
        raw = msgspec.msgpack.encode(message)
    except OverflowError:
        # A number that no datagram can carry.
        return
    send_to_all(raw)
