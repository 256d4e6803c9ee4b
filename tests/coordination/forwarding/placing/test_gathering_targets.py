"""A balancer that has just started waits for the words of several targets."""

import random

import pytest

from ibisshunt.coordination.forwarding.balancer import Balancer
from ibisshunt.coordination.forwarding.messages import Status, TargetState
from ibisshunt.coordination.forwarding.placing.targets import (
    GATHER_SECONDS,
    LEARN_SECONDS,
)
from tests.forwarding_world import SERVICE, make_key, make_table, open_segment

START = 9.0
# What a status takes on an entry host's link of 2 Mbit/s.
APART_SECONDS = 0.0004


def make_status(number=1):
    return Status(1, number, SERVICE, TargetState.OPEN, 1, 0, 0, 20_000, 0, 1)


def make_balancer(seed=1, waiting=10):
    """Return a balancer that has just started, with new flows that wait for targets."""
    balancer = Balancer(random.Random(seed).random, now=START)
    balancer.take_routes(make_table())
    for port in range(40_000, 40_000 + waiting):
        assert balancer.take(open_segment(make_key(port)), START + 0.1) == []
    return balancer


def hear(balancer, targets, now, apart=APART_SECONDS):
    """Let targets speak one after the other; return where flows go, and the time."""
    placed = []
    for number in range(targets):
        balancer.learn(f"10.0.2.{number}", make_status(), now)
        placed += [action.peer for action in balancer.open_again(now)]
        now += apart
    return placed, now


def finish(balancer, now):
    """Return where flows go once the words have come in."""
    return [action.peer for action in balancer.open_again(now + 0.011)]


def test_a_fleet_of_balancers_does_not_send_all_that_waits_to_the_first_target():
    # A fleet is back after an outage. The agents speak to sixty balancers at the same
    # time, in about the same order, and each balancer has ten flows that waited. With
    # the first word all of them would go to one target: most come back as refused,
    # on links that are thin, and callers wait for the next try.
    loads = {}
    for seed in range(60):
        balancer = make_balancer(seed)
        early, now = hear(balancer, 100, START + 0.2)
        for peer in early + finish(balancer, now):
            loads[peer] = loads.get(peer, 0) + 1
    mean = sum(loads.values()) / 100
    assert sum(loads.values()) == 600
    assert max(loads.values()) <= 3 * mean


def test_flows_wait_no_longer_than_the_words_take():
    balancer = make_balancer()
    _, now = hear(balancer, 200, START + 0.2, apart=0.002)
    assert now > START + 0.2 + GATHER_SECONDS
    assert not balancer.state.openings


@pytest.mark.parametrize("targets", [1, 3])
def test_flows_do_not_wait_once_all_that_are_listed_have_spoken(targets):
    # A small fleet: nobody else will speak.
    balancer = make_balancer(waiting=1)
    for number in range(targets):
        balancer.expect(f"10.0.2.{number}", START + 0.1)
    placed, _ = hear(balancer, targets, START + 0.2)
    assert len(placed) == 1


def test_a_balancer_that_has_run_for_a_while_waits_for_nobody():
    balancer = make_balancer(waiting=0)
    now = START + LEARN_SECONDS
    balancer.learn("10.0.2.1", make_status(), now)
    assert len(balancer.take(open_segment(make_key()), now)) == 1
