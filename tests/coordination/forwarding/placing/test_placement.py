"""Where a new flow goes, and when it waits, by the load patterns that it answers."""

import random

import msgspec
import pytest
from msgspec.structs import replace

from ibisshunt.coordination.forwarding.balancer import Balancer
from ibisshunt.coordination.forwarding.messages import (
    NO_LIMIT,
    Reason,
    Reset,
    Returned,
    Status,
    TargetState,
)
from ibisshunt.coordination.forwarding.placing.admission import (
    LAST_SHARE,
    MAX_CORRECTIONS,
    limit_requests,
)
from tests.forwarding_world import (
    SERVICE,
    World,
    make_key,
    make_table,
    open_segment,
)

TIMEOUT = 0.5


def make_status(number=1, active=0, slots=1, service_us=50_000, flows=0, cold=0):
    return Status(
        1,
        number,
        SERVICE,
        TargetState.OPEN,
        slots,
        active,
        flows,
        service_us,
        cold,
        1,
    )


def make_balancer(statuses, now=10.0):
    balancer = Balancer(random.Random(3).random)
    balancer.take_routes(make_table())
    for number, status in enumerate(statuses):
        balancer.learn(f"10.0.2.{number}", status, now)
    return balancer


def place(balancer, port, now):
    return [
        action.peer
        for action in balancer.take(open_segment(make_key(port)), now)
        if not isinstance(action, Reset)
    ]


def test_the_least_loaded_target_gets_the_flow():
    balancer = make_balancer([make_status(active=active) for active in (1, 0, 1)])
    assert place(balancer, 40_001, 10.0) == ["10.0.2.1"]


def test_flows_placed_just_now_count_before_the_next_word():
    # A burst of openings arrives between two statuses of three idle targets: each
    # target gets its part, instead of all flows going to the one that looked idle.
    balancer = make_balancer([make_status(slots=3) for _ in range(3)])
    placed = [place(balancer, 40_001 + number, 10.001)[0] for number in range(9)]
    assert sorted(placed.count(f"10.0.2.{number}") for number in range(3)) == [3, 3, 3]


def test_balancers_that_hear_the_same_do_not_choose_the_same():
    # Seven balancers know seven idle targets. The first flow of each must not go to
    # one target: they all heard the same statuses.
    chosen = set()
    for seed in range(20):
        balancer = make_balancer([make_status() for _ in range(7)])
        balancer.state.draw = random.Random(seed).random
        chosen.update(place(balancer, 40_001, 10.0))
    assert len(chosen) >= 5


def test_a_cold_target_gets_less():
    balancer = make_balancer(
        [make_status(slots=5, cold=2000), make_status(slots=5)], now=10.0
    )
    placed = [place(balancer, 40_001 + number, 10.001)[0] for number in range(9)]
    assert placed.count("10.0.2.0") < placed.count("10.0.2.1")


def test_a_flow_waits_at_the_balancer_while_every_target_has_a_queue():
    # All targets have four requests before their one slot: 200 ms of wait, twice the
    # objective. The flow is kept, and goes to the target that comes free first.
    balancer = make_balancer([make_status(active=4) for _ in range(3)])
    assert place(balancer, 40_001, 10.0) == []
    assert not balancer.sweep(10.01)
    balancer.learn("10.0.2.2", make_status(number=2, active=0), 10.02)
    assert [action.peer for action in balancer.sweep(10.02)] == ["10.0.2.2"]


def test_a_late_flow_waits_no_more_when_half_of_its_timeout_has_gone():
    # No slot comes free: the flow is offered to the least loaded target, whatever its
    # load, while there is time for the answer.
    balancer = make_balancer([make_status(active=5), make_status(active=4)])
    assert place(balancer, 40_001, 10.0) == []
    assert not balancer.sweep(10.0 + TIMEOUT / 2 - 0.01)
    (found,) = balancer.sweep(10.0 + TIMEOUT / 2 + 0.01)
    assert (found.peer, found.message.limit) == ("10.0.2.1", NO_LIMIT)


def test_a_late_flow_that_cannot_be_served_any_more_is_refused():
    # Thirty requests stand before the only slot: the answer would come long after the
    # caller has left. It is told, instead of making the queue longer for all others.
    balancer = make_balancer([make_status(active=30)])
    assert place(balancer, 40_001, 10.0) == []
    (found,) = balancer.sweep(10.0 + TIMEOUT / 2 + 0.01)
    assert found.reason == "overload"


def wait_for_a_restart(balancer, callers=60, targets=6):
    """Return where flows go that have waited 0.1 s when their targets speak."""
    for number in range(targets):
        balancer.expect(f"10.0.2.{number}", 9.0)
    for port in range(40_000, 40_000 + callers):
        assert place(balancer, port, 9.5) == []
    placed = []
    for number in range(targets):
        now = 9.6 + number * 0.005
        balancer.learn(f"10.0.2.{number}", make_status(slots=3), now)
        placed += [action.peer for action in balancer.sweep(now)]
    return placed


def make_fresh_balancer():
    balancer = Balancer(random.Random(3).random, now=9.0)
    balancer.take_routes(make_table())
    return balancer


def test_what_waited_for_a_restart_takes_the_free_slots_and_no_more():
    # A fleet is back after a power loss. Sixty callers have waited and are late
    # whatever is done. Handed over at once they would stand before all that come: the
    # targets get as many as they have slots, and the others as slots come free.
    balancer = make_fresh_balancer()
    placed = wait_for_a_restart(balancer)
    counts = [placed.count(f"10.0.2.{number}") for number in range(6)]
    assert min(counts) >= 3
    assert max(counts) <= 4
    for number in range(6):
        status = make_status(number=2, slots=3)
        balancer.learn(f"10.0.2.{number}", status, 9.66)
    assert len(balancer.sweep(9.66)) >= 12


def test_a_young_flow_goes_before_those_that_are_late():
    # Sixty late callers wait, all slots are taken. A new caller can still be in time
    # behind the requests at work, and is not put behind the late ones.
    balancer = make_fresh_balancer()
    wait_for_a_restart(balancer)
    assert len(balancer.state.openings) > 30
    assert len(place(balancer, 41_000, 9.64)) == 1


def test_all_that_waited_is_placed_or_refused_in_time():
    balancer = make_fresh_balancer()
    count = len(wait_for_a_restart(balancer))
    for now in (9.7, 9.74, 9.76, 9.8, 9.5 + LAST_SHARE * TIMEOUT + 0.01):
        count += len(balancer.sweep(now))
    assert count == 60
    assert not balancer.state.openings


def test_a_late_flow_is_not_put_behind_a_queue_while_others_wait():
    # Guards against late requests that make all that come after them late as well, when
    # a fleet is back and more callers wait than its targets can serve.
    balancer = make_balancer([make_status(active=12)])
    assert place(balancer, 40_001, 10.0) == []
    assert place(balancer, 40_002, 10.2) == []
    assert balancer.sweep(10.0 + TIMEOUT / 2 + 0.01) == []
    (found,) = balancer.sweep(10.0 + LAST_SHARE * TIMEOUT + 0.01)
    assert (found.reason, found.segment.key) == ("overload", make_key(40_001))


def test_a_late_flow_still_takes_a_free_slot_while_others_wait():
    balancer = make_balancer([make_status(active=4)])
    place(balancer, 40_001, 10.0)
    place(balancer, 40_002, 10.2)
    balancer.learn("10.0.2.0", make_status(number=2, slots=2), 10.3)
    placed = balancer.sweep(10.3)
    assert [action.peer for action in placed] == ["10.0.2.0", "10.0.2.0"]
    assert balancer.flows.keys() == {make_key(40_001), make_key(40_002)}


def test_a_copy_tells_for_how_long_its_caller_has_waited():
    # The first copy was lost with the former process. The second says that its caller
    # has waited for 200 ms: it is late, and takes no place before the young.
    balancer = make_balancer([make_status(active=3, service_us=10_000)])
    late = replace(open_segment(make_key(40_001)), waited=0.2)
    assert balancer.take(late, 10.0) == []
    assert len(place(balancer, 40_002, 10.0)) == 1


@pytest.mark.parametrize("state", [TargetState.DRAINING, TargetState.ABSENT])
def test_a_target_that_is_not_open_gets_no_flow(state):
    closed = Status(1, 1, SERVICE, state, 1, 0, 0, 1000, 0, 1)
    balancer = make_balancer([closed, make_status(active=1)])
    assert place(balancer, 40_001, 10.0) == ["10.0.2.1"]


def test_a_target_that_has_fallen_silent_gets_no_flow():
    balancer = make_balancer([make_status(), make_status()])
    balancer.learn("10.0.2.1", make_status(number=2, active=3, service_us=9_000), 11.4)
    assert place(balancer, 40_001, 11.5) == ["10.0.2.1"]


def test_balancers_that_all_heard_of_a_free_slot_do_not_bury_its_target():
    # Twenty-five balancers heard that one target of many is idle, and each sends it a
    # flow within milliseconds, before its next word. What is more than a round above
    # their belief goes back, and each flow is placed after two corrections at most.
    world = World(targets=10, balancers=25)
    busy = [found for found in world.agents if found != "10.0.2.0"]
    for address in busy:
        world.load(address, 2)
    world.tell_all()
    for number, balancer in enumerate(world.balancers):
        world.send(balancer, open_segment(make_key(42_000 + number)))
    first = {address: len(found.flows) for address, found in world.targets.items()}
    assert first["10.0.2.0"] <= 4
    assert max(first.values()) <= 5
    for agent in world.agents.values():
        agent.requests.clear()
    world.wait(0.4)
    taken = {address: len(found.flows) for address, found in world.targets.items()}
    assert sum(taken.values()) == 25
    assert max(taken.values()) <= 7
    assert not world.resets


def test_a_flow_is_taken_when_every_agent_knows_of_more_load_than_was_believed():
    # All targets are loaded far above their last words. Two agents correct the belief,
    # the third must leave it to its target: a reset would refuse what can be served.
    world = World(targets=4, balancers=1)
    for address in world.agents:
        world.load(address, 9)
    world.send("10.0.1.0", open_segment(make_key()))
    world.wait(0.4)
    assert len(world.to_callers) == 1
    assert not world.resets


def test_the_only_target_gets_a_flow_though_its_agent_corrected_the_belief():
    # One target of a service is left, and its agent knows of more load than the
    # balancer believed. Sent back, the flow has nowhere else to go: it must go there
    # again, and not be reset.
    world = World(targets=1, balancers=1)
    (address,) = world.agents
    world.load(address, 9)
    world.send("10.0.1.0", open_segment(make_key()))
    world.wait(0.4)
    assert len(world.to_callers) == 1
    assert not world.resets


def make_failing(percents):
    statuses = [make_status(slots=3) for _ in percents]
    return make_balancer(
        [
            msgspec.structs.replace(status, failing=percent)
            for status, percent in zip(statuses, percents, strict=True)
        ]
    )


def test_a_target_that_fails_at_once_does_not_draw_the_new_flows():
    # One target of three answers every request with an error within a millisecond. It
    # is always idle, and by load alone it would get each flow of a busy service.
    balancer = make_failing([60, 0, 5])
    for address in ("10.0.2.1", "10.0.2.2"):
        balancer.targets[address].load = 1
    placed = {place(balancer, 40_001 + number, 10.0)[0] for number in range(4)}
    assert placed == {"10.0.2.1", "10.0.2.2"}


def test_a_service_whose_targets_all_fail_keeps_them_all():
    # A fault of the requests, not of one target: leaving all out would be an outage.
    balancer = make_failing([70, 80, 75])
    placed = {place(balancer, 40_001 + number, 10.0)[0] for number in range(9)}
    assert len(placed) == 3


def test_a_route_without_an_objective_goes_by_its_timeout():
    # Five requests wait for 250 ms together, half of the timeout: without an objective
    # the flow is placed, and not kept as one that is late from its start.
    balancer = make_balancer([make_status(active=5)])
    table = make_table(version=2)
    routes = {key: replace(found, objective=0) for key, found in table.routes.items()}
    balancer.take_routes(replace(table, routes=routes))
    assert place(balancer, 40_001, 10.0) == ["10.0.2.0"]


def get_limit(balancer, port, now):
    (action,) = balancer.take(open_segment(make_key(port)), now)
    return action.message.limit


def test_an_agent_is_told_how_many_requests_a_young_flow_can_stand():
    # The objective is 100 ms and a request takes 10 ms: nine may be before it on one
    # slot. The first offers go only to a target about as loaded as was believed.
    balancer = make_balancer([make_status(active=2, service_us=10_000)])
    assert get_limit(balancer, 40_001, 10.0) == 3
    target = balancer.targets["10.0.2.0"]
    route = balancer.routes.find(make_key()[6:])
    assert limit_requests(target, 0.0, route, MAX_CORRECTIONS, False, 10.0) == 10
    assert limit_requests(target, 0.1, route, MAX_CORRECTIONS, False, 10.0) == 1


def send_back(balancer, port, load, now, waited=0.0):
    """Let the agent refuse a flow for its load; return what the balancer does."""
    message = Returned(Reason.FULL, b"syn", load)
    segment = replace(open_segment(make_key(port)), waited=waited)
    return balancer.take_returned("10.0.2.0", message, segment, now)


def test_the_youngest_of_those_that_wait_goes_first():
    balancer = make_balancer([make_status(active=9)])
    for port, now in ((40_001, 10.0), (40_002, 10.1), (40_003, 10.05)):
        assert place(balancer, port, now) == []
    balancer.learn("10.0.2.0", make_status(number=2, active=1), 10.12)
    (action,) = balancer.sweep(10.12)
    assert balancer.flows.keys() == {make_key(40_002)}
    assert action.peer == "10.0.2.0"


def test_an_agent_that_refused_a_flow_is_not_asked_again_before_its_word():
    # It will tell when a slot is free. Asked again as its queue is believed to drain,
    # with hundreds of flows waiting, it would get an offer a millisecond.
    balancer = make_balancer([make_status()])
    assert place(balancer, 40_001, 10.0) == ["10.0.2.0"]
    assert send_back(balancer, 40_001, 4, 10.01) == []
    assert balancer.sweep(10.2) == []
    balancer.learn("10.0.2.0", make_status(number=2), 10.21)
    assert len(balancer.sweep(10.21)) == 1


def test_a_flow_does_not_grow_younger_when_it_is_sent_back():
    # A caller has waited for 0.2 s when its flow is offered and refused: its patience
    # ends 0.25 s after its first packet, not after the refusal.
    balancer = make_balancer([make_status()])
    late = replace(open_segment(make_key(40_001)), waited=0.2)
    assert len(balancer.take(late, 10.0)) == 1
    assert send_back(balancer, 40_001, 4, 10.01, waited=0.2) == []
    assert len(balancer.sweep(10.06)) == 1


def test_a_flow_placed_by_its_own_copy_is_not_sent_again():
    # An opening packet waits. Its second copy comes when a slot is free and is placed;
    # the one that waited must not open the flow once more.
    balancer = make_balancer([make_status(active=9)])
    assert place(balancer, 40_001, 10.0) == []
    balancer.learn("10.0.2.0", make_status(number=2), 10.2)
    assert place(balancer, 40_001, 10.2) == ["10.0.2.0"]
    assert balancer.sweep(10.22) == []


def make_domains(loads, near_count=3, seed=3):
    """Return a balancer with targets of the given loads, the first of them near."""
    balancer = make_balancer([make_status(active=load) for load in loads])
    balancer.state.draw = random.Random(seed).random
    balancer.state.near = frozenset(f"10.0.2.{number}" for number in range(near_count))
    return balancer


def test_flows_stay_in_the_failure_domain_while_its_targets_are_as_free():
    # A calm day: each domain's targets are nine tenths idle. A flow that goes to
    # another domain makes its caller wait for the way there and back with each
    # request, and fills links that are paid for, for nothing.
    balancer = make_domains([0] * 18)
    placed = []
    for step in range(30):
        now = 10.0 + 0.1 * step
        for number in range(18):
            balancer.learn(f"10.0.2.{number}", make_status(number=2 + step), now)
        placed += place(balancer, 40_001 + step, now)
    assert set(placed) == {"10.0.2.0", "10.0.2.1", "10.0.2.2"}


def test_a_domain_whose_targets_are_busy_sends_its_flows_elsewhere():
    # Callers shift to one domain: its targets are taken, others are idle. Waiting for
    # near ones would make a queue beside free slots.
    balancer = make_domains([1, 1, 1] + [0] * 15)
    assert not {"10.0.2.0", "10.0.2.1", "10.0.2.2"} & set(place(balancer, 40_001, 10.0))


def test_the_flows_of_a_crowded_domain_are_spread_over_all():
    # Three quarters of all callers come through one domain of six. Its targets must not
    # hold many more open flows than the others: each may bring a request at any time.
    flows = dict.fromkeys((f"10.0.2.{number}" for number in range(18)), 0)
    balancer = make_domains([0] * 18)
    far = make_domains([0] * 18, near_count=0, seed=4)
    for step in range(1800):
        now = 10.0 + 0.01 * step
        chosen = balancer if step % 4 else far
        for number, address in enumerate(flows):
            status = make_status(number=2 + step, flows=flows[address])
            chosen.learn(f"10.0.2.{number}", status, now)
        (address,) = place(chosen, 2_000 + step, now)
        flows[address] += 1
    mean = sum(flows.values()) / len(flows)
    assert max(flows.values()) <= mean + 15


def test_a_flow_that_was_refused_near_is_offered_anywhere():
    # The agents nearby are more loaded than was believed, as others nearby will be: a
    # third and a fourth refusal would cost the caller more than the way to another
    # domain.
    again = []
    for seed in range(40):
        balancer = make_domains([0] * 18, near_count=9, seed=seed)
        (first,) = place(balancer, 40_001, 10.0)
        full, segment = Returned(Reason.FULL, b"", 2), open_segment(make_key(40_001))
        (sent,) = balancer.take_returned(first, full, segment, 10.01)
        again.append(sent.peer)
    far = {f"10.0.2.{number}" for number in range(9, 18)}
    assert sum(address in far for address in again) >= 10
