"""A balancer that has just started waits for the statuses of several targets."""

import random

import pytest

from ibisshunt.coordination.forwarding.balancer import Balancer
from ibisshunt.coordination.forwarding.messages import Status, TargetState
from ibisshunt.coordination.forwarding.placement.target_table import (
    LEARNING_SECONDS,
    MAX_SETTLE_SECONDS,
)
from tests.forwarding_world import SERVICE, make_key, make_route_table, syn_segment

START = 9.0
# Time that a status takes on an entry host's link of 2 Mbit/s.
STATUS_INTERVAL_SECONDS = 0.0004


def make_status(number=1):
    return Status(1, number, SERVICE, TargetState.OPEN, 1, 0, 0, 20_000, 0, 1)


def make_balancer(seed=1, pending=10):
    """Return a balancer that has just started, with queued flows."""
    balancer = Balancer(random.Random(seed).random, now=START)
    balancer.update_routes(make_route_table())
    for port in range(40_000, 40_000 + pending):
        assert balancer.handle_packet(syn_segment(make_key(port)), START + 0.1) == []
    return balancer


def send_statuses(balancer, targets, now, interval=STATUS_INTERVAL_SECONDS):
    """Let targets send statuses in turn; return where flows go, and the time."""
    placed = []
    for number in range(targets):
        balancer.handle_status(f"10.0.2.{number}", make_status(), now)
        placed += [action.peer for action in balancer.retry_pending(now)]
        now += interval
    return placed, now


def place_after_settling(balancer, now):
    """Return where flows go once the statuses have arrived."""
    return [action.peer for action in balancer.retry_pending(now + 0.011)]


def test_queued_flows_do_not_all_go_to_the_first_target_known():
    # Guards against a rush on one target after an outage. All agents send to sixty
    # balancers at the same time, in about the same order, and each balancer has ten
    # queued flows. Placed by the first status, all would go to one target and mostly be
    # rejected.
    loads = {}
    for seed in range(60):
        balancer = make_balancer(seed)
        early, now = send_statuses(balancer, 100, START + 0.2)
        for peer in early + place_after_settling(balancer, now):
            loads[peer] = loads.get(peer, 0) + 1
    mean = sum(loads.values()) / 100
    assert sum(loads.values()) == 600
    assert max(loads.values()) <= 3 * mean


def test_flows_are_queued_no_longer_than_the_settle_time():
    balancer = make_balancer()
    _, now = send_statuses(balancer, 200, START + 0.2, interval=0.002)
    assert now > START + 0.2 + MAX_SETTLE_SECONDS
    assert not balancer.state.pending_syns


@pytest.mark.parametrize("targets", [1, 3])
def test_flows_are_placed_once_all_listed_agents_have_sent_a_status(targets):
    # A small fleet: no other agent will send a status.
    balancer = make_balancer(pending=1)
    for number in range(targets):
        balancer.expect_agent(f"10.0.2.{number}", START + 0.1)
    placed, _ = send_statuses(balancer, targets, START + 0.2)
    assert len(placed) == 1


def test_a_balancer_that_has_run_for_a_while_places_flows_at_once():
    balancer = make_balancer(pending=0)
    now = START + LEARNING_SECONDS
    balancer.handle_status("10.0.2.1", make_status(), now)
    assert len(balancer.handle_packet(syn_segment(make_key()), now)) == 1
