"""Foreign and damaged datagrams at internal sockets."""

import msgspec
import pytest
from hypothesis import given, strategies as st

from ibisshunt.components.directory.control import ControlDirectory
from ibisshunt.components.directory.internal_socket import InternalSocket, Message
from ibisshunt.components.directory.node import NodeDirectory
from ibisshunt.components.directory.saved_state import DirectoryFiles
from ibisshunt.components.forwarding.balancer import BalancerTask
from ibisshunt.components.forwarding.checkpoints import CheckpointTask
from ibisshunt.components.storage.files import run_inline
from ibisshunt.coordination.directory.messages import NodeRole
from ibisshunt.coordination.forwarding.messages import Status
from ibisshunt.coordination.versions import FleetState
from ibisshunt.helpers.clock import read_monotonic_clock
from ibisshunt.model.address import Address
from ibisshunt.platform.packet import CODEC
from tests.components.storage.memory_files import MemoryFiles
from tests.node_settings import make_settings

SENDER = ("127.7.8.9", 17_720)
TAGS = "drabyzgtkoqucemshwlinfp"
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**40), 2**40)
    | st.text(max_size=12)
    | st.binary(max_size=40)
    | st.sampled_from(["10.0.2.1", "not an address"]),
    lambda children: st.lists(children, max_size=4),
    max_leaves=6,
)


def make_balancer(socket):
    """Register the message handlers of a balancer and its tasks."""
    task = BalancerTask(make_settings(), CODEC, socket)
    directory = NodeDirectory(
        socket, NodeRole.BALANCER, (), lambda body: None, task.add_agent, "a"
    )
    CheckpointTask(
        "127.0.0.1",
        task.balancer,
        socket,
        directory.list_control_hosts,
        directory.list_recent_control_hosts,
        1,
    )
    return task


def make_control(socket):
    """Register the message handlers of a control host."""
    files = DirectoryFiles(MemoryFiles(), run_inline)
    return ControlDirectory(socket, FleetState(), tuple, files)


@pytest.fixture(params=[make_balancer, make_control])
def socket(request):
    opened = InternalSocket(Address("127.0.0.1", 0))
    opened.send_all = lambda peers, message: [str(peer) for peer in peers]
    task = request.param(opened)
    yield opened
    opened.close()
    if isinstance(task, BalancerTask):
        task.close()


@pytest.mark.parametrize("role", [7, -1, "BALANCER", None])
def test_a_hello_with_an_unknown_role_is_rejected(socket, role):
    # A foreign datagram registers a node of an unknown role. Accepted, it ended the
    # task that reads messages, and with it the control host.
    socket._handle_datagram(
        msgspec.msgpack.encode(["h", role, 1, 1, "a", False]), SENDER
    )
    assert socket.unreadable_datagrams == 1


@pytest.mark.parametrize("field", range(1, 12))
def test_a_status_with_an_invalid_field_is_rejected(socket, field):
    status = Status(1, 1, "booking", 0, 1, 0, 0, 0, 0, 1, 0, 5)
    values = msgspec.to_builtins(status)
    values[field] = -5
    socket._handle_datagram(msgspec.msgpack.encode(values), SENDER)
    assert socket.unreadable_datagrams == 1


def send_to_all(datagram):
    """Send a datagram to a balancer and a control host that have just started."""
    for make in (make_balancer, make_control):
        opened = InternalSocket(Address("127.0.0.1", 0))
        opened.send_all = lambda peers, message: [str(peer) for peer in peers]
        task = make(opened)
        try:
            opened._handle_datagram(datagram, SENDER)
            if isinstance(task, BalancerTask):
                task.balancer.tick(read_monotonic_clock())
        finally:
            opened.close()
            if isinstance(task, BalancerTask):
                task.close()


@given(st.sampled_from(TAGS), st.lists(VALUES, max_size=12))
def test_no_datagram_ends_the_receiving_task(tag, values):
    # Whatever a foreign sender sends to a balancer or a control host: malformed
    # datagrams are counted, messages are handled, and nothing raises.
    send_to_all(msgspec.msgpack.encode([tag, *values]))


@given(st.data())
def test_no_message_with_unusual_values_ends_the_receiving_task(data):
    # Each field has its own type, with any value.
    message_class = data.draw(st.sampled_from(Message.__args__))
    message = data.draw(st.from_type(message_class))
    try:
        datagram = msgspec.msgpack.encode(message)
    except OverflowError:
        # A number that msgpack cannot encode.
        return
    send_to_all(datagram)
