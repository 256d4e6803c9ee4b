"""Whom a node introduces itself to."""

from ibisshunt.components.directory.node import NodeDirectory
from ibisshunt.coordination.directory.messages import Hello, NodeRole, Notice, Welcome

from .test_control import FakeInner

SEED, OTHER = "10.0.3.1", "10.0.3.4"
AGENT = "10.0.2.1"


def start(met):
    """Return the directory of a balancer that knows one seed, and its socket."""
    inner = FakeInner()
    directory = NodeDirectory(
        inner, NodeRole.BALANCER, (SEED,), lambda body: None, met.append
    )
    return directory, inner


def list_introduced(inner):
    return {peer for peer, message in inner.sent if isinstance(message, Hello)}


def test_a_node_asks_the_control_host_that_greets_it_though_it_is_no_seed():
    # All power was lost. A control host that is no seed is back 0.3 s before the three
    # that are, and tells all nodes of its former run. It knows who is there: waiting
    # for a seed, balancers would know no target until then, and place no flow.
    met = []
    _, inner = start(met)
    inner.take(OTHER, Notice(7))
    assert OTHER in list_introduced(inner)
    inner.take(OTHER, Welcome(7, 1, (OTHER,), (AGENT,), (), True))
    assert met == [AGENT]


def test_a_node_that_is_in_touch_is_not_made_to_speak_by_each_notice():
    # A configuration is announced to a whole fleet: each answer to each notice would
    # be a message more at five control hosts.
    _, inner = start([])
    inner.take(SEED, Welcome(7, 1, (SEED,), (), (), True))
    inner.take(OTHER, Notice(8))
    assert not list_introduced(inner)
