"""Nodes discover each other through control hosts that know only some of them."""

from ibisshunt.coordination.directory.messages import Hello, HelloReply, NodeRole
from ibisshunt.coordination.directory.node_view import NODE_RETENTION_SECONDS, NodeView
from ibisshunt.coordination.directory.registry import (
    CONFIRMATION_SECONDS,
    NODE_TIMEOUT_SECONDS,
    Registry,
)

CONTROL = ("10.0.0.1", "10.0.0.2")


def register(registry, address, role, now, digest=0, version=0, domain=""):
    hello = Hello(role, version, digest, domain)
    return registry.handle_hello(address, hello, 7, CONTROL, now)


def test_an_agent_learns_of_balancers_and_a_balancer_of_agents():
    registry = Registry()
    register(registry, "10.0.1.1", NodeRole.BALANCER, 1.0)
    register(registry, "10.0.2.1", NodeRole.AGENT, 1.0)
    assert register(registry, "10.0.2.2", NodeRole.AGENT, 1.0).nodes == ("10.0.1.1",)
    reply = register(registry, "10.0.1.1", NodeRole.BALANCER, 1.0)
    assert reply.nodes == ("10.0.2.1", "10.0.2.2")
    assert reply.version == 7


def test_a_balancer_learns_which_agents_are_in_its_failure_domain():
    # New flows go to targets of the same domain while these are as free as others.
    registry = Registry()
    register(registry, "10.0.2.1", NodeRole.AGENT, 1.0, domain="a")
    register(registry, "10.0.2.2", NodeRole.AGENT, 1.0, domain="b")
    reply = register(registry, "10.0.1.1", NodeRole.BALANCER, 1.0, domain="b")
    assert reply.same_domain_nodes == ("10.0.2.2",)
    view = NodeView(NodeRole.BALANCER, CONTROL, "b")
    view.apply_reply(CONTROL[0], reply, 1.0)
    assert view.same_domain_agents == {"10.0.2.2"}
    register(registry, "10.0.2.1", NodeRole.AGENT, 2.0, domain="b")
    again = register(
        registry, "10.0.1.1", NodeRole.BALANCER, 2.0, reply.digest, domain="b"
    )
    assert again.same_domain_nodes == ("10.0.2.1", "10.0.2.2")


def test_an_unchanged_list_is_not_sent_again():
    registry = Registry()
    register(registry, "10.0.1.1", NodeRole.BALANCER, 1.0)
    first = register(registry, "10.0.2.1", NodeRole.AGENT, 1.0)
    again = register(registry, "10.0.2.1", NodeRole.AGENT, 1.1, first.digest)
    assert first.nodes == ("10.0.1.1",)
    assert again.nodes is None


def test_a_silent_node_is_removed():
    registry = Registry()
    register(registry, "10.0.1.1", NodeRole.BALANCER, 1.0)
    assert registry.sweep(1.0 + NODE_TIMEOUT_SECONDS) == ["10.0.1.1"]
    reply = register(registry, "10.0.2.1", NodeRole.AGENT, 20.0)
    assert reply.nodes == ()


def test_outdated_nodes_are_listed():
    registry = Registry()
    register(registry, "10.0.1.1", NodeRole.BALANCER, 1.0, version=6)
    register(registry, "10.0.1.2", NodeRole.BALANCER, 1.0, version=7)
    assert registry.list_outdated(7) == ["10.0.1.1"]


def test_a_control_host_that_has_just_started_removes_no_node():
    # A control host restarts and knows no balancer yet, so its list is empty. The agent
    # must go on sending statuses, or balancers would take its target for lost.
    view = NodeView(NodeRole.AGENT, ("10.0.0.1",))
    view.apply_reply("10.0.0.1", HelloReply(1, 5, CONTROL, ("10.0.1.1",)), 1.0)
    view.apply_reply("10.0.0.1", HelloReply(1, 6, CONTROL, ()), 2.0)
    assert view.list_nodes() == ["10.0.1.1"]


def test_control_hosts_are_learned_beyond_the_seeds():
    view = NodeView(NodeRole.AGENT, ("10.0.0.1",))
    view.apply_reply("10.0.0.1", HelloReply(1, 5, CONTROL, ()), 1.0)
    assert view.list_control_hosts(2.0) == ["10.0.0.1", "10.0.0.2"]


def test_nodes_are_kept_while_control_hosts_are_unreachable():
    view = NodeView(NodeRole.AGENT, ("10.0.0.1",))
    view.apply_reply("10.0.0.1", HelloReply(1, 5, CONTROL, ("10.0.1.1",)), 1.0)
    view.expire(1.0 + NODE_RETENTION_SECONDS - 1)
    assert view.list_nodes() == ["10.0.1.1"]
    view.expire(1.0 + NODE_RETENTION_SECONDS + 1)
    assert view.list_nodes() == []


def test_a_balancer_learns_of_balancers_of_its_own_failure_domain():
    registry = Registry()
    for address, domain in (("10.0.1.1", "a"), ("10.0.1.2", "a"), ("10.0.1.3", "b")):
        registry.handle_hello(
            address, Hello(NodeRole.BALANCER, 0, 0, domain), 7, CONTROL, 1.0
        )
    hello = Hello(NodeRole.BALANCER, 0, 0, "a")
    reply = registry.handle_hello("10.0.1.1", hello, 7, CONTROL, 1.0)
    assert reply.peers == ("10.0.1.2",)
    view = NodeView(NodeRole.BALANCER, ("10.0.0.1",), "a")
    view.apply_reply("10.0.0.1", reply, 1.0)
    view.apply_reply("10.0.0.2", HelloReply(7, 9, CONTROL, (), ()), 1.1)
    assert view.peers == ("10.0.1.2",)


def test_a_control_host_that_has_just_started_is_not_settled():
    # All processes start together. A balancer that took the first list for complete
    # would reset flows of targets that are listed a moment later.
    registry = Registry(now=10.0)
    early = registry.handle_hello(
        "10.0.2.1", Hello(NodeRole.BALANCER, 0, 0), 1, CONTROL, 10.2
    )
    assert not early.is_settled
    late = registry.handle_hello(
        "10.0.2.1", Hello(NodeRole.BALANCER, 0, early.digest), 1, CONTROL, 11.8
    )
    assert late.is_settled


def test_a_control_host_with_saved_nodes_lists_them_at_once():
    # A whole fleet restarts. The control host lists the agents of its previous run in
    # its first reply, so that a balancer knows which agents to wait for, and how long.
    registry = Registry(now=1.0)
    register(registry, "10.0.2.1", NodeRole.AGENT, now=1.0)
    again = Registry(now=5.0, saved=registry.list_nodes_to_save())
    reply = register(again, "10.0.1.1", NodeRole.BALANCER, now=5.1)
    assert reply.nodes == ("10.0.2.1",)
    assert reply.is_settled
    assert again.sweep(5.0 + CONFIRMATION_SECONDS) == ["10.0.2.1"]


def test_a_node_is_listed_while_one_replying_control_host_lists_it():
    view = NodeView(NodeRole.BALANCER, CONTROL)
    view.apply_reply("10.0.0.1", HelloReply(1, 5, CONTROL, ("10.0.2.1",)), 1.0)
    view.apply_reply("10.0.0.2", HelloReply(1, 6, CONTROL, ()), 2.0)
    assert view.list_listed_nodes(2.0, 1.5) == {"10.0.2.1"}
    assert view.list_listed_nodes(3.0, 1.5) == frozenset()


def test_a_node_that_left_is_not_listed():
    # A target and its agent are removed as planned. A balancer that starts a second
    # later would wait for the agent, and delay its replies to callers of ended flows.
    registry = Registry(now=0.0)
    register(registry, "10.0.2.1", NodeRole.AGENT, now=9.0)
    assert registry.remove("10.0.2.1")
    assert not registry.remove("10.0.2.1")
    assert register(registry, "10.0.1.1", NodeRole.BALANCER, now=9.1).nodes == ()
    assert registry.list_nodes_to_save()[0].address == "10.0.1.1"


def test_an_agent_without_a_target_is_not_saved():
    # Its host is about to be removed when all power is lost. It holds no flow: a
    # balancer that starts afterwards must not wait for it.
    registry = Registry(now=0.0)
    register(registry, "10.0.2.1", NodeRole.AGENT, now=9.0)
    gone = Hello(NodeRole.AGENT, 0, 0, "", True)
    registry.handle_hello("10.0.2.1", gone, 7, CONTROL, 9.7)
    assert registry.list_nodes_to_save() == ()
    assert "10.0.2.1" in registry.nodes
