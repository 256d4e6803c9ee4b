import http.client
import time

import gevent
import pytest
from gevent.server import StreamServer

from ibisshunt.model.address import Address
from ibisshunt.model.record import RequestPolicy
from tests.components.requests.request_service import (
    Agent,
    RequestService,
    connect,
    open_raw,
    send,
    wait_for,
)

POST = b"POST /swap HTTP/1.1\r\nHost: b\r\nContent-Length: 4\r\n%s\r\nswap"


@pytest.fixture
def service():
    made = RequestService(size=3)
    made.wait_open()
    yield made
    made.close()


def outcome(reply):
    return reply[0], reply[1]["Ibisshunt-Outcome"]


def test_a_request_gets_the_answer_of_the_target_with_its_outcome(service):
    reply = send(service.agents[0], body=b"swap 1", X_Roster="r7")
    assert outcome(reply) == (200, "done")
    assert reply[2] == b"answer to swap 1"
    seen = service.agents[0].target.seen[0]
    assert seen["HTTP_X_ROSTER"] == "r7"
    assert float(seen["HTTP_IBISSHUNT_DEADLINE"]) > 0


def test_a_resend_through_another_agent_gets_the_same_answer_and_no_second_run(
    service,
):
    # Hazard 19: the answer is lost on its way, the caller resends through another
    # balancer to another agent.
    first = send(service.agents[0], body=b"swap", Idempotency_Key="k1")
    second = send(service.agents[1], body=b"swap", Idempotency_Key="k1")
    assert outcome(first) == outcome(second) == (200, "done")
    assert first[2] == second[2]
    assert second[1]["Ibisshunt-Replayed"] == "1"
    assert sum(len(one.target.runs) for one in service.agents) == 1


def test_a_resend_waits_for_the_first_that_is_still_running(service):
    # Hazard 19: the first attempt is in the target while the caller resends.
    target = service.agents[0].target
    target.gate.clear()
    first = gevent.spawn(send, service.agents[0], body=b"s", Idempotency_Key="k")
    wait_for(lambda: target.runs)
    second = gevent.spawn(send, service.agents[1], body=b"s", Idempotency_Key="k")
    gevent.sleep(0.1)
    assert not second.dead
    target.gate.set()
    assert first.get()[2] == second.get()[2] == b"answer to s"
    assert sum(len(one.target.runs) for one in service.agents) == 1


def test_a_caller_that_leaves_while_its_keyed_request_runs_can_come_back(service):
    # Hazard 21: the caller cuts the connection during the run and sends again.
    agent = service.agents[0]
    agent.target.gate.clear()
    raw = open_raw(agent, POST % b"Idempotency-Key: k\r\n")
    wait_for(lambda: agent.target.runs)
    raw.close()
    gevent.sleep(0.05)
    agent.target.gate.set()
    reply = send(service.agents[2], body=b"swap", Idempotency_Key="k")
    assert outcome(reply) == (200, "done")
    assert sum(len(one.target.runs) for one in service.agents) == 1


def test_a_key_of_another_request_is_refused(service):
    send(service.agents[0], body=b"one", Idempotency_Key="k")
    reply = send(service.agents[1], body=b"two", Idempotency_Key="k")
    assert outcome(reply) == (422, "not-run")


def test_a_caller_that_leaves_the_queue_never_reaches_the_target(service):
    # Hazard 21: the caller leaves just before its start; the slot goes to the next.
    for one in service.agents:
        one.target.gate.clear()
    agent = service.agents[0]
    running = [
        gevent.spawn(send, one, body=b"long") for one in service.agents for _ in "1"
    ]
    wait_for(lambda: all(one.target.runs for one in service.agents))
    raw = open_raw(agent, POST % b"")
    admission = [one.requests.dispatcher.admission for one in service.agents]
    wait_for(lambda: sum(one.queued for one in admission) == 1)
    raw.close()
    wait_for(lambda: sum(one.queued for one in admission) == 0)
    for one in service.agents:
        one.target.gate.set()
    gevent.joinall(running)
    assert not any(b"swap" in one.target.runs for one in service.agents)


def test_a_caller_that_leaves_during_the_run_frees_the_slot(service):
    # Hazard 21: nobody waits for the answer and no key can bring it back, so the
    # connection to the target is closed: that is how a target is told to cancel.
    agent = service.agents[0]
    agent.target.gate.clear()
    raw = open_raw(agent, POST % b"")
    wait_for(lambda: agent.target.runs)
    raw.close()
    wait_for(lambda: not agent.requests.dispatcher.admission.running)
    assert agent.requests.dispatcher.busy == 0


def test_a_deadline_in_the_target_is_told_unknown_and_cancels_it(service):
    # Hazard 21: the deadline passes during the run; nobody knows what the target did.
    agent = service.agents[0]
    agent.target.gate.clear()
    reply = send(agent, body=b"swap", Request_Timeout="0.3")
    assert outcome(reply) == (504, "unknown")
    assert agent.requests.dispatcher.admission.running == {}


def test_a_deadline_that_can_not_be_met_is_refused_at_once(service):
    reply = send(service.agents[0], body=b"swap", Request_Timeout="0.01")
    assert outcome(reply) == (503, "not-run")
    assert reply[1]["Retry-After"] == "1"
    assert not service.agents[0].target.runs


def test_a_partial_answer_of_the_target_never_passes_for_a_whole_one(service):
    # Hazard 22: the target dies in the middle of its answer.
    agent = service.agents[0]
    agent.target.mode = "short"
    with connect(agent) as connection:
        connection.request("POST", "/swap", b"x")
        with pytest.raises((http.client.IncompleteRead, ConnectionError)):
            connection.getresponse().read()
    reply = send(agent, body=b"x", Idempotency_Key="k")
    assert outcome(reply) == (504, "unknown")
    agent.target.mode = "whole"
    again = send(service.agents[1], body=b"x", Idempotency_Key="k")
    assert outcome(again) == (504, "unknown")
    assert agent.target.runs == [b"x", b"x"]


def test_a_late_answer_does_not_reach_the_next_request(service):
    # Hazard 22: the first request passes its deadline, its answer comes while the
    # next request of the same caller connection is waiting for its own.
    agent = service.agents[0]
    agent.target.seconds = 0.4
    with connect(agent) as connection:
        connection.request("POST", "/a", b"first", {"Request-Timeout": "0.3"})
        assert connection.getresponse().read().startswith(b"unknown")
        connection.request("POST", "/a", b"second")
        assert connection.getresponse().read() == b"answer to second"


def test_another_agent_runs_what_a_target_can_not_take(service):
    # Hazard 24: the target refuses connections, its agent has retries to spend and
    # knows the others: the swap runs once, elsewhere.
    agent = service.agents[0]
    for _ in range(12):
        send(agent, "GET")
    wait_for(lambda: agent.requests.dispatcher.sharing.list_heard())
    agent.target.server.close()
    assert outcome(send(agent, body=b"swap")) == (200, "done")
    assert sum(one.target.runs.count(b"swap") for one in service.agents) == 1


def test_a_leaving_agent_hands_on_what_still_arrives(service):
    # Hazard 23: the target leaves while callers still hold connections to its agent.
    agent = service.agents[0]
    wait_for(lambda: agent.requests.dispatcher.sharing.list_heard())
    agent.announcement.leaving = True
    wait_for(lambda: not agent.requests.is_ready())
    assert outcome(send(agent, body=b"swap")) == (200, "done")
    assert agent.target.runs == []


def test_a_target_that_is_not_there_is_told_not_run(service):
    # Hazard 24: the target refuses connections and there are no retries to spend. No
    # byte has reached it.
    agent = service.agents[0]
    agent.target.server.close()
    reply = send(agent, body=b"swap")
    assert outcome(reply) == (503, "not-run")


@pytest.mark.parametrize(("method", "runs"), [("POST", 0), ("GET", 1)])
def test_a_request_without_a_key_is_sent_once_unless_it_is_idempotent(
    service, method, runs
):
    # The target closes the connection after it has read the request: nobody knows
    # whether it ran. A swap may not be tried elsewhere, a look at the roster may.
    agent = service.agents[0]
    for _ in range(12):
        send(agent, "GET")
    dropped = StreamServer(("127.0.0.1", 0), lambda connection, _: connection.recv(9))
    dropped.start()
    wait_for(lambda: agent.requests.dispatcher.sharing.list_heard())
    agent.requests.dispatcher._client.address = Address(
        "127.0.0.1", dropped.server_port
    )
    before = sum(len(one.target.runs) for one in service.agents)
    reply = send(agent, method, "/x")
    assert reply[1]["Ibisshunt-Outcome"] == ("done" if runs else "unknown")
    assert sum(len(one.target.runs) for one in service.agents) - before == runs
    dropped.stop()


def test_a_changed_record_is_followed(service):
    service.slots = 2
    service.policy = RequestPolicy(queue_limit=3, timeout_ms=700, retry_share=0.5)
    service.publish()
    for agent in service.agents:
        dispatcher = agent.requests.dispatcher
        assert (dispatcher.admission.slots, dispatcher.admission.queue_limit) == (2, 3)
        assert dispatcher.budget.share == 0.5
        assert agent.requests.front.policy.timeout_ms == 700


def test_a_feed_that_waits_stays_with_its_agent(service):
    # Idle agents pull what waits, but a feed would tie up two agents for its life.
    agent = service.agents[0]
    agent.target.gate.clear()
    first = gevent.spawn(send, agent, "GET", "/long", Accept="text/event-stream")
    wait_for(lambda: agent.target.runs)
    second = gevent.spawn(send, agent, "GET", "/feed", Accept="text/event-stream")
    heard = [one.requests.dispatcher.sharing.find_longest for one in service.agents[1:]]
    wait_for(lambda: any(find(time.monotonic()) is not None for find in heard))
    gevent.sleep(0.1)
    assert agent.requests.dispatcher.admission.queued == 1
    agent.target.gate.set()
    assert [first.get()[0], second.get()[0]] == [200, 200]
    assert len(agent.target.runs) == 2


def test_feeds_do_not_eat_slots(service):
    agent = service.agents[0]
    agent.target.mode = "feed"
    feeds = []
    for _ in range(3):
        raw = open_raw(agent, b"GET /feed HTTP/1.1\r\nHost: b\r\n\r\n")
        assert b"text/event-stream" in raw.recv(4096)
        feeds.append(raw)
    agent.target.mode = "whole"
    assert send(agent, body=b"swap")[2] == b"answer to swap"
    assert agent.requests.dispatcher.feeds == 3
    for raw in feeds:
        raw.close()
    wait_for(lambda: agent.requests.dispatcher.feeds == 0)


def test_requests_move_to_idle_agents_and_slots_are_never_exceeded(service):
    # All connections are at one agent: the others pull what has not started.
    for one in service.agents:
        one.target.seconds = 0.03
    tasks = [gevent.spawn(send, service.agents[0], body=b"%d" % n) for n in range(24)]
    replies = [task.get() for task in tasks]
    assert [reply[2] for reply in replies] == [b"answer to %d" % n for n in range(24)]
    runs = [len(one.target.runs) for one in service.agents]
    assert sum(runs) == 24
    assert min(runs) >= 3
    assert {one.target.most_running for one in service.agents} == {1}


def test_a_planned_stop_finishes_what_runs_and_refuses_the_rest(service):
    # Hazard 23: the agent is stopped with one request running and one queued.
    agent = service.agents[0]
    for one in service.agents:
        one.target.gate.clear()
    running = [gevent.spawn(send, one, body=b"long") for one in service.agents]
    wait_for(lambda: all(one.target.runs for one in service.agents))
    queued = gevent.spawn(send, agent, body=b"queued")
    wait_for(
        lambda: any(one.requests.dispatcher.admission.queued for one in service.agents)
    )
    assert agent.requests.is_ready()
    stopping = gevent.spawn(agent.kernel.stop)
    wait_for(lambda: not agent.requests.is_ready())
    gevent.sleep(0.05)
    for one in service.agents:
        one.target.gate.set()
    assert [outcome(task.get()) for task in running] == [(200, "done")] * 3
    assert outcome(queued.get()) in [(200, "done"), (503, "not-run")]
    stopping.get()
    ran = sum(one.target.runs.count(b"queued") for one in service.agents)
    assert ran == (outcome(queued.get())[0] == 200)


def test_a_holder_that_dies_leaves_the_answer_with_the_other(service):
    # Hazard 20 over real sockets: any one of the three agents is killed and removed.
    replies = {
        f"k{n}": send(service.agents[n % 3], body=b"%d" % n, Idempotency_Key=f"k{n}")
        for n in range(9)
    }
    dead = service.agents[1]
    dead.kill()
    service.remove(dead)
    service.wait_open()
    for n in range(9):
        again = send(service.agents[n % 2], body=b"%d" % n, Idempotency_Key=f"k{n}")
        assert again[2] == replies[f"k{n}"][2]
    runs = [len(one.target.runs) for one in [*service.agents, dead]]
    assert sum(runs) == 9


def test_agents_that_restart_beside_living_targets_never_say_never_seen(service):
    # Hazard 20: two of three agents restart at once with empty ledgers. Their targets
    # live on, so control leaves them their incarnations. A resend gets its answer from
    # the third agent, or "unknown" when both holders of its key were lost.
    for n in range(12):
        send(service.agents[n % 3], body=b"%d" % n, Idempotency_Key=f"k{n}")
    for place in (0, 1):
        old = service.agents[place]
        old.kill()
        service.agents[place] = Agent(old.name, old.domain, old.incarnation, old.target)
    service.left_revision = service.revision + 1
    service.publish()
    service.wait_open()
    told = []
    for n in range(12):
        again = send(service.agents[n % 3], body=b"%d" % n, Idempotency_Key=f"k{n}")
        told.append(outcome(again))
        assert again[0] != 200 or again[2] == b"answer to %d" % n
    assert set(told) == {(200, "done"), (504, "unknown")}
    assert sum(len(one.target.runs) for one in service.agents) == 12
    fresh = [
        outcome(send(service.agents[0], body=b"n", Idempotency_Key=f"new{n}"))
        for n in range(12)
    ]
    assert (200, "done") in fresh


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        ({"Idempotency-Key": "k" * 256}, 400),
        ({"Content-Length": "2000000"}, 413),
    ],
)
def test_bad_input_is_refused_with_a_reason(service, headers, status):
    size = int(headers.get("Content-Length", 1))
    with connect(service.agents[0]) as connection:
        connection.request("POST", "/x", b"x" * size, headers)
        response = connection.getresponse()
        assert response.status == status
        assert response.headers["Ibisshunt-Outcome"] == "not-run"
