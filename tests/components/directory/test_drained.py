"""Nodes learn which failure domains are drained, and never go back to older ones."""

import pytest

from ibisshunt.components.directory.node import NodeDirectory
from ibisshunt.coordination.directory.messages import (
    Hello,
    Introduce,
    NodeRole,
    Notice,
    Welcome,
)
from ibisshunt.coordination.versions import FleetState, encode_domain_command
from ibisshunt.model.domains import DrainedDomains

from ..storage.memory_files import MemoryFiles
from .test_control import NODE, FakeInner, start

SEED = "10.0.3.1"
BALANCER = "10.0.1.1"
NONE_DRAINED = DrainedDomains(0)
DRAINED = DrainedDomains(4, ("moin-a",))
OPEN_AGAIN = DrainedDomains(6)
HELLO = Hello(NodeRole.AGENT, 0, 0)


def drain(state, index, is_drained=True):
    """Let an order be accepted in the log."""
    known = state.domains.find_revision("moin-a")
    state.apply(index, encode_domain_command("moin-a", is_drained, known))


def ask(inner, hello=HELLO):
    """Return which drained domains a node is told."""
    (welcome,) = inner.take(NODE, hello)
    return welcome.drained


@pytest.fixture
def agent():
    """Return an agent's directory, its socket and what it was told."""
    inner, told = FakeInner(), []
    directory = NodeDirectory(
        inner,
        NodeRole.AGENT,
        (SEED,),
        lambda body: None,
        lambda node: None,
        take_drained=told.append,
    )
    return directory, inner, told


def test_a_host_with_an_empty_disk_tells_nothing_before_its_log_is_whole():
    # Guards against new flows in a drained domain, from agents that start beside a
    # control host that has lost its disk and knows of no order yet.
    state = FleetState()
    directory, inner = start(MemoryFiles(), state)
    assert ask(inner) is None
    drain(state, 4)
    assert ask(inner) is None
    directory.confirm()
    assert ask(inner) == DRAINED


def test_after_a_power_loss_of_the_fleet_nodes_get_the_former_ones_at_once():
    # Guards against targets that stand idle until a leader is elected.
    files, state = MemoryFiles(), FleetState()
    directory, _ = start(files, state)
    directory.confirm()
    drain(state, 4)
    directory.save_drained()
    files.crash()
    _, inner = start(files)
    assert ask(inner) == DRAINED


def test_a_log_that_is_read_again_takes_no_order_back():
    # Guards against an older state of the log that a host passes through at its start.
    files, state = MemoryFiles(), FleetState()
    directory, _ = start(files, state)
    directory.confirm()
    drain(state, 4)
    drain(state, 6, is_drained=False)
    directory.save_drained()
    files.crash()
    state = FleetState()
    directory, inner = start(files, state)
    drain(state, 4)
    directory.confirm()
    assert ask(inner) == OPEN_AGAIN


def test_nodes_that_hold_older_ones_are_told_until_they_have_them():
    # Guards against an order that a lost datagram keeps from a node.
    state = FleetState()
    directory, inner = start(MemoryFiles(), state)
    directory.confirm()
    inner.take(NODE, Hello(NodeRole.AGENT, 0, 0, "", False, 0))
    directory.announce()
    assert not [sent for sent in inner.sent if isinstance(sent[1], Notice)]
    drain(state, 4)
    directory.announce()
    directory.announce()
    assert inner.sent[-2:] == [(NODE, Notice(0, DRAINED))] * 2
    inner.take(NODE, Hello(NodeRole.AGENT, 0, 0, "", False, 4))
    inner.sent = []
    directory.announce()
    assert inner.sent == []


def test_a_node_that_holds_them_is_not_told_again():
    state = FleetState()
    directory, inner = start(MemoryFiles(), state)
    directory.confirm()
    drain(state, 4)
    assert ask(inner, Hello(NodeRole.AGENT, 0, 0, "", False, 4)) is None


def test_a_node_takes_only_newer_ones(agent):
    # Guards against a drained domain that an older word opens again.
    _, inner, told = agent
    inner.take(SEED, Notice(7, DRAINED))
    inner.take(SEED, Notice(7, NONE_DRAINED))
    inner.take(SEED, Welcome(7, 1, (SEED,), (), (), True, (), OPEN_AGAIN))
    inner.take(SEED, Notice(7, DRAINED))
    assert told == [DRAINED, OPEN_AGAIN]


def test_a_node_tells_control_which_ones_it_holds(agent):
    directory, inner, _ = agent
    inner.take(SEED, Notice(7, NONE_DRAINED))
    sent = inner.take(SEED, Notice(7, DRAINED))
    hellos = [message for message in sent if isinstance(message, Hello)]
    assert {hello.drained_revision for hello in hellos} == {4}
    assert directory.dump()["drained"] == DRAINED


def test_an_agent_learns_them_from_a_balancer_while_control_is_away(agent):
    # Guards against an agent that serves nothing after a restart until control is back.
    _, inner, told = agent
    inner.take(BALANCER, Introduce(NONE_DRAINED))
    inner.take(BALANCER, Introduce(None))
    assert told == [NONE_DRAINED]
