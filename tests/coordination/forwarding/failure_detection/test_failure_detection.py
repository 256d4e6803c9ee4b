"""Hosts that fail, and conditions that must not be mistaken for a failure."""

import random

import pytest

from ibisshunt.coordination.forwarding.failure_detection.suspect_pinger import (
    ANSWER_MARGIN_SECONDS,
    MAX_SUSPECTS,
    SuspectPinger,
)
from ibisshunt.coordination.forwarding.messages import Ping, ResetFlow, SendMessage
from ibisshunt.coordination.forwarding.placement.target import MAX_PAUSE_SECONDS
from tests.forwarding_world import World, data_segment, make_key, syn_segment

FIRST = "10.0.1.0"
# Retransmission timeout of a caller. Unit: seconds.
RETRANSMISSION = 0.2
STEP = 0.01


def run(world, seconds, lose=lambda sent: False):
    """Advance time in small steps; statuses come every 0.4 s as in ``wait``."""
    end = world.now + seconds
    balancer = world.balancers[FIRST]
    while world.now < end:
        world.now += STEP
        if world.now >= world.next_status_at:
            world.next_status_at = world.now + 0.4
            world.send_statuses()
        actions = balancer.tick(world.now)
        world.carry_out(FIRST, [sent for sent in actions if not lose(sent)])


def make_world(retryable=True, targets=4):
    """Return a world with an idle flow, its target's address and its next ack."""
    world = World(targets=targets, retryable=retryable)
    address, ack = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), ack))
    run(world, 1.0)
    return world, address, ack


def send_request(world, ack, sequence=1017):
    """Let the caller send a request on its flow."""
    world.send(FIRST, data_segment(make_key(), ack, sequence))


def request_and_retransmit(world, ack):
    """Let the caller send a request and retransmit it, as it does without an answer."""
    send_request(world, ack)
    run(world, RETRANSMISSION)
    send_request(world, ack)


def test_a_flow_is_reset_in_time_when_its_host_fails():
    # A host fails. A caller sends a request on its open flow, and retransmits it after
    # 0.2 s. It may retry elsewhere and has one second in all: it gets a reset within
    # half of that, without a second retransmission.
    world, address, ack = make_world()
    world.unreachable.add(address)
    request_and_retransmit(world, ack)
    run(world, 0.3)
    assert len(world.resets) == 1


def test_idle_flows_of_a_failed_host_are_reset_before_they_are_used():
    # No request is sent on the flow of a host that failed. It is reset all the same:
    # the next request on it may be one that must not be retried.
    world, address, _ = make_world(retryable=False)
    world.unreachable.add(address)
    run(world, 1.5)
    assert len(world.resets) == 1


def test_a_caller_that_may_not_retry_keeps_its_flow_while_it_waits():
    # The agent is killed and restarts while its target runs on, and a request that must
    # not be retried is in flight. A reset would lose the request; the answer comes once
    # the agent is back.
    world, address, ack = make_world(retryable=False)
    world.unreachable.add(address)
    request_and_retransmit(world, ack)
    run(world, 0.25)
    assert world.balancers[FIRST].targets[address].is_unresponsive
    send_request(world, ack)
    assert not world.resets
    world.unreachable.clear()
    world.send_statuses()
    send_request(world, ack)
    run(world, 1.0)
    assert len(world.targets[address].received) == 2
    assert not world.resets


def test_a_syn_copy_goes_to_another_target_when_the_first_is_silent():
    # The host that a new flow was sent to failed just before. The caller's SYN copy
    # after 0.2 s is its last but one: it must reach a target that answers.
    world = World(targets=4)
    run(world, 1.0)
    balancer = world.balancers[FIRST]
    world.unreachable = set(world.agents)
    world.send(FIRST, syn_segment(make_key()))
    silent = balancer.flows[make_key()].address
    world.unreachable = {silent}
    assert not world.sent_to_callers
    run(world, RETRANSMISSION)
    world.send(FIRST, syn_segment(make_key()))
    assert [address != silent for address, _ in world.sent_to_callers] == [True]


def test_a_suspected_target_gets_no_new_flow_until_its_next_status():
    # A target is suspected because an answer was lost. It gets no new flow until its
    # agent's next message; its open flow continues.
    world, address, ack = make_world(targets=2)
    request_and_retransmit(world, ack)
    assert world.balancers[FIRST].targets[address].is_suspected
    for port in range(41_001, 41_021):
        world.send(FIRST, syn_segment(make_key(port)))
    assert not any(
        flow.address == address
        for key, flow in world.balancers[FIRST].flows.items()
        if key != make_key()
    )
    run(world, 0.05)
    assert not world.balancers[FIRST].targets[address].is_suspected
    assert not world.resets


def test_a_slow_agent_does_not_count_as_unresponsive():
    # The host of an agent has used up its CPU quota and answers each ping after about
    # 90 ms. Its flow must not be reset.
    pinger = SuspectPinger()
    pinger.add_suspect("10.0.2.1", ("10.0.2.2",), 0.0)
    now, due = 0.0, []
    while now < 2.0:
        due += [(now + 0.002, peer, sent) for peer, sent in pinger.make_pings(now)]
        for at, peer, sent in due:
            late = ANSWER_MARGIN_SECONDS - 0.01 if peer == "10.0.2.1" else 0.0
            if at + late <= now < at + late + STEP:
                pinger.handle_pong(peer, sent.sequence, now)
        assert not any(found.is_unresponsive for found in pinger.pop_verdicts(now))
        now += STEP


def test_a_balancer_that_is_cut_off_finds_no_agent_unresponsive():
    # The balancer itself is cut off, or its link is congested: no agent answers. That
    # proves nothing, and no flow is reset before the agents count as lost.
    world, _, ack = make_world()
    world.unreachable = set(world.agents)
    request_and_retransmit(world, ack)
    run(world, 1.0)
    assert not any(
        found.is_unresponsive for found in world.balancers[FIRST].targets.values()
    )
    assert not world.resets


def test_one_lost_round_proves_nothing():
    # A bad link may lose a ping, or its answer, and the next ones too, while others
    # answer. Three missed rounds are needed, each 0.1 s after another agent's answer.
    pinger = SuspectPinger()
    pinger.add_suspect("10.0.2.1", ("10.0.2.2",), 0.0)
    for now in (0.0, 0.5, 1.0):
        for peer, sent in pinger.make_pings(now):
            if peer == "10.0.2.2":
                pinger.handle_pong(peer, sent.sequence, now)
        assert not pinger.pop_verdicts(now + 0.09)
    (verdict,) = pinger.pop_verdicts(1.11)
    assert verdict.is_unresponsive


def test_late_answers_of_all_agents_prove_nothing():
    # A congested link delays every datagram by 0.3 s. The suspected agent answers as
    # late as the others do, after three and more rounds: it is not unresponsive.
    pinger = SuspectPinger()
    pinger.add_suspect("10.0.2.1", ("10.0.2.2", "10.0.2.3"), 0.0)
    now, due = 0.0, []
    while now < 2.0:
        due += [(now + 0.3, peer, sent) for peer, sent in pinger.make_pings(now)]
        for at, peer, sent in due:
            if at <= now < at + STEP:
                pinger.handle_pong(peer, sent.sequence, now)
        assert not any(found.is_unresponsive for found in pinger.pop_verdicts(now))
        now += STEP


def test_a_link_that_loses_a_tenth_breaks_no_flow():
    # A link loses one packet in ten, so callers retransmit all the time, and each
    # retransmission makes the balancer suspect the agent. No flow of a running target
    # is reset.
    world, address, ack = make_world()
    drawn = random.Random(5)

    def lose(sent):
        is_ping = isinstance(sent, SendMessage) and isinstance(sent.message, Ping)
        return is_ping and drawn.random() < 0.19

    for step in range(60):
        send_request(world, ack, 1017 + 20 * step)
        run(world, RETRANSMISSION, lose)
        send_request(world, ack, 1017 + 20 * step)
    assert not world.resets
    assert world.balancers[FIRST].flows[make_key()].address == address


def test_an_agent_that_announced_its_restart_is_not_suspected():
    # An agent is restarted as planned and announces it. Callers' retransmissions during
    # the restart must not end their flows, whose target runs on.
    world, address, ack = make_world()
    world.agents[address].pause(world.now)
    world.send_statuses()
    world.unreachable.add(address)
    request_and_retransmit(world, ack)
    run(world, MAX_PAUSE_SECONDS / 2)
    assert not world.resets
    assert not world.balancers[FIRST].failure_detector.suspect_pinger


def test_a_host_that_freezes_briefly_keeps_its_flows():
    # A host freezes for 0.15 s, less than what proves a failure. Its flows continue.
    world, address, ack = make_world()
    world.unreachable.add(address)
    send_request(world, ack)
    run(world, 0.15)
    world.unreachable.clear()
    run(world, RETRANSMISSION - 0.15)
    send_request(world, ack)
    run(world, 1.0)
    assert not world.resets
    assert world.targets[address].received


def test_a_host_that_recovers_gets_new_flows_and_keeps_those_not_yet_reset():
    # A host was silent for long enough to count as failed, and recovers before all of
    # its flows were reset: the rest of them continue with its first status.
    world, address, ack = make_world(retryable=False)
    world.unreachable.add(address)
    request_and_retransmit(world, ack)
    run(world, 0.25)
    target = world.balancers[FIRST].targets[address]
    assert target.is_unresponsive
    assert len(world.balancers[FIRST].stale_flows.suspects) == 1
    world.unreachable.clear()
    world.send_statuses()
    assert not world.balancers[FIRST].stale_flows.suspects
    run(world, 1.0)
    assert target.accepts_new_flows(world.now)
    assert not world.resets


def test_pings_are_bounded_when_many_hosts_fail():
    # Half of the hosts of a service fail. In no tenth of a second may pings, of about
    # 60 bytes with network headers, use more than a tenth of a balancer's link of 2.2
    # Mbit/s; still all failures are detected within two seconds.
    world = World(targets=40)
    run(world, 1.0)
    failed = set(list(world.agents)[:20])
    world.unreachable = failed
    most = 0.1 * 0.1 * 2.2e6 / (60 * 8)
    pinged_at = []

    def count(sent):
        if not isinstance(sent, ResetFlow) and isinstance(sent.message, Ping):
            pinged_at.append(world.now)
            lately = [at for at in pinged_at if world.now - at < 0.1]
            assert len(lately) <= most
        return False

    run(world, 2.0, count)
    assert pinged_at
    targets = world.balancers[FIRST].targets
    heard = targets.keys() - failed
    assert all(targets[address].is_silent(world.now) for address in failed)
    assert not any(targets[address].is_silent(world.now) for address in heard)


@pytest.mark.parametrize(("targets", "share"), [(40, 0.5), (136, 0.15), (800, 0.025)])
def test_hosts_that_fail_together_are_detected_together(targets, share):
    # A switch fails and twenty hosts are cut off at once. Callers with open flows there
    # retransmit after 0.2 s. If only four were checked at a time, the last failure
    # would be detected after a second, when its callers have no time left to retry
    # elsewhere.
    world = World(targets=targets)
    run(world, 1.0)
    failed = list(world.agents)[: int(share * targets)]
    assert len(failed) == MAX_SUSPECTS
    world.unreachable = set(failed)
    run(world, 0.2)
    balancer = world.balancers[FIRST]
    for address in failed:
        balancer.failure_detector.suspect(balancer.targets[address], world.now)
    run(world, 0.5)
    assert all(balancer.targets[address].is_unresponsive for address in failed)
    heard = balancer.targets.keys() - set(failed)
    assert not any(balancer.targets[address].is_unresponsive for address in heard)


def test_a_packet_duplicated_by_the_network_raises_no_suspicion():
    # The network duplicates a packet: a copy that comes so soon is no retransmission.
    world, address, ack = make_world()
    world.now += 0.15
    send_request(world, ack)
    world.now += 0.01
    send_request(world, ack)
    assert not world.balancers[FIRST].targets[address].is_suspected


def test_a_target_with_a_recent_status_is_not_suspected():
    world, address, ack = make_world()
    send_request(world, ack)
    world.now += RETRANSMISSION
    status = world.agents[address].make_status(world.now)
    world.balancers[FIRST].handle_status(address, status, world.now)
    send_request(world, ack)
    assert not world.balancers[FIRST].targets[address].is_suspected
