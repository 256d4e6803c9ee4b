"""The log tells why an open flow was reset: who denied it, and on what grounds."""

from msgspec.structs import replace

from ibisshunt.components.directory.message_counts import MessageCounts
from ibisshunt.components.forwarding.balancer_samples import list_balancer_samples
from ibisshunt.coordination.forwarding.holding.denials import (
    MAX_FORGOTTEN,
    Denial,
    Denials,
)
from ibisshunt.coordination.forwarding.holding.held import HeldFlow
from ibisshunt.coordination.forwarding.messages import Ask, Ping
from ibisshunt.helpers.decisions import DecisionLog
from ibisshunt.helpers.metrics import Metrics
from ibisshunt.helpers.samples import LatencyHistogram
from tests.forwarding_world import HEARTBEAT, World, data_segment, make_key

FIRST, SECOND = "10.0.1.0", "10.0.1.1"
BORN = 1_700_000_000_000


def listen(node):
    """Return the events that a balancer or an agent logs from now on."""
    told = []

    def tell_event(event, **fields):
        told.append((event, fields))

    if hasattr(node, "state") and hasattr(node.state, "tell_event"):
        node.state.tell_event = tell_event
    else:
        node._tell_event = tell_event
    return told


def find(told, event):
    return [fields for name, fields in told if name == event]


def open_used(world):
    address, number = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), number))
    return address, number


def test_a_reset_after_a_returned_packet_names_who_sent_it_back():
    world = World(targets=3)
    address, number = open_used(world)
    told = listen(world.balancers[FIRST])
    world.targets[address].flows.clear()
    world.send(FIRST, data_segment(make_key(), number, 1017))
    world.wait(0.2)
    (fields,) = find(told, "flow_reset")
    assert fields["flow"] == make_key().hex()
    assert fields["reason"] == "held_by_nobody"
    assert fields["trigger"] == "returned"
    assert fields["believed"] == address
    assert fields["answer"] == "NOT_HELD"
    assert fields["asked"] == 2


def test_a_reset_of_an_idle_flow_names_the_target_that_has_ended():
    world = World(targets=2)
    address, _ = open_used(world)
    told = listen(world.balancers[FIRST])
    world.targets[address].flows.clear()
    agent = world.agents[address]
    world.wait(2 * HEARTBEAT)
    agent.announce(replace(agent.present, name="i-next", number=1), world.now)
    world.tell_all()
    world.wait(0.3)
    (fields,) = find(told, "flow_reset")
    assert (fields["trigger"], fields["believed"]) == ("ended", address)
    assert fields["answer"] == "NOT_HELD"


def test_an_agent_tells_why_it_denies_a_flow_that_was_open():
    world = World(targets=1)
    address, number = open_used(world)
    agent = world.agents[address]
    told = listen(agent)
    agent.tell(Ask(make_key(), number + 500_000), world.now)
    world.wait(2 * HEARTBEAT)
    agent.announce(replace(agent.present, name="i-next", number=1), world.now)
    agent.tell(Ask(make_key(), number), world.now)
    agent.tell(Ask(make_key(40_777), number), world.now)
    denied = find(told, "open_flow_denied")
    assert [fields["reason"] for fields in denied] == ["other_numbers", "replaced"]
    assert denied[0]["acknowledged"] == number + 500_000
    assert denied[0]["first"] == number - 1


def test_flows_that_have_ended_are_denied_without_a_line():
    world = World(targets=1)
    address, number = open_used(world)
    agent = world.agents[address]
    told = listen(agent)
    over = replace(data_segment(make_key(), number, 1017, b""), finishes=True)
    world.send(FIRST, over)
    agent.leave(agent.present.name)
    agent.tell(Ask(make_key(), number), world.now)
    assert not find(told, "open_flow_denied")


def test_the_newest_forgotten_flows_are_remembered():
    denials = Denials()
    flow = HeldFlow(1, 0.0, is_proved=True)
    keys = [make_key(port) for port in range(MAX_FORGOTTEN + 1)]
    for key in keys:
        denials.note_forgotten(key, flow, Denial.BOUNCED)
    assert denials.describe(keys[0], None, 1) is None
    assert denials.describe(keys[1], None, 1)["reason"] == "bounced"


def test_what_a_balancer_decided_stands_before_its_traffic_on_the_metrics_page():
    # A collector that cuts the page loses the counters of messages, not of decisions.
    world = World()
    counts = MessageCounts("sent")
    counts.add(Ping, 1, 10)
    metrics = Metrics()
    balancer, log = world.balancers[FIRST], DecisionLog()
    held = LatencyHistogram("ibisshunt_held_opening_seconds")
    metrics.collect(lambda: list_balancer_samples(balancer, log, held))
    metrics.collect(counts.list_samples)
    page = metrics.render()[0].decode()
    assert "ibisshunt_searches_total" in page.partition("ibisshunt_wire_")[0]
    assert "ibisshunt_wire_messages_total" in page
