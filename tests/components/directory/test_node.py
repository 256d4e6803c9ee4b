"""Control hosts with which a node registers."""

from ibisshunt.components.directory.node import NodeDirectory
from ibisshunt.coordination.directory.messages import (
    Hello,
    HelloReply,
    NodeRole,
    UpdateNotice,
)

from .test_control import FakeInternalSocket

SEED, OTHER = "10.0.3.1", "10.0.3.4"
AGENT = "10.0.2.1"


def start(new_nodes):
    """Return the directory of a balancer that knows one seed, and its socket."""
    socket = FakeInternalSocket()
    directory = NodeDirectory(
        socket, NodeRole.BALANCER, (SEED,), lambda body: None, new_nodes.append
    )
    return directory, socket


def list_registered(socket):
    return {peer for peer, message in socket.sent if isinstance(message, Hello)}


def test_a_node_registers_with_a_control_host_that_notifies_it():
    # After a power loss a control host that is no seed is back 0.3 s before the three
    # that are, and notifies all nodes of its previous run. A balancer that waited for a
    # seed would know no target until then, and place no flow.
    new_nodes = []
    _, socket = start(new_nodes)
    socket.deliver(OTHER, UpdateNotice(7))
    assert OTHER in list_registered(socket)
    socket.deliver(OTHER, HelloReply(7, 1, (OTHER,), (AGENT,), (), True))
    assert new_nodes == [AGENT]


def test_a_node_in_touch_sends_no_hello_for_each_notice():
    # A configuration is announced to a whole fleet: a Hello for each notice would add a
    # message for each node at five control hosts.
    _, socket = start([])
    socket.deliver(SEED, HelloReply(7, 1, (SEED,), (), (), True))
    socket.deliver(OTHER, UpdateNotice(8))
    assert not list_registered(socket)
