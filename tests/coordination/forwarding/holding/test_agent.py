"""What an agent counts, and whom it tells of a free slot."""

from msgspec.structs import replace

from ibisshunt.coordination.forwarding.messages import (
    Answer,
    Ask,
    Deliver,
    Probe,
    Reason,
)
from ibisshunt.coordination.forwarding.placing.waiting import WAITING_SECONDS
from ibisshunt.coordination.forwarding.routes import make_tag
from ibisshunt.coordination.forwarding.segment import Segment
from tests.forwarding_world import (
    SERVICE,
    World,
    data_segment,
    make_key,
    make_table,
    open_segment,
)

FIRST, SECOND = "10.0.1.0", "10.0.1.1"
TAG = make_tag(SERVICE)


def make_agent():
    """Return the agent of an idle target with one slot, and the time."""
    world = World(targets=1)
    (agent,) = world.agents.values()
    return agent, world.now


def offer(agent, balancer, port, limit, now):
    """Offer a new flow; return why it was sent back, None when it was taken."""
    segment = open_segment(make_key(port))
    answer = agent.take(balancer, Deliver(TAG, b"", limit), segment, now)
    return getattr(getattr(answer, "message", None), "reason", None)


def ask(agent, port, now):
    agent.requests.note_inward(data_segment(make_key(port), 1), now)


def answer(agent, port, now):
    data = b"HTTP/1.1 200 OK\r\n\r\n"
    agent.take_outward(
        Segment(make_key(port), b"", data, 5, 100, acknowledges=True), now
    )


def test_the_balancers_that_were_sent_back_hear_of_a_free_slot_in_turn():
    # Two balancers hold late flows, and every slot is taken. A status goes to all each
    # 0.1 s, in which ten requests could run: the agent tells one balancer for each
    # request that ends, the one that has waited longest first.
    agent, now = make_agent()
    ask(agent, 1, now)
    ask(agent, 2, now)
    assert offer(agent, FIRST, 11, 1, now) == Reason.FULL
    assert offer(agent, SECOND, 12, 1, now) == Reason.FULL
    assert agent.take_waiting(now) is None
    answer(agent, 1, now + 0.01)
    assert agent.take_waiting(now + 0.01) == FIRST
    assert agent.take_waiting(now + 0.01) is None
    assert offer(agent, FIRST, 11, 1, now + 0.02) is None
    answer(agent, 2, now + 0.03)
    assert agent.take_waiting(now + 0.06) == SECOND


def test_a_balancer_that_waited_too_long_is_not_told():
    agent, now = make_agent()
    ask(agent, 1, now)
    ask(agent, 2, now)
    offer(agent, FIRST, 11, 1, now)
    answer(agent, 1, now + WAITING_SECONDS)
    assert agent.take_waiting(now + WAITING_SECONDS) is None


def test_a_late_flow_is_taken_while_at_most_one_request_waits():
    agent, now = make_agent()
    ask(agent, 1, now)
    assert offer(agent, FIRST, 11, 1, now) is None
    assert offer(agent, FIRST, 12, 1, now) == Reason.FULL


def test_probes_are_no_requests():
    # After a power loss each of a hundred dead flows is probed at each target. Counted
    # as requests they would make every target look full for the new flows.
    agent, now = make_agent()
    agent.held.knows_all_at = now + 60
    for port in range(40):
        agent.take_probe(FIRST, Probe(TAG, b""), data_segment(make_key(port), 1), now)
    assert agent.count_load(now) == 0


def test_data_behind_the_end_of_a_flow_is_no_request():
    # A caller gives up while its flow opens: it ends the flow, and the request that it
    # had ready comes behind the end. The target drops it and answers nothing.
    agent, now = make_agent()
    agent.take_routes(make_table())
    assert offer(agent, FIRST, 1, 9, now) is None
    end = replace(data_segment(make_key(1), 1, 1017, b""), finishes=True)
    agent.take(FIRST, Deliver(TAG, b""), end, now)
    agent.take(FIRST, Deliver(TAG, b""), data_segment(make_key(1), 1), now)
    assert agent.requests.active == 0


def test_an_agent_says_yes_once_its_target_has_sent_anything_in_a_flow():
    # The agent started after the flow. It answered maybe, and the flow was found by a
    # probe; what the target then sent is proof for the next balancer that asks.
    agent, now = make_agent()
    agent.held.knows_all_at = now + 60
    question = Ask(make_key(1), 5)
    assert agent.tell(question, now).answer == Answer.MAYBE
    answer(agent, 1, now)
    assert agent.tell(question, now).answer == Answer.HELD


def test_a_target_that_resets_its_callers_is_seen_to_fail():
    # A target whose health is good resets each flow instead of answering the request.
    # Its agent must count these, or the idle target draws every new flow.
    agent, now = make_agent()
    for port in range(1, 6):
        ask(agent, port, now)
        agent.take_outward(
            Segment(make_key(port), b"", b"", 5, 100, resets=True), now + 0.01
        )
    assert agent.report(now + 0.02).failing > 30
    assert agent.requests.active == 0
