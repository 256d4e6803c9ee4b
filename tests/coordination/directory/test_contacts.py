"""Nodes find each other through control hosts that know only some of them."""

from ibisshunt.coordination.directory.contacts import UNLISTED_SECONDS, Contacts
from ibisshunt.coordination.directory.messages import Hello, NodeRole, Welcome
from ibisshunt.coordination.directory.registry import (
    CONFIRM_SECONDS,
    NODE_SECONDS,
    Registry,
)

CONTROL = ("10.0.0.1", "10.0.0.2")


def introduce(registry, address, role, now, digest=0, version=0, domain=""):
    hello = Hello(role, version, digest, domain)
    return registry.take(address, hello, 7, CONTROL, now)


def test_an_agent_learns_of_balancers_and_a_balancer_of_agents():
    registry = Registry()
    introduce(registry, "10.0.1.1", NodeRole.BALANCER, 1.0)
    introduce(registry, "10.0.2.1", NodeRole.AGENT, 1.0)
    assert introduce(registry, "10.0.2.2", NodeRole.AGENT, 1.0).nodes == ("10.0.1.1",)
    welcome = introduce(registry, "10.0.1.1", NodeRole.BALANCER, 1.0)
    assert welcome.nodes == ("10.0.2.1", "10.0.2.2")
    assert welcome.version == 7


def test_a_balancer_learns_which_agents_are_in_its_failure_domain():
    # New flows go to targets nearby while these are as free as others.
    registry = Registry()
    introduce(registry, "10.0.2.1", NodeRole.AGENT, 1.0, domain="a")
    introduce(registry, "10.0.2.2", NodeRole.AGENT, 1.0, domain="b")
    welcome = introduce(registry, "10.0.1.1", NodeRole.BALANCER, 1.0, domain="b")
    assert welcome.near == ("10.0.2.2",)
    contacts = Contacts(NodeRole.BALANCER, CONTROL, "b")
    contacts.take(CONTROL[0], welcome, 1.0)
    assert contacts.near == {"10.0.2.2"}
    introduce(registry, "10.0.2.1", NodeRole.AGENT, 2.0, domain="b")
    again = introduce(
        registry, "10.0.1.1", NodeRole.BALANCER, 2.0, welcome.digest, domain="b"
    )
    assert again.near == ("10.0.2.1", "10.0.2.2")


def test_a_list_that_is_known_is_not_sent_again():
    registry = Registry()
    introduce(registry, "10.0.1.1", NodeRole.BALANCER, 1.0)
    first = introduce(registry, "10.0.2.1", NodeRole.AGENT, 1.0)
    again = introduce(registry, "10.0.2.1", NodeRole.AGENT, 1.1, first.digest)
    assert first.nodes == ("10.0.1.1",)
    assert again.nodes is None


def test_a_silent_node_is_left_out():
    registry = Registry()
    introduce(registry, "10.0.1.1", NodeRole.BALANCER, 1.0)
    assert registry.sweep(1.0 + NODE_SECONDS) == ["10.0.1.1"]
    welcome = introduce(registry, "10.0.2.1", NodeRole.AGENT, 20.0)
    assert welcome.nodes == ()


def test_nodes_that_are_behind_are_listed():
    registry = Registry()
    introduce(registry, "10.0.1.1", NodeRole.BALANCER, 1.0, version=6)
    introduce(registry, "10.0.1.2", NodeRole.BALANCER, 1.0, version=7)
    assert registry.list_behind(7) == ["10.0.1.1"]


def test_a_control_host_that_has_just_started_takes_nobody_away():
    # A control host restarts and knows no balancer yet; its list is empty. The agent
    # must go on telling its balancers, or they would take its target for lost.
    contacts = Contacts(NodeRole.AGENT, ("10.0.0.1",))
    contacts.take("10.0.0.1", Welcome(1, 5, CONTROL, ("10.0.1.1",)), 1.0)
    contacts.take("10.0.0.1", Welcome(1, 6, CONTROL, ()), 2.0)
    assert contacts.list_nodes() == ["10.0.1.1"]


def test_control_hosts_are_learned_beyond_the_seeds():
    contacts = Contacts(NodeRole.AGENT, ("10.0.0.1",))
    contacts.take("10.0.0.1", Welcome(1, 5, CONTROL, ()), 1.0)
    assert contacts.list_control(2.0) == ["10.0.0.1", "10.0.0.2"]


def test_nodes_stay_known_while_control_is_away_for_long():
    contacts = Contacts(NodeRole.AGENT, ("10.0.0.1",))
    contacts.take("10.0.0.1", Welcome(1, 5, CONTROL, ("10.0.1.1",)), 1.0)
    contacts.sweep(1.0 + UNLISTED_SECONDS - 1)
    assert contacts.list_nodes() == ["10.0.1.1"]
    contacts.sweep(1.0 + UNLISTED_SECONDS + 1)
    assert contacts.list_nodes() == []


def test_a_balancer_learns_of_those_of_its_own_failure_domain():
    registry = Registry()
    for address, domain in (("10.0.1.1", "a"), ("10.0.1.2", "a"), ("10.0.1.3", "b")):
        registry.take(address, Hello(NodeRole.BALANCER, 0, 0, domain), 7, CONTROL, 1.0)
    hello = Hello(NodeRole.BALANCER, 0, 0, "a")
    welcome = registry.take("10.0.1.1", hello, 7, CONTROL, 1.0)
    assert welcome.peers == ("10.0.1.2",)
    contacts = Contacts(NodeRole.BALANCER, ("10.0.0.1",), "a")
    contacts.take("10.0.0.1", welcome, 1.0)
    contacts.take("10.0.0.2", Welcome(7, 9, CONTROL, (), ()), 1.1)
    assert contacts.peers == ("10.0.1.2",)


def test_a_control_host_that_has_just_started_does_not_call_its_list_whole():
    # All processes start together. A balancer that took the first list for the whole
    # would answer "nobody" for targets that are named a moment later.
    registry = Registry(now=10.0)
    early = registry.take("10.0.2.1", Hello(NodeRole.BALANCER, 0, 0), 1, CONTROL, 10.2)
    assert not early.settled
    late = registry.take(
        "10.0.2.1", Hello(NodeRole.BALANCER, 0, early.digest), 1, CONTROL, 11.8
    )
    assert late.settled


def test_a_control_host_that_knew_its_nodes_names_them_at_once():
    # A whole fleet restarts. The control host names the agents of its former run in
    # its first answer, so that a balancer knows whom to wait for, and for how long.
    registry = Registry(now=1.0)
    introduce(registry, "10.0.2.1", NodeRole.AGENT, now=1.0)
    again = Registry(now=5.0, known=registry.list_known())
    welcome = introduce(again, "10.0.1.1", NodeRole.BALANCER, now=5.1)
    assert welcome.nodes == ("10.0.2.1",)
    assert welcome.settled
    assert again.sweep(5.0 + CONFIRM_SECONDS) == ["10.0.2.1"]


def test_a_node_is_named_while_one_control_host_that_answers_names_it():
    contacts = Contacts(NodeRole.BALANCER, CONTROL)
    contacts.take("10.0.0.1", Welcome(1, 5, CONTROL, ("10.0.2.1",)), 1.0)
    contacts.take("10.0.0.2", Welcome(1, 6, CONTROL, ()), 2.0)
    assert contacts.list_named(2.0, 1.5) == {"10.0.2.1"}
    assert contacts.list_named(3.0, 1.5) == frozenset()


def test_a_node_that_leaves_is_named_no_more():
    # A target and its agent are taken away as planned. A balancer that starts a second
    # later would wait for the agent, and answer callers of ended flows only then.
    registry = Registry(now=0.0)
    introduce(registry, "10.0.2.1", NodeRole.AGENT, now=9.0)
    assert registry.remove("10.0.2.1")
    assert not registry.remove("10.0.2.1")
    assert introduce(registry, "10.0.1.1", NodeRole.BALANCER, now=9.1).nodes == ()
    assert registry.list_known()[0].address == "10.0.1.1"


def test_an_agent_without_a_target_is_not_kept_for_the_next_run():
    # Its host is about to be taken away when all power is lost. It holds no flow: a
    # balancer that starts afterwards has nothing to wait for.
    registry = Registry(now=0.0)
    introduce(registry, "10.0.2.1", NodeRole.AGENT, now=9.0)
    gone = Hello(NodeRole.AGENT, 0, 0, "", True)
    registry.take("10.0.2.1", gone, 7, CONTROL, 9.7)
    assert registry.list_known() == ()
    assert "10.0.2.1" in registry.nodes
