"""Where a new flow is placed, and when it is queued, by load pattern."""

import random

import msgspec
import pytest
from msgspec.structs import replace

from ibisshunt.coordination.forwarding.balancer import Balancer
from ibisshunt.coordination.forwarding.messages import (
    NO_LIMIT,
    RejectedPacket,
    RejectReason,
    ResetFlow,
    Status,
    TargetState,
)
from ibisshunt.coordination.forwarding.placement.admission import (
    MAX_OVERLOAD_REJECTIONS,
    REJECTION_FRACTION,
    compute_request_limit,
)
from tests.forwarding_world import (
    SERVICE,
    World,
    make_key,
    make_route_table,
    syn_segment,
)

TIMEOUT = 0.5


def make_status(
    number=1,
    active_requests=0,
    slots=1,
    mean_service_us=50_000,
    flows=0,
    warmup_left_ms=0,
):
    return Status(
        1,
        number,
        SERVICE,
        TargetState.OPEN,
        slots,
        active_requests,
        flows,
        mean_service_us,
        warmup_left_ms,
        1,
    )


def make_balancer(statuses, now=10.0):
    balancer = Balancer(random.Random(3).random)
    balancer.update_routes(make_route_table())
    for number, status in enumerate(statuses):
        balancer.handle_status(f"10.0.2.{number}", status, now)
    return balancer


def place(balancer, port, now):
    return [
        action.peer
        for action in balancer.handle_packet(syn_segment(make_key(port)), now)
        if not isinstance(action, ResetFlow)
    ]


def test_the_least_loaded_target_gets_the_flow():
    balancer = make_balancer(
        [make_status(active_requests=active) for active in (1, 0, 1)]
    )
    assert place(balancer, 40_001, 10.0) == ["10.0.2.1"]


def test_flows_placed_since_the_last_status_are_counted():
    # A burst of new flows arrives between two statuses of three idle targets. Each
    # target must get its share, instead of one all of them.
    balancer = make_balancer([make_status(slots=3) for _ in range(3)])
    placed = [place(balancer, 40_001 + number, 10.001)[0] for number in range(9)]
    assert sorted(placed.count(f"10.0.2.{number}") for number in range(3)) == [3, 3, 3]


def test_balancers_with_the_same_statuses_choose_different_targets():
    # Guards against balancers that all send their first flow to the same one of seven
    # idle targets, since they got the same statuses.
    chosen = set()
    for seed in range(20):
        balancer = make_balancer([make_status() for _ in range(7)])
        balancer.state.random_fraction = random.Random(seed).random
        chosen.update(place(balancer, 40_001, 10.0))
    assert len(chosen) >= 5


def test_a_cold_target_gets_fewer_flows():
    balancer = make_balancer(
        [make_status(slots=5, warmup_left_ms=2000), make_status(slots=5)], now=10.0
    )
    placed = [place(balancer, 40_001 + number, 10.001)[0] for number in range(9)]
    assert placed.count("10.0.2.0") < placed.count("10.0.2.1")


def test_a_flow_is_queued_while_every_target_has_a_queue():
    # All targets have four requests before their one slot: 200 ms of wait, twice the
    # objective. The flow is queued, and goes to the first target with a free slot.
    balancer = make_balancer([make_status(active_requests=4) for _ in range(3)])
    assert place(balancer, 40_001, 10.0) == []
    assert not balancer.tick(10.01)
    balancer.handle_status("10.0.2.2", make_status(number=2, active_requests=0), 10.02)
    assert [action.peer for action in balancer.tick(10.02)] == ["10.0.2.2"]


def test_a_late_flow_is_placed_after_half_of_its_timeout():
    # No slot becomes free: the flow goes to the least loaded target, whatever its load,
    # while there is time for the answer.
    balancer = make_balancer(
        [make_status(active_requests=5), make_status(active_requests=4)]
    )
    assert place(balancer, 40_001, 10.0) == []
    assert not balancer.tick(10.0 + TIMEOUT / 2 - 0.01)
    (found,) = balancer.tick(10.0 + TIMEOUT / 2 + 0.01)
    assert (found.peer, found.message.max_requests) == ("10.0.2.1", NO_LIMIT)


def test_a_late_flow_that_cannot_be_served_in_time_is_rejected():
    # Thirty requests wait for the only slot: the answer would come long after the
    # caller has given up. It is reset, so that the queue does not delay others further.
    balancer = make_balancer([make_status(active_requests=30)])
    assert place(balancer, 40_001, 10.0) == []
    (found,) = balancer.tick(10.0 + TIMEOUT / 2 + 0.01)
    assert found.reason == "overload"


def queue_until_restart(balancer, callers=60, targets=6):
    """Return where flows go that were queued for 0.1 s when statuses arrive."""
    for number in range(targets):
        balancer.expect_agent(f"10.0.2.{number}", 9.0)
    for port in range(40_000, 40_000 + callers):
        assert place(balancer, port, 9.5) == []
    placed = []
    for number in range(targets):
        now = 9.6 + number * 0.005
        balancer.handle_status(f"10.0.2.{number}", make_status(slots=3), now)
        placed += [action.peer for action in balancer.tick(now)]
    return placed


def make_fresh_balancer():
    balancer = Balancer(random.Random(3).random, now=9.0)
    balancer.update_routes(make_route_table())
    return balancer


def test_flows_queued_during_a_restart_take_only_free_slots():
    # A fleet is back after a power loss, and sixty callers are late already. Placed at
    # once, they would delay all newer flows: targets get as many as they have slots,
    # and the others as slots become free.
    balancer = make_fresh_balancer()
    placed = queue_until_restart(balancer)
    counts = [placed.count(f"10.0.2.{number}") for number in range(6)]
    assert min(counts) >= 3
    assert max(counts) <= 4
    for number in range(6):
        status = make_status(number=2, slots=3)
        balancer.handle_status(f"10.0.2.{number}", status, 9.66)
    assert len(balancer.tick(9.66)) >= 12


def test_a_flow_within_its_objective_goes_before_late_ones():
    # Sixty late callers are queued and all slots are taken. A new caller can still be
    # served in time, and must not be queued behind the late ones.
    balancer = make_fresh_balancer()
    queue_until_restart(balancer)
    assert len(balancer.state.pending_syns) > 30
    assert len(place(balancer, 41_000, 9.64)) == 1


def test_all_queued_flows_are_placed_or_rejected_in_time():
    balancer = make_fresh_balancer()
    count = len(queue_until_restart(balancer))
    for now in (9.7, 9.74, 9.76, 9.8, 9.5 + REJECTION_FRACTION * TIMEOUT + 0.01):
        count += len(balancer.tick(now))
    assert count == 60
    assert not balancer.state.pending_syns


def test_a_late_flow_is_not_placed_behind_a_queue_while_others_are_pending():
    # Guards against late requests that make all later ones late as well, when a fleet
    # is back and more callers wait than its targets can serve.
    balancer = make_balancer([make_status(active_requests=12)])
    assert place(balancer, 40_001, 10.0) == []
    assert place(balancer, 40_002, 10.2) == []
    assert balancer.tick(10.0 + TIMEOUT / 2 + 0.01) == []
    (found,) = balancer.tick(10.0 + REJECTION_FRACTION * TIMEOUT + 0.01)
    assert (found.reason, found.segment.key) == ("overload", make_key(40_001))


def test_a_late_flow_takes_a_free_slot_while_others_are_pending():
    balancer = make_balancer([make_status(active_requests=4)])
    place(balancer, 40_001, 10.0)
    place(balancer, 40_002, 10.2)
    balancer.handle_status("10.0.2.0", make_status(number=2, slots=2), 10.3)
    placed = balancer.tick(10.3)
    assert [action.peer for action in placed] == ["10.0.2.0", "10.0.2.0"]
    assert balancer.flows.keys() == {make_key(40_001), make_key(40_002)}


def test_a_syn_copy_carries_the_wait_of_its_caller():
    # The first copy was lost with the previous process. The second shows that its
    # caller has waited for 200 ms: it is late, and must not be placed before newer
    # flows.
    balancer = make_balancer([make_status(active_requests=3, mean_service_us=10_000)])
    late = replace(syn_segment(make_key(40_001)), syn_age=0.2)
    assert balancer.handle_packet(late, 10.0) == []
    assert len(place(balancer, 40_002, 10.0)) == 1


@pytest.mark.parametrize("state", [TargetState.DRAINING, TargetState.ABSENT])
def test_a_target_that_is_not_open_gets_no_flow(state):
    closed = Status(1, 1, SERVICE, state, 1, 0, 0, 1000, 0, 1)
    balancer = make_balancer([closed, make_status(active_requests=1)])
    assert place(balancer, 40_001, 10.0) == ["10.0.2.1"]


def test_a_silent_target_gets_no_flow():
    balancer = make_balancer([make_status(), make_status()])
    balancer.handle_status(
        "10.0.2.1",
        make_status(number=2, active_requests=3, mean_service_us=9_000),
        11.4,
    )
    assert place(balancer, 40_001, 11.5) == ["10.0.2.1"]


def test_balancers_that_know_of_one_free_slot_do_not_overload_its_target():
    # Twenty-five balancers know that one target of many is idle, and each sends it a
    # flow within milliseconds, before its next status. The agent rejects what is more
    # than one round above their estimate; each flow is placed after two rejections at
    # most.
    world = World(targets=10, balancers=25)
    busy = [found for found in world.agents if found != "10.0.2.0"]
    for address in busy:
        world.add_load(address, 2)
    world.send_statuses()
    for number, balancer in enumerate(world.balancers):
        world.send(balancer, syn_segment(make_key(42_000 + number)))
    first = {address: len(found.flows) for address, found in world.targets.items()}
    assert first["10.0.2.0"] <= 4
    assert max(first.values()) <= 5
    for agent in world.agents.values():
        agent.request_tracker.clear()
    world.wait(0.4)
    accepted = {address: len(found.flows) for address, found in world.targets.items()}
    assert sum(accepted.values()) == 25
    assert max(accepted.values()) <= 7
    assert not world.resets


def test_a_flow_is_accepted_if_all_targets_have_more_load_than_assumed():
    # All targets have far more load than in their last statuses. After two rejections
    # the third agent must leave the decision to its target: a reset would reject a flow
    # that can be served.
    world = World(targets=4, balancers=1)
    for address in world.agents:
        world.add_load(address, 9)
    world.send("10.0.1.0", syn_segment(make_key()))
    world.wait(0.4)
    assert len(world.sent_to_callers) == 1
    assert not world.resets


def test_the_only_target_gets_a_flow_that_its_agent_rejected_for_overload():
    # One target of a service is left, with more load than the balancer assumed. The
    # rejected flow has no alternative: it must be sent there again, and not be reset.
    world = World(targets=1, balancers=1)
    (address,) = world.agents
    world.add_load(address, 9)
    world.send("10.0.1.0", syn_segment(make_key()))
    world.wait(0.4)
    assert len(world.sent_to_callers) == 1
    assert not world.resets


def make_failing(percents):
    statuses = [make_status(slots=3) for _ in percents]
    return make_balancer(
        [
            msgspec.structs.replace(status, failure_percent=percent)
            for status, percent in zip(statuses, percents, strict=True)
        ]
    )


def test_a_target_that_fails_at_once_does_not_attract_new_flows():
    # One target of three answers every request with an error within a millisecond. It
    # is always idle, and would get each new flow of a busy service by load alone.
    balancer = make_failing([60, 0, 5])
    for address in ("10.0.2.1", "10.0.2.2"):
        balancer.targets[address].load = 1
    placed = {place(balancer, 40_001 + number, 10.0)[0] for number in range(4)}
    assert placed == {"10.0.2.1", "10.0.2.2"}


def test_a_service_whose_targets_all_fail_keeps_them_all():
    # The requests are at fault, not one target: excluding all targets would be an
    # outage.
    balancer = make_failing([70, 80, 75])
    placed = {place(balancer, 40_001 + number, 10.0)[0] for number in range(9)}
    assert len(placed) == 3


def test_a_route_without_an_objective_uses_its_timeout():
    # Five requests wait for 250 ms together, half of the timeout. Without an objective
    # the flow is placed, and not queued as late from its start.
    balancer = make_balancer([make_status(active_requests=5)])
    table = make_route_table(version=2)
    routes = {
        key: replace(found, latency_objective_ms=0)
        for key, found in table.routes.items()
    }
    balancer.update_routes(replace(table, routes=routes))
    assert place(balancer, 40_001, 10.0) == ["10.0.2.0"]


def get_limit(balancer, port, now):
    (action,) = balancer.handle_packet(syn_segment(make_key(port)), now)
    return action.message.max_requests


def test_a_delivery_carries_the_request_limit_of_its_flow():
    # The objective is 100 ms and a request takes 10 ms: nine may be before it on one
    # slot. The first attempts are for targets with about the assumed load only.
    balancer = make_balancer([make_status(active_requests=2, mean_service_us=10_000)])
    assert get_limit(balancer, 40_001, 10.0) == 3
    target = balancer.targets["10.0.2.0"]
    route = balancer.routes.find(make_key()[6:])
    assert (
        compute_request_limit(target, 0.0, route, MAX_OVERLOAD_REJECTIONS, False, 10.0)
        == 10
    )
    assert (
        compute_request_limit(target, 0.1, route, MAX_OVERLOAD_REJECTIONS, False, 10.0)
        == 1
    )


def reject_flow(balancer, port, load, now, syn_age=0.0):
    """Let the agent reject a flow for overload; return the balancer's actions."""
    message = RejectedPacket(RejectReason.FULL, b"syn", load)
    segment = replace(syn_segment(make_key(port)), syn_age=syn_age)
    return balancer.handle_rejected_packet("10.0.2.0", message, segment, now)


def test_the_youngest_pending_flow_goes_first():
    balancer = make_balancer([make_status(active_requests=9)])
    for port, now in ((40_001, 10.0), (40_002, 10.1), (40_003, 10.05)):
        assert place(balancer, port, now) == []
    balancer.handle_status("10.0.2.0", make_status(number=2, active_requests=1), 10.12)
    (action,) = balancer.tick(10.12)
    assert balancer.flows.keys() == {make_key(40_002)}
    assert action.peer == "10.0.2.0"


def test_an_overloaded_target_gets_no_flow_before_its_next_status():
    # The agent reports when a slot is free. Retried by the estimated drain of its
    # queue, with hundreds of flows queued, it would get one flow per millisecond.
    balancer = make_balancer([make_status()])
    assert place(balancer, 40_001, 10.0) == ["10.0.2.0"]
    assert reject_flow(balancer, 40_001, 4, 10.01) == []
    assert balancer.tick(10.2) == []
    balancer.handle_status("10.0.2.0", make_status(number=2), 10.21)
    assert len(balancer.tick(10.21)) == 1


def test_a_rejection_does_not_reset_the_age_of_a_flow():
    # The flow of a caller that has waited for 0.2 s is rejected. Its queue time still
    # ends 0.25 s after its first SYN, and not after the rejection.
    balancer = make_balancer([make_status()])
    late = replace(syn_segment(make_key(40_001)), syn_age=0.2)
    assert len(balancer.handle_packet(late, 10.0)) == 1
    assert reject_flow(balancer, 40_001, 4, 10.01, syn_age=0.2) == []
    assert len(balancer.tick(10.06)) == 1


def test_a_flow_placed_by_a_syn_copy_is_not_placed_again():
    # A SYN is queued. Its second copy arrives when a slot is free and is placed; the
    # queued one must not open the flow again.
    balancer = make_balancer([make_status(active_requests=9)])
    assert place(balancer, 40_001, 10.0) == []
    balancer.handle_status("10.0.2.0", make_status(number=2), 10.2)
    assert place(balancer, 40_001, 10.2) == ["10.0.2.0"]
    assert balancer.tick(10.22) == []


def make_balancer_in_domain(loads, same_domain_count=3, seed=3):
    """Return a balancer with targets of given loads, the first ones in its domain."""
    balancer = make_balancer([make_status(active_requests=load) for load in loads])
    balancer.state.random_fraction = random.Random(seed).random
    balancer.state.same_domain_agents = frozenset(
        f"10.0.2.{number}" for number in range(same_domain_count)
    )
    return balancer


def test_flows_stay_in_the_failure_domain_while_its_targets_are_equally_free():
    # Low load: each domain's targets are nine tenths idle. A flow to another domain
    # would add a round trip between domains to each request, and use paid links for
    # nothing.
    balancer = make_balancer_in_domain([0] * 18)
    placed = []
    for step in range(30):
        now = 10.0 + 0.1 * step
        for number in range(18):
            balancer.handle_status(
                f"10.0.2.{number}", make_status(number=2 + step), now
            )
        placed += place(balancer, 40_001 + step, now)
    assert set(placed) == {"10.0.2.0", "10.0.2.1", "10.0.2.2"}


def test_flows_leave_a_domain_whose_targets_are_busy():
    # Callers move to one domain: its targets are busy, others are idle. Waiting for
    # targets of the same domain would build a queue beside free slots.
    balancer = make_balancer_in_domain([1, 1, 1] + [0] * 15)
    assert not {"10.0.2.0", "10.0.2.1", "10.0.2.2"} & set(place(balancer, 40_001, 10.0))


def test_the_flows_of_an_overloaded_domain_are_spread_over_all():
    # Three quarters of all callers arrive through one domain of six. Its targets must
    # not hold many more open flows than the others: each flow may bring a request at
    # any time.
    flows = dict.fromkeys((f"10.0.2.{number}" for number in range(18)), 0)
    balancer = make_balancer_in_domain([0] * 18)
    other = make_balancer_in_domain([0] * 18, same_domain_count=0, seed=4)
    for step in range(1800):
        now = 10.0 + 0.01 * step
        chosen = balancer if step % 4 else other
        for number, address in enumerate(flows):
            status = make_status(number=2 + step, flows=flows[address])
            chosen.handle_status(f"10.0.2.{number}", status, now)
        (address,) = place(chosen, 2_000 + step, now)
        flows[address] += 1
    mean = sum(flows.values()) / len(flows)
    assert max(flows.values()) <= mean + 15


def test_a_flow_rejected_in_its_domain_may_go_to_any_domain():
    # The agents of the same domain have more load than assumed, and others there
    # probably too: a third and a fourth rejection would cost the caller more than the
    # way to another domain.
    chosen = []
    for seed in range(40):
        balancer = make_balancer_in_domain([0] * 18, same_domain_count=9, seed=seed)
        (first,) = place(balancer, 40_001, 10.0)
        full, segment = (
            RejectedPacket(RejectReason.FULL, b"", 2),
            syn_segment(make_key(40_001)),
        )
        (sent,) = balancer.handle_rejected_packet(first, full, segment, 10.01)
        chosen.append(sent.peer)
    other_domains = {f"10.0.2.{number}" for number in range(9, 18)}
    assert sum(address in other_domains for address in chosen) >= 10
