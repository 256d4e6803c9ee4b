"""Hosts that fall silent, and what must not be taken for that."""

import random

import pytest

from ibisshunt.coordination.forwarding.messages import Ping, Reset, Send
from ibisshunt.coordination.forwarding.placing.placement import PAUSE_SECONDS
from ibisshunt.coordination.forwarding.silence.suspicion import (
    MARGIN_SECONDS,
    MAX_DOUBTS,
    Suspicions,
)
from tests.forwarding_world import World, data_segment, make_key, open_segment

FIRST = "10.0.1.0"
# When a caller sends again what was not acknowledged. Unit: seconds.
REPEAT = 0.2
STEP = 0.01


def run(world, seconds, lose=lambda sent: False):
    """Let time go by in small steps; statuses come each 0.4 s as in ``wait``."""
    end = world.now + seconds
    balancer = world.balancers[FIRST]
    while world.now < end:
        world.now += STEP
        if world.now >= world.tell_at:
            world.tell_at = world.now + 0.4
            world.tell_all()
        actions = balancer.sweep(world.now)
        world.carry_out(FIRST, [sent for sent in actions if not lose(sent)])


def make_world(repeatable=True, targets=4):
    """Return a world with an idle flow; its target's address and its number."""
    world = World(targets=targets, repeatable=repeatable)
    address, number = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), number))
    run(world, 1.0)
    return world, address, number


def ask(world, number, sequence=1017):
    """Let the caller send a request on its flow."""
    world.send(FIRST, data_segment(make_key(), number, sequence))


def ask_twice(world, number):
    """Let the caller send a request, and repeat it as it does without an answer."""
    ask(world, number)
    run(world, REPEAT)
    ask(world, number)


def test_a_caller_hears_in_time_that_the_host_of_its_flow_went_dark():
    # A host goes dark. A caller asks on its open flow, and repeats after 0.2 s. It may
    # ask again elsewhere, and has a second in all: it is told within half of that, and
    # need not repeat once more to hear of it.
    world, address, number = make_world()
    world.silent.add(address)
    ask_twice(world, number)
    run(world, 0.3)
    assert len(world.resets) == 1


def test_idle_flows_of_a_dark_host_are_reset_before_they_are_used():
    # Nobody asks anything on the flow of a host that went dark. It is reset all the
    # same: the next request on it may be one that must not be sent twice.
    world, address, _ = make_world(repeatable=False)
    world.silent.add(address)
    run(world, 1.5)
    assert len(world.resets) == 1


def test_a_caller_that_may_not_ask_twice_keeps_its_flow_while_it_waits():
    # The agent is killed and starts again beside its living target, with a request of a
    # caller under way that must not be sent twice. A reset would lose it for good; the
    # answer comes once the agent is back.
    world, address, number = make_world(repeatable=False)
    world.silent.add(address)
    ask_twice(world, number)
    run(world, 0.25)
    assert world.balancers[FIRST].targets[address].is_deaf
    ask(world, number)
    assert not world.resets
    world.silent.clear()
    world.tell_all()
    ask(world, number)
    run(world, 1.0)
    assert len(world.targets[address].taken) == 2
    assert not world.resets


def test_the_copy_of_an_opening_packet_goes_elsewhere_when_its_target_is_silent():
    # The host that a new flow was sent to went dark just before. The caller's copy
    # after 0.2 s is its last but one: it must reach a target that answers.
    world = World(targets=4)
    run(world, 1.0)
    balancer = world.balancers[FIRST]
    world.silent = set(world.agents)
    world.send(FIRST, open_segment(make_key()))
    silent = balancer.flows[make_key()].address
    world.silent = {silent}
    assert not world.to_callers
    run(world, REPEAT)
    world.send(FIRST, open_segment(make_key()))
    assert [address != silent for address, _ in world.to_callers] == [True]


def test_a_doubted_target_gets_no_new_flow_and_is_trusted_again_at_once():
    # A target is doubted for a while because an answer was lost. It gets no new flow
    # meanwhile, and does again with its agent's first word; its open flow goes on.
    world, address, number = make_world(targets=2)
    ask_twice(world, number)
    assert world.balancers[FIRST].targets[address].is_doubted
    for port in range(41_001, 41_021):
        world.send(FIRST, open_segment(make_key(port)))
    assert not any(
        flow.address == address
        for key, flow in world.balancers[FIRST].flows.items()
        if key != make_key()
    )
    run(world, 0.05)
    assert not world.balancers[FIRST].targets[address].is_doubted
    assert not world.resets


def test_a_slow_agent_is_not_taken_for_silent():
    # The host of an agent has used up its processor share and answers each ping after
    # some 90 ms. Its flow must not be reset.
    suspicions = Suspicions()
    suspicions.begin("10.0.2.1", ("10.0.2.2",), 0.0)
    now, due = 0.0, []
    while now < 2.0:
        due += [(now + 0.002, peer, sent) for peer, sent in suspicions.ping(now)]
        for at, peer, sent in due:
            late = MARGIN_SECONDS - 0.01 if peer == "10.0.2.1" else 0.0
            if at + late <= now < at + late + STEP:
                suspicions.take_pong(peer, sent.number, now)
        assert not any(found.is_silent for found in suspicions.judge(now))
        now += STEP


def test_a_balancer_that_hears_nobody_takes_nobody_for_silent():
    # The balancer itself is cut off, or its link is full: no agent answers. Nothing is
    # proved by that, and no flow is reset before agents count as lost.
    world, _, number = make_world()
    world.silent = set(world.agents)
    ask_twice(world, number)
    run(world, 1.0)
    assert not any(found.is_deaf for found in world.balancers[FIRST].targets.values())
    assert not world.resets


def test_one_lost_round_proves_nothing():
    # One ping, or its answer, is lost, and the next two as well, while others answer:
    # that happens on a bad link. Three are needed, each 0.1 s after the others' answer.
    suspicions = Suspicions()
    suspicions.begin("10.0.2.1", ("10.0.2.2",), 0.0)
    for now in (0.0, 0.5, 1.0):
        for peer, sent in suspicions.ping(now):
            if peer == "10.0.2.2":
                suspicions.take_pong(peer, sent.number, now)
        assert not suspicions.judge(now + 0.09)
    (verdict,) = suspicions.judge(1.11)
    assert verdict.is_silent


def test_answers_that_are_late_for_all_prove_nothing():
    # A full link delays every datagram by 0.3 s. The doubted agent answers as late as
    # the others do, after three and more rounds: it is not silent.
    suspicions = Suspicions()
    suspicions.begin("10.0.2.1", ("10.0.2.2", "10.0.2.3"), 0.0)
    now, due = 0.0, []
    while now < 2.0:
        due += [(now + 0.3, peer, sent) for peer, sent in suspicions.ping(now)]
        for at, peer, sent in due:
            if at <= now < at + STEP:
                suspicions.take_pong(peer, sent.number, now)
        assert not any(found.is_silent for found in suspicions.judge(now))
        now += STEP


def test_a_link_that_loses_a_tenth_breaks_no_flow():
    # A link loses one packet in ten, callers repeat all the time, and each repeat makes
    # the balancer doubt. No flow of a living target is reset.
    world, address, number = make_world()
    drawn = random.Random(5)

    def lose(sent):
        is_ping = isinstance(sent, Send) and isinstance(sent.message, Ping)
        return is_ping and drawn.random() < 0.19

    for step in range(60):
        ask(world, number, 1017 + 20 * step)
        run(world, REPEAT, lose)
        ask(world, number, 1017 + 20 * step)
    assert not world.resets
    assert world.balancers[FIRST].flows[make_key()].address == address


def test_an_agent_that_announced_its_restart_is_not_doubted():
    # An agent is restarted as planned and says so. Callers' repeats meanwhile must not
    # end their flows, whose target runs on.
    world, address, number = make_world()
    world.agents[address].pause(world.now)
    world.tell_all()
    world.silent.add(address)
    ask_twice(world, number)
    run(world, PAUSE_SECONDS / 2)
    assert not world.resets
    assert not world.balancers[FIRST].silence.suspicions


def test_a_host_that_freezes_and_wakes_keeps_the_flows_that_were_not_told():
    # A host stands still for 0.15 s, less than what proves silence. Its flows go on.
    world, address, number = make_world()
    world.silent.add(address)
    ask(world, number)
    run(world, 0.15)
    world.silent.clear()
    run(world, REPEAT - 0.15)
    ask(world, number)
    run(world, 1.0)
    assert not world.resets
    assert world.targets[address].taken


def test_a_host_that_wakes_gets_new_flows_and_its_untold_flows_go_on():
    # A host was silent for long enough to be left, and wakes before all of its flows
    # were reset: with its first word the rest of them go on.
    world, address, number = make_world(repeatable=False)
    world.silent.add(address)
    ask_twice(world, number)
    run(world, 0.25)
    target = world.balancers[FIRST].targets[address]
    assert target.is_deaf
    assert len(world.balancers[FIRST].ended.doubtful) == 1
    world.silent.clear()
    world.tell_all()
    assert not world.balancers[FIRST].ended.doubtful
    run(world, 1.0)
    assert target.is_candidate(world.now)
    assert not world.resets


def test_doubts_are_bounded_when_many_hosts_go_dark():
    # Half of a service goes dark. In no tenth of a second may pings, of some 60 bytes
    # with the heads of the network, take more than a tenth of a thin host's link of
    # 2.2 Mbit/s; still all are found out within two seconds.
    world = World(targets=40)
    run(world, 1.0)
    dark = set(list(world.agents)[:20])
    world.silent = dark
    most = 0.1 * 0.1 * 2.2e6 / (60 * 8)
    pinged_at = []

    def count(sent):
        if not isinstance(sent, Reset) and isinstance(sent.message, Ping):
            pinged_at.append(world.now)
            lately = [at for at in pinged_at if world.now - at < 0.1]
            assert len(lately) <= most
        return False

    run(world, 2.0, count)
    assert pinged_at
    targets = world.balancers[FIRST].targets
    heard = targets.keys() - dark
    assert all(targets[address].is_silent(world.now) for address in dark)
    assert not any(targets[address].is_silent(world.now) for address in heard)


@pytest.mark.parametrize(("targets", "share"), [(40, 0.5), (136, 0.15), (800, 0.025)])
def test_hosts_that_go_dark_together_are_proved_silent_together(targets, share):
    # A switch fails and twenty hosts are cut off at once. Callers with open flows there
    # repeat after 0.2 s. Proved silent four at a time, the last of them was found out
    # after a second, when its callers had no time left to be served elsewhere.
    world = World(targets=targets)
    run(world, 1.0)
    dark = list(world.agents)[: int(share * targets)]
    assert len(dark) == MAX_DOUBTS
    world.silent = set(dark)
    run(world, 0.2)
    balancer = world.balancers[FIRST]
    for address in dark:
        balancer.silence.doubt(balancer.targets[address], world.now)
    run(world, 0.5)
    assert all(balancer.targets[address].is_deaf for address in dark)
    heard = balancer.targets.keys() - set(dark)
    assert not any(balancer.targets[address].is_deaf for address in heard)


def test_a_repeat_of_a_network_copy_is_no_sign():
    # The network doubles a packet: its copy comes a moment later and tells nothing.
    world, address, number = make_world()
    world.now += 0.15
    ask(world, number)
    world.now += 0.01
    ask(world, number)
    assert not world.balancers[FIRST].targets[address].is_doubted


def test_a_target_heard_just_now_is_not_doubted():
    world, address, number = make_world()
    ask(world, number)
    world.now += REPEAT
    status = world.agents[address].report(world.now)
    world.balancers[FIRST].learn(address, status, world.now)
    ask(world, number)
    assert not world.balancers[FIRST].targets[address].is_doubted
