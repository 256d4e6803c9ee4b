"""What an agent counts as load, and which balancer it tells of a free slot."""

from msgspec.structs import replace

from ibisshunt.coordination.forwarding.messages import (
    Answer,
    Deliver,
    FlowQuery,
    Probe,
    RejectReason,
)
from ibisshunt.coordination.forwarding.placement.slot_waiters import MAX_WAIT_SECONDS
from ibisshunt.coordination.forwarding.routes import compute_service_tag
from ibisshunt.coordination.forwarding.segment import Segment
from tests.forwarding_world import (
    SERVICE,
    World,
    data_segment,
    make_key,
    make_route_table,
    syn_segment,
)

FIRST, SECOND = "10.0.1.0", "10.0.1.1"
TAG = compute_service_tag(SERVICE)


def make_agent():
    """Return the agent of an idle target with one slot, and the time."""
    world = World(targets=1)
    (agent,) = world.agents.values()
    return agent, world.now


def send_syn(agent, balancer, port, max_requests, now):
    """Send a SYN; return why it was rejected, None when it was delivered."""
    segment = syn_segment(make_key(port))
    action = agent.handle_packet(
        balancer, Deliver(TAG, b"", max_requests), segment, now
    )
    return getattr(getattr(action, "message", None), "reason", None)


def send_request(agent, port, now):
    agent.request_tracker.record_caller_segment(data_segment(make_key(port), 1), now)


def send_answer(agent, port, now):
    data = b"HTTP/1.1 200 OK\r\n\r\n"
    agent.handle_target_packet(
        Segment(make_key(port), b"", data, 5, 100, is_ack=True), now
    )


def test_rejected_balancers_are_told_of_free_slots_in_turn():
    # Two balancers have pending SYNs, and every slot is taken. Statuses go to all
    # balancers every 0.1 s, in which ten requests could run: for each request that ends
    # the agent tells one balancer, the one that has waited longest first.
    agent, now = make_agent()
    send_request(agent, 1, now)
    send_request(agent, 2, now)
    assert send_syn(agent, FIRST, 11, 1, now) == RejectReason.FULL
    assert send_syn(agent, SECOND, 12, 1, now) == RejectReason.FULL
    assert agent.pop_waiting_balancer(now) is None
    send_answer(agent, 1, now + 0.01)
    assert agent.pop_waiting_balancer(now + 0.01) == FIRST
    assert agent.pop_waiting_balancer(now + 0.01) is None
    assert send_syn(agent, FIRST, 11, 1, now + 0.02) is None
    send_answer(agent, 2, now + 0.03)
    assert agent.pop_waiting_balancer(now + 0.06) == SECOND


def test_a_balancer_that_waited_too_long_is_not_told():
    agent, now = make_agent()
    send_request(agent, 1, now)
    send_request(agent, 2, now)
    send_syn(agent, FIRST, 11, 1, now)
    send_answer(agent, 1, now + MAX_WAIT_SECONDS)
    assert agent.pop_waiting_balancer(now + MAX_WAIT_SECONDS) is None


def test_a_late_flow_is_admitted_while_at_most_one_request_waits():
    agent, now = make_agent()
    send_request(agent, 1, now)
    assert send_syn(agent, FIRST, 11, 1, now) is None
    assert send_syn(agent, FIRST, 12, 1, now) == RejectReason.FULL


def test_probes_do_not_count_as_requests():
    # After a power loss each of a hundred ended flows is probed at every target. If
    # these probes counted as requests, every target would look full to new flows.
    agent, now = make_agent()
    agent.flow_table.complete_at = now + 60
    for port in range(40):
        agent.handle_probe(FIRST, Probe(TAG, b""), data_segment(make_key(port), 1), now)
    assert agent.count_load(now) == 0


def test_data_after_a_fin_does_not_count_as_a_request():
    # A caller gives up during the handshake: it sends a FIN, and then the request that
    # it had queued. The target drops the request and does not answer.
    agent, now = make_agent()
    agent.update_routes(make_route_table())
    assert send_syn(agent, FIRST, 1, 9, now) is None
    end = replace(data_segment(make_key(1), 1, 1017, b""), is_fin=True)
    agent.handle_packet(FIRST, Deliver(TAG, b""), end, now)
    agent.handle_packet(FIRST, Deliver(TAG, b""), data_segment(make_key(1), 1), now)
    assert agent.request_tracker.active_count == 0


def test_an_agent_answers_held_once_its_target_has_sent_in_a_flow():
    # The agent started after the flow opened. It answered MAYBE, and the flow was found
    # by a probe; what the target sent then is proof for the next query.
    agent, now = make_agent()
    agent.flow_table.complete_at = now + 60
    query = FlowQuery(make_key(1), 5)
    assert agent.answer_query(query, now).answer == Answer.MAYBE
    send_answer(agent, 1, now)
    assert agent.answer_query(query, now).answer == Answer.HELD


def test_resets_of_a_target_count_as_failures():
    # A target that looks healthy resets each flow instead of answering the request. Its
    # agent must count these resets, or the idle target attracts every new flow.
    agent, now = make_agent()
    for port in range(1, 6):
        send_request(agent, port, now)
        agent.handle_target_packet(
            Segment(make_key(port), b"", b"", 5, 100, is_rst=True), now + 0.01
        )
    assert agent.make_status(now + 0.02).failure_percent > 30
    assert agent.request_tracker.active_count == 0
