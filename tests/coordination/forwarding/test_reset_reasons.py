"""The log tells why an open flow was reset: which agent denied it, and why."""

from msgspec.structs import replace

from ibisshunt.components.directory.message_counts import MessageCounts
from ibisshunt.components.forwarding.balancer_samples import list_balancer_samples
from ibisshunt.coordination.forwarding.messages import FlowQuery, Ping
from ibisshunt.coordination.forwarding.target_tracking.denials import (
    MAX_DROPPED_FLOWS,
    DenialLog,
    DenialReason,
)
from ibisshunt.coordination.forwarding.target_tracking.tracked_flow import TrackedFlow
from ibisshunt.helpers.decisions import DecisionLog
from ibisshunt.helpers.metrics import Metrics
from ibisshunt.helpers.samples import LatencyHistogram
from tests.forwarding_world import HEARTBEAT, World, data_segment, make_key

FIRST, SECOND = "10.0.1.0", "10.0.1.1"
START_MS = 1_700_000_000_000


def collect_events(node):
    """Return a list that gets the events which a balancer or an agent logs."""
    events = []

    def log_event(event, **fields):
        events.append((event, fields))

    if hasattr(node, "state") and hasattr(node.state, "log_event"):
        node.state.log_event = log_event
    else:
        node._log_event = log_event
    return events


def select(events, event):
    return [fields for name, fields in events if name == event]


def open_and_use(world):
    address, ack = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), ack))
    return address, ack


def test_a_reset_after_a_rejected_packet_names_the_agent_that_rejected_it():
    world = World(targets=3)
    address, ack = open_and_use(world)
    events = collect_events(world.balancers[FIRST])
    world.targets[address].flows.clear()
    world.send(FIRST, data_segment(make_key(), ack, 1017))
    world.wait(0.2)
    (fields,) = select(events, "flow_reset")
    assert fields["flow"] == make_key().hex()
    assert fields["reason"] == "held_by_nobody"
    assert fields["trigger"] == "returned"
    assert fields["believed"] == address
    assert fields["answer"] == "NOT_HELD"
    assert fields["asked"] == 2


def test_a_reset_of_an_idle_flow_names_the_target_that_has_ended():
    world = World(targets=2)
    address, _ = open_and_use(world)
    events = collect_events(world.balancers[FIRST])
    world.targets[address].flows.clear()
    world.wait(2 * HEARTBEAT)
    world.replace_target(address, "i-next")
    world.send_statuses()
    world.wait(0.3)
    (fields,) = select(events, "flow_reset")
    assert (fields["trigger"], fields["believed"]) == ("ended", address)
    assert fields["answer"] == "NOT_HELD"


def test_an_agent_logs_why_it_denies_a_flow_that_was_open():
    world = World(targets=1)
    address, ack = open_and_use(world)
    agent = world.agents[address]
    events = collect_events(agent)
    agent.answer_query(FlowQuery(make_key(), ack + 500_000), world.now)
    world.wait(2 * HEARTBEAT)
    world.replace_target(address, "i-next")
    agent.answer_query(FlowQuery(make_key(), ack), world.now)
    agent.answer_query(FlowQuery(make_key(40_777), ack), world.now)
    denied = select(events, "open_flow_denied")
    assert [fields["reason"] for fields in denied] == ["other_numbers", "replaced"]
    assert denied[0]["acknowledged"] == ack + 500_000
    assert denied[0]["first"] == ack - 1


def test_the_denial_of_a_closed_flow_is_not_logged():
    world = World(targets=1)
    address, ack = open_and_use(world)
    agent = world.agents[address]
    events = collect_events(agent)
    over = replace(data_segment(make_key(), ack, 1017, b""), is_fin=True)
    world.send(FIRST, over)
    agent.handle_leave(agent.current_heartbeat.name)
    agent.answer_query(FlowQuery(make_key(), ack), world.now)
    assert not select(events, "open_flow_denied")


def test_the_denial_log_keeps_the_latest_dropped_flows():
    log = DenialLog()
    flow = TrackedFlow(1, 0.0, is_confirmed=True)
    keys = [make_key(port) for port in range(MAX_DROPPED_FLOWS + 1)]
    for key in keys:
        log.record_dropped(key, flow, DenialReason.BOUNCED)
    assert log.describe(keys[0], None, 1) is None
    assert log.describe(keys[1], None, 1)["reason"] == "bounced"


def test_decision_metrics_come_before_traffic_metrics_on_the_page():
    # A collector that truncates the page must lose the counters of messages, and not
    # those of decisions.
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
