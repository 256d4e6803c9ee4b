"""Nodes learn which failure domains are drained, and never go back to older states."""

import pytest

from ibisshunt.components.directory.node import NodeDirectory
from ibisshunt.coordination.directory.messages import (
    Hello,
    HelloReply,
    NodeRole,
    Subscribe,
    UpdateNotice,
)
from ibisshunt.coordination.versions import FleetState, encode_domain_command
from ibisshunt.model.domains import DrainedDomains

from ..storage.memory_files import MemoryFiles
from .test_control import NODE, FakeInternalSocket, start

SEED = "10.0.3.1"
BALANCER = "10.0.1.1"
NONE_DRAINED = DrainedDomains(0)
DRAINED = DrainedDomains(4, ("moin-a",))
OPEN_AGAIN = DrainedDomains(6)
HELLO = Hello(NodeRole.AGENT, 0, 0)


def apply_change(state, index, is_drained=True):
    """Apply a change of the domain in the log."""
    revision = state.domains.find_revision("moin-a")
    state.apply(index, encode_domain_command("moin-a", is_drained, revision))


def request_domains(socket, hello=HELLO):
    """Return the drained domains in the reply to a node."""
    (reply,) = socket.deliver(NODE, hello)
    return reply.drained_domains


@pytest.fixture
def agent():
    """Return an agent's directory, its socket and the drained domains it applied."""
    socket, applied = FakeInternalSocket(), []
    directory = NodeDirectory(
        socket,
        NodeRole.AGENT,
        (SEED,),
        lambda body: None,
        lambda node: None,
        on_drained_domains=applied.append,
    )
    return directory, socket, applied


def test_a_host_with_an_empty_disk_sends_no_domains_before_its_log_is_current():
    # Guards against new flows in a drained domain, from agents that start beside a
    # control host that has lost its disk and knows of no change yet.
    state = FleetState()
    directory, socket = start(MemoryFiles(), state)
    assert request_domains(socket) is None
    apply_change(state, 4)
    assert request_domains(socket) is None
    directory.confirm_drained_domains()
    assert request_domains(socket) == DRAINED


def test_after_a_power_loss_of_the_fleet_nodes_get_the_saved_domains_at_once():
    # Guards against targets that stay idle until a leader is elected.
    files, state = MemoryFiles(), FleetState()
    directory, _ = start(files, state)
    directory.confirm_drained_domains()
    apply_change(state, 4)
    directory.save_drained_domains()
    files.crash()
    _, socket = start(files)
    assert request_domains(socket) == DRAINED


def test_a_log_that_is_replayed_reverts_no_change():
    # Guards against an older state of the log that a host replays at its start.
    files, state = MemoryFiles(), FleetState()
    directory, _ = start(files, state)
    directory.confirm_drained_domains()
    apply_change(state, 4)
    apply_change(state, 6, is_drained=False)
    directory.save_drained_domains()
    files.crash()
    state = FleetState()
    directory, socket = start(files, state)
    apply_change(state, 4)
    directory.confirm_drained_domains()
    assert request_domains(socket) == OPEN_AGAIN


def test_nodes_with_older_domains_are_notified_until_they_have_the_new_ones():
    # Guards against a change that a node misses because of a lost datagram.
    state = FleetState()
    directory, socket = start(MemoryFiles(), state)
    directory.confirm_drained_domains()
    socket.deliver(NODE, Hello(NodeRole.AGENT, 0, 0, "", False, 0))
    directory.notify_outdated_nodes()
    assert not [sent for sent in socket.sent if isinstance(sent[1], UpdateNotice)]
    apply_change(state, 4)
    directory.notify_outdated_nodes()
    directory.notify_outdated_nodes()
    assert socket.sent[-2:] == [(NODE, UpdateNotice(0, DRAINED))] * 2
    socket.deliver(NODE, Hello(NodeRole.AGENT, 0, 0, "", False, 4))
    socket.sent = []
    directory.notify_outdated_nodes()
    assert socket.sent == []


def test_a_node_with_current_domains_is_not_sent_them_again():
    state = FleetState()
    directory, socket = start(MemoryFiles(), state)
    directory.confirm_drained_domains()
    apply_change(state, 4)
    assert request_domains(socket, Hello(NodeRole.AGENT, 0, 0, "", False, 4)) is None


def test_a_node_applies_only_newer_domains(agent):
    # Guards against a drained domain that an outdated message opens again.
    _, socket, applied = agent
    socket.deliver(SEED, UpdateNotice(7, DRAINED))
    socket.deliver(SEED, UpdateNotice(7, NONE_DRAINED))
    socket.deliver(SEED, HelloReply(7, 1, (SEED,), (), (), True, (), OPEN_AGAIN))
    socket.deliver(SEED, UpdateNotice(7, DRAINED))
    assert applied == [DRAINED, OPEN_AGAIN]


def test_a_node_reports_the_revision_of_its_domains(agent):
    directory, socket, _ = agent
    socket.deliver(SEED, UpdateNotice(7, NONE_DRAINED))
    sent = socket.deliver(SEED, UpdateNotice(7, DRAINED))
    hellos = [message for message in sent if isinstance(message, Hello)]
    assert {hello.drained_revision for hello in hellos} == {4}
    assert directory.dump()["drained"] == DRAINED


def test_an_agent_gets_domains_from_a_balancer_while_control_hosts_are_unreachable(
    agent,
):
    # Guards against an agent that serves nothing after a restart until a control host
    # is back.
    _, socket, applied = agent
    socket.deliver(BALANCER, Subscribe(NONE_DRAINED))
    socket.deliver(BALANCER, Subscribe(None))
    assert applied == [NONE_DRAINED]
