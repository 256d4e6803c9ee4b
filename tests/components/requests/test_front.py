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
    made.wait_until_open()
    yield made
    made.close()


def outcome(reply):
    return reply[0], reply[1]["Ibisshunt-Outcome"]


def test_a_request_gets_the_response_of_the_target_with_its_outcome(service):
    reply = send(service.agents[0], body=b"swap 1", X_Roster="r7")
    assert outcome(reply) == (200, "done")
    assert reply[2] == b"answer to swap 1"
    environ = service.agents[0].target.environs[0]
    assert environ["HTTP_X_ROSTER"] == "r7"
    assert float(environ["HTTP_IBISSHUNT_DEADLINE"]) > 0


def test_a_retry_through_another_agent_gets_the_same_response_and_no_second_run(
    service,
):
    # Hazard 19: the response is lost on its way, and the caller retries through another
    # balancer at another agent.
    first = send(service.agents[0], body=b"swap", Idempotency_Key="k1")
    second = send(service.agents[1], body=b"swap", Idempotency_Key="k1")
    assert outcome(first) == outcome(second) == (200, "done")
    assert first[2] == second[2]
    assert second[1]["Ibisshunt-Replayed"] == "1"
    assert sum(len(member.target.run_bodies) for member in service.agents) == 1


def test_a_retry_waits_for_the_first_attempt_that_is_still_running(service):
    # Hazard 19: the first attempt is running in the target while the caller retries.
    target = service.agents[0].target
    target.gate.clear()
    first = gevent.spawn(send, service.agents[0], body=b"s", Idempotency_Key="k")
    wait_for(lambda: target.run_bodies)
    second = gevent.spawn(send, service.agents[1], body=b"s", Idempotency_Key="k")
    gevent.sleep(0.1)
    assert not second.dead
    target.gate.set()
    assert first.get()[2] == second.get()[2] == b"answer to s"
    assert sum(len(member.target.run_bodies) for member in service.agents) == 1


def test_a_caller_that_disconnects_while_its_keyed_request_runs_can_retry(service):
    # Hazard 21: the caller closes the connection during the run and retries.
    agent = service.agents[0]
    agent.target.gate.clear()
    raw = open_raw(agent, POST % b"Idempotency-Key: k\r\n")
    wait_for(lambda: agent.target.run_bodies)
    raw.close()
    gevent.sleep(0.05)
    agent.target.gate.set()
    reply = send(service.agents[2], body=b"swap", Idempotency_Key="k")
    assert outcome(reply) == (200, "done")
    assert sum(len(member.target.run_bodies) for member in service.agents) == 1


def test_a_key_of_another_request_is_refused(service):
    send(service.agents[0], body=b"one", Idempotency_Key="k")
    reply = send(service.agents[1], body=b"two", Idempotency_Key="k")
    assert outcome(reply) == (422, "not-run")


def test_a_queued_request_whose_caller_disconnects_never_reaches_the_target(service):
    # Hazard 21: the caller disconnects just before its request starts; the next request
    # gets the slot.
    for member in service.agents:
        member.target.gate.clear()
    agent = service.agents[0]
    running = [
        gevent.spawn(send, member, body=b"long")
        for member in service.agents
        for _ in "1"
    ]
    wait_for(lambda: all(member.target.run_bodies for member in service.agents))
    raw = open_raw(agent, POST % b"")
    admissions = [member.requests.dispatcher.admission for member in service.agents]
    wait_for(lambda: sum(admission.queued for admission in admissions) == 1)
    raw.close()
    wait_for(lambda: sum(admission.queued for admission in admissions) == 0)
    for member in service.agents:
        member.target.gate.set()
    gevent.joinall(running)
    assert not any(b"swap" in member.target.run_bodies for member in service.agents)


def test_a_caller_that_disconnects_during_the_run_frees_the_slot(service):
    # Hazard 21: without a key the response is lost, so the connection to the target is
    # closed, which cancels the request there.
    agent = service.agents[0]
    agent.target.gate.clear()
    raw = open_raw(agent, POST % b"")
    wait_for(lambda: agent.target.run_bodies)
    raw.close()
    wait_for(lambda: not agent.requests.dispatcher.admission.running)
    assert agent.requests.dispatcher.active_count == 0


def test_a_deadline_during_the_run_is_reported_unknown_and_cancels_the_request(service):
    # Hazard 21: the deadline passes during the run; it is unknown what the target did.
    agent = service.agents[0]
    agent.target.gate.clear()
    reply = send(agent, body=b"swap", Request_Timeout="0.3")
    assert outcome(reply) == (504, "unknown")
    assert agent.requests.dispatcher.admission.running == {}


def test_a_deadline_that_can_not_be_met_is_refused_at_once(service):
    reply = send(service.agents[0], body=b"swap", Request_Timeout="0.01")
    assert outcome(reply) == (503, "not-run")
    assert reply[1]["Retry-After"] == "1"
    assert not service.agents[0].target.run_bodies


def test_an_incomplete_response_of_the_target_never_looks_complete(service):
    # Hazard 22: the target dies in the middle of its response.
    agent = service.agents[0]
    agent.target.mode = "short"
    with connect(agent) as connection:
        connection.request("POST", "/swap", b"x")
        with pytest.raises((http.client.IncompleteRead, ConnectionError)):
            connection.getresponse().read()
    reply = send(agent, body=b"x", Idempotency_Key="k")
    assert outcome(reply) == (504, "unknown")
    agent.target.mode = "whole"
    retried = send(service.agents[1], body=b"x", Idempotency_Key="k")
    assert outcome(retried) == (504, "unknown")
    assert agent.target.run_bodies == [b"x", b"x"]


def test_a_late_response_does_not_reach_the_next_request(service):
    # Hazard 22: the first request passes its deadline, and its response arrives while
    # the next request on the same connection waits for its own.
    agent = service.agents[0]
    agent.target.seconds = 0.4
    with connect(agent) as connection:
        connection.request("POST", "/a", b"first", {"Request-Timeout": "0.3"})
        assert connection.getresponse().read().startswith(b"unknown")
        connection.request("POST", "/a", b"second")
        assert connection.getresponse().read() == b"answer to second"


def test_another_agent_runs_a_request_that_a_target_can_not_accept(service):
    # Hazard 24: the target refuses connections, its agent has retries in its budget and
    # knows the other agents: the request runs once, at one of them.
    agent = service.agents[0]
    for _ in range(12):
        send(agent, "GET")
    wait_for(lambda: agent.requests.dispatcher.load_sharing.list_known_peers())
    agent.target.server.close()
    assert outcome(send(agent, body=b"swap")) == (200, "done")
    assert (
        sum(member.target.run_bodies.count(b"swap") for member in service.agents) == 1
    )


def test_a_leaving_agent_forwards_requests_that_still_arrive(service):
    # Hazard 23: the target leaves while callers still have connections to its agent.
    agent = service.agents[0]
    wait_for(lambda: agent.requests.dispatcher.load_sharing.list_known_peers())
    agent.announcement.leaving = True
    wait_for(lambda: not agent.requests.is_ready())
    assert outcome(send(agent, body=b"swap")) == (200, "done")
    assert agent.target.run_bodies == []


def test_a_request_for_an_unreachable_target_is_reported_not_run(service):
    # Hazard 24: the target refuses connections and the retry budget is empty. No byte
    # has reached the target.
    agent = service.agents[0]
    agent.target.server.close()
    reply = send(agent, body=b"swap")
    assert outcome(reply) == (503, "not-run")


@pytest.mark.parametrize(("method", "expected_runs"), [("POST", 0), ("GET", 1)])
def test_a_request_without_a_key_is_sent_once_unless_it_is_idempotent(
    service, method, expected_runs
):
    # The target closes the connection after it has read the request: it is unknown
    # whether the request ran. A POST must not be retried elsewhere, a GET may be.
    agent = service.agents[0]
    for _ in range(12):
        send(agent, "GET")
    dropping_server = StreamServer(
        ("127.0.0.1", 0), lambda connection, _: connection.recv(9)
    )
    dropping_server.start()
    wait_for(lambda: agent.requests.dispatcher.load_sharing.list_known_peers())
    agent.requests.dispatcher._client.address = Address(
        "127.0.0.1", dropping_server.server_port
    )
    before = sum(len(member.target.run_bodies) for member in service.agents)
    reply = send(agent, method, "/x")
    assert reply[1]["Ibisshunt-Outcome"] == ("done" if expected_runs else "unknown")
    assert (
        sum(len(member.target.run_bodies) for member in service.agents) - before
        == expected_runs
    )
    dropping_server.stop()


def test_a_changed_record_is_applied(service):
    service.slots = 2
    service.policy = RequestPolicy(queue_limit=3, timeout_ms=700, retry_share=0.5)
    service.publish()
    for agent in service.agents:
        dispatcher = agent.requests.dispatcher
        assert (dispatcher.admission.slots, dispatcher.admission.queue_limit) == (2, 3)
        assert dispatcher.retry_budget.share == 0.5
        assert agent.requests.http_server.policy.timeout_ms == 700


def test_a_queued_event_stream_stays_at_its_agent(service):
    # Idle agents pull queued requests, but an event stream would occupy two agents for
    # as long as it lasts.
    agent = service.agents[0]
    agent.target.gate.clear()
    first = gevent.spawn(send, agent, "GET", "/long", Accept="text/event-stream")
    wait_for(lambda: agent.target.run_bodies)
    second = gevent.spawn(send, agent, "GET", "/feed", Accept="text/event-stream")
    find_longest_queues = [
        member.requests.dispatcher.load_sharing.find_longest_queue
        for member in service.agents[1:]
    ]
    wait_for(
        lambda: any(find(time.monotonic()) is not None for find in find_longest_queues)
    )
    gevent.sleep(0.1)
    assert agent.requests.dispatcher.admission.queued == 1
    agent.target.gate.set()
    assert [first.get()[0], second.get()[0]] == [200, 200]
    assert len(agent.target.run_bodies) == 2


def test_event_streams_do_not_occupy_slots(service):
    agent = service.agents[0]
    agent.target.mode = "feed"
    event_streams = []
    for _ in range(3):
        raw = open_raw(agent, b"GET /feed HTTP/1.1\r\nHost: b\r\n\r\n")
        assert b"text/event-stream" in raw.recv(4096)
        event_streams.append(raw)
    agent.target.mode = "whole"
    assert send(agent, body=b"swap")[2] == b"answer to swap"
    assert agent.requests.dispatcher.event_streams == 3
    for raw in event_streams:
        raw.close()
    wait_for(lambda: agent.requests.dispatcher.event_streams == 0)


def test_requests_move_to_idle_agents_and_slots_are_never_exceeded(service):
    # All connections are at one agent: the others pull queued requests.
    for member in service.agents:
        member.target.seconds = 0.03
    tasks = [
        gevent.spawn(send, service.agents[0], body=b"%d" % number)
        for number in range(24)
    ]
    replies = [task.get() for task in tasks]
    assert [reply[2] for reply in replies] == [
        b"answer to %d" % number for number in range(24)
    ]
    run_counts = [len(member.target.run_bodies) for member in service.agents]
    assert sum(run_counts) == 24
    assert min(run_counts) >= 3
    assert {member.target.max_running_count for member in service.agents} == {1}


def test_a_planned_stop_finishes_running_requests_and_refuses_the_rest(service):
    # Hazard 23: the agent is stopped with one request running and one queued.
    agent = service.agents[0]
    for member in service.agents:
        member.target.gate.clear()
    running = [gevent.spawn(send, member, body=b"long") for member in service.agents]
    wait_for(lambda: all(member.target.run_bodies for member in service.agents))
    queued = gevent.spawn(send, agent, body=b"queued")
    wait_for(
        lambda: any(
            member.requests.dispatcher.admission.queued for member in service.agents
        )
    )
    assert agent.requests.is_ready()
    stopping = gevent.spawn(agent.kernel.stop)
    wait_for(lambda: not agent.requests.is_ready())
    gevent.sleep(0.05)
    for member in service.agents:
        member.target.gate.set()
    assert [outcome(task.get()) for task in running] == [(200, "done")] * 3
    assert outcome(queued.get()) in [(200, "done"), (503, "not-run")]
    stopping.get()
    ran = sum(member.target.run_bodies.count(b"queued") for member in service.agents)
    assert ran == (outcome(queued.get())[0] == 200)


def test_the_second_replica_has_the_response_after_the_first_dies(service):
    # Hazard 20 over real sockets: one of the three agents is killed and removed.
    replies = {
        f"k{number}": send(
            service.agents[number % 3],
            body=b"%d" % number,
            Idempotency_Key=f"k{number}",
        )
        for number in range(9)
    }
    dead = service.agents[1]
    dead.kill()
    service.remove(dead)
    service.wait_until_open()
    for number in range(9):
        retried = send(
            service.agents[number % 2],
            body=b"%d" % number,
            Idempotency_Key=f"k{number}",
        )
        assert retried[2] == replies[f"k{number}"][2]
    run_counts = [len(member.target.run_bodies) for member in [*service.agents, dead]]
    assert sum(run_counts) == 9


def test_agents_that_restart_beside_live_targets_do_not_run_keys_again(service):
    # Hazard 20: two of three agents restart at once with empty ledgers. Their targets
    # are alive and keep their incarnations. A retry gets its response from the third
    # agent, or "unknown" if both replicas of its key were lost.
    for number in range(12):
        send(
            service.agents[number % 3],
            body=b"%d" % number,
            Idempotency_Key=f"k{number}",
        )
    for index in (0, 1):
        old = service.agents[index]
        old.kill()
        service.agents[index] = Agent(old.name, old.domain, old.incarnation, old.target)
    service.left_revision = service.revision + 1
    service.publish()
    service.wait_until_open()
    outcomes = []
    for number in range(12):
        retried = send(
            service.agents[number % 3],
            body=b"%d" % number,
            Idempotency_Key=f"k{number}",
        )
        outcomes.append(outcome(retried))
        assert retried[0] != 200 or retried[2] == b"answer to %d" % number
    assert set(outcomes) == {(200, "done"), (504, "unknown")}
    assert sum(len(member.target.run_bodies) for member in service.agents) == 12
    fresh = [
        outcome(send(service.agents[0], body=b"n", Idempotency_Key=f"new{number}"))
        for number in range(12)
    ]
    assert (200, "done") in fresh


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        ({"Idempotency-Key": "k" * 256}, 400),
        ({"Content-Length": "2000000"}, 413),
    ],
)
def test_malformed_requests_are_refused_as_not_run(service, headers, status):
    size = int(headers.get("Content-Length", 1))
    with connect(service.agents[0]) as connection:
        connection.request("POST", "/x", b"x" * size, headers)
        response = connection.getresponse()
        assert response.status == status
        assert response.headers["Ibisshunt-Outcome"] == "not-run"
