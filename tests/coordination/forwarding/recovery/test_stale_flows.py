"""Flows whose target has ended are reset before their callers use them again."""

from msgspec.structs import replace

from ibisshunt.coordination.forwarding.messages import Deliver
from ibisshunt.coordination.forwarding.recovery.stale_flows import SEARCHES_PER_TICK
from tests.forwarding_world import HEARTBEAT, World, data_segment, make_key

BALANCER, OTHER_BALANCER = "10.0.1.0", "10.0.1.1"
START_TIME_MS = 1_700_000_000_000


def restart_target(world, address):
    """Let a target crash and restart; its agent runs on and gets its heartbeat.

    Its flows are older than the delay of a late heartbeat.
    """
    world.wait(2 * HEARTBEAT)
    world.targets[address].flows.clear()
    agent = world.agents[address]
    start_time_ms = (agent.current_heartbeat.start_time_ms or START_TIME_MS) + 5000
    agent.handle_heartbeat(
        replace(agent.current_heartbeat, sequence=1, start_time_ms=start_time_ms),
        world.now,
    )
    # Heartbeats without a start time are rejected from here on.
    world.send_statuses()


def send_start_times(world):
    """Let all targets send heartbeats with their start times."""
    for agent in world.agents.values():
        heartbeat = agent.current_heartbeat
        agent.handle_heartbeat(
            replace(
                heartbeat, sequence=heartbeat.sequence, start_time_ms=START_TIME_MS
            ),
            world.now,
        )
    world.send_statuses()


def test_idle_flows_of_a_restarted_target_are_reset_before_they_are_used():
    # Callers keep idle flows at a target that crashes and restarts. A request that must
    # not be sent twice would be lost on such a flow. The balancer gets the new start
    # time and resets them at once; flows to other targets go on.
    world = World(targets=3)
    send_start_times(world)
    holders = world.open_flows(BALANCER, 12)
    restarted = next(iter(holders.values()))
    restart_target(world, restarted)
    world.wait(0.5)
    ended = {key for key, address in holders.items() if address == restarted}
    assert {reset.segment.key for reset in world.resets} == ended
    assert len(world.resets) == len(ended)


def test_idle_flows_of_a_target_that_has_left_are_reset():
    # A target drains, sends its leave message and stops, with idle flows open. It may
    # still run for a moment after that message, in which no flow is reset.
    world = World(targets=3)
    holders = world.open_flows(BALANCER, 12)
    stopped = next(iter(holders.values()))
    world.targets[stopped].is_running = False
    world.agents[stopped].handle_leave(world.agents[stopped].current_heartbeat.name)
    world.send_statuses()
    world.wait(0.4)
    assert not world.resets
    world.wait(0.6)
    ended = {key for key, address in holders.items() if address == stopped}
    assert {reset.segment.key for reset in world.resets} == ended


def test_flows_closed_by_their_callers_are_not_searched():
    # Guards against queries about closed flows that saturate a thin link when most
    # targets of a service restart, while open flows wait behind them.
    world = World(targets=1)
    send_start_times(world)
    address, number = world.open(BALANCER)
    world.send(BALANCER, data_segment(make_key(), number))
    end = replace(data_segment(make_key(), number, 1018, b""), is_fin=True)
    world.send(BALANCER, end)
    restart_target(world, address)
    world.wait(0.5)
    assert not world.resets
    assert not world.answer_messages


def test_a_flow_that_another_target_holds_is_not_reset():
    # Two targets answered copies of one SYN, and the balancer recorded the one that the
    # caller did not accept. That one restarts: the flow's holder is searched, and it is
    # not reset.
    world = World(targets=2)
    send_start_times(world)
    address, number = world.open(BALANCER)
    other = next(found for found in world.agents if found != address)
    world.send(BALANCER, data_segment(make_key(), number))
    world.balancers[BALANCER].flows[make_key()].address = other
    restart_target(world, other)
    world.wait(0.5)
    assert not world.resets
    world.send(BALANCER, data_segment(make_key(), number, 1017))
    assert len(world.targets[address].received) == 2


def test_a_restart_of_the_agent_alone_ends_no_flow():
    # Only the agent restarts. It reports no incarnation until it gets a heartbeat, and
    # the same one afterwards: no flow is suspected.
    world = World(targets=2)
    address, number = world.open(BALANCER)
    world.send(BALANCER, data_segment(make_key(), number))
    heartbeat = world.agents[address].current_heartbeat
    world.agents[address] = world.make_agent()
    world.send_statuses()
    world.agents[address].handle_heartbeat(replace(heartbeat, sequence=90), world.now)
    world.send_statuses()
    known = world.balancers[BALANCER].targets[address]
    assert known.status.agent_start_ms == int(1000 * world.now)
    assert known.status.incarnation
    assert not world.balancers[BALANCER].stale_flows.suspects
    world.wait(0.5)
    assert not world.resets


def test_flows_of_a_restarted_target_are_kept_if_its_agent_restarted_too():
    # Host, agent and target restart. The agent has missed the target's first heartbeats
    # and cannot tell what it holds. Without a packet to probe with nothing is proved,
    # so the flow is not reset before its caller's next packet.
    world = World(targets=2)
    send_start_times(world)
    address, number = world.open(BALANCER)
    world.send(BALANCER, data_segment(make_key(), number))
    heartbeat = world.agents[address].current_heartbeat
    world.targets[address].flows.clear()
    world.agents[address] = world.make_agent()
    world.agents[address].handle_heartbeat(
        replace(heartbeat, sequence=5, start_time_ms=START_TIME_MS + 5000), world.now
    )
    world.send_statuses()
    world.wait(0.5)
    assert not world.resets
    # Without a packet no target is probed, and no search goes on waiting for one.
    assert not world.balancers[BALANCER].searches
    assert not any(target.unknown_flow_packets for target in world.targets.values())
    world.send(BALANCER, data_segment(make_key(), number, 1017))
    world.wait(0.2)
    assert [reset.reason for reset in world.resets] == ["held_by_nobody"]


def test_a_packet_of_a_suspect_flow_is_delivered_once():
    # The caller uses a suspect flow while its holder is searched, and the target that
    # restarted holds it. The packet must be delivered once.
    world = World(targets=2)
    send_start_times(world)
    address, number = world.open(BALANCER)
    world.send(BALANCER, data_segment(make_key(), number))
    balancer = world.balancers[BALANCER]
    balancer.stale_flows.suspects.add([make_key()], world.now)
    world.unreachable.add(address)
    world.carry_out(BALANCER, balancer.tick(world.now))
    world.send(BALANCER, data_segment(make_key(), number, 1017))
    world.unreachable.clear()
    world.wait(0.3)
    assert len(world.targets[address].received) == 2
    assert not world.resets


def test_suspect_flows_are_searched_a_few_at_a_time():
    # A target with many flows ends: the queries must not saturate a thin host's link at
    # the moment when its callers come back.
    world = World(targets=1)
    send_start_times(world)
    world.open_flows(BALANCER, 40)
    (address,) = world.agents
    restart_target(world, address)
    world.sent.clear()
    world.carry_out(BALANCER, world.balancers[BALANCER].tick(world.now))
    queries = [sent for sent in world.sent if not isinstance(sent.message, Deliver)]
    # Each query and answer has some 100 bytes: a tick each 20 ms may not take more than
    # a tenth of a link of 2.2 Mbit/s.
    assert 0 < len(queries) <= SEARCHES_PER_TICK
    assert len(queries) * 100 * 8 * 50 <= 0.1 * 2.2e6
    world.wait(1.0)
    assert len(world.resets) == 40


def test_a_flow_that_the_new_incarnation_may_hold_stays():
    # Guards against a search for an open flow whose caller pauses: its target accepted
    # it before its first heartbeat, so that no agent can tell which incarnation holds
    # it.
    world = World(targets=2)
    send_start_times(world)
    world.wait(0.5)
    world.now += 0.01
    address, number = world.open(BALANCER)
    world.send(BALANCER, data_segment(make_key(), number))
    agent = world.agents[address]
    start_time_ms = agent.current_heartbeat.start_time_ms + 5000
    agent.handle_heartbeat(
        replace(agent.current_heartbeat, sequence=1, start_time_ms=start_time_ms),
        world.now,
    )
    world.send_statuses()
    world.wait(0.5)
    assert not world.resets
    assert world.balancers[BALANCER].flows[make_key()].address == address
    world.answer_messages.clear()
    world.send(BALANCER, data_segment(make_key(), number, 1017))
    assert len(world.targets[address].received) == 2
    assert not world.answer_messages


def test_a_flow_that_its_target_does_not_hold_is_not_kept():
    # Guards against packets sent to a target that does not hold their flow, while an
    # agent that started after the flow cannot tell.
    world = World(targets=2)
    send_start_times(world)
    address, number = world.open(BALANCER)
    world.send(BALANCER, data_segment(make_key(), number))
    other = next(found for found in world.agents if found != address)
    world.agents[other] = world.make_agent()
    world.send_heartbeat(other, number=9, name="i-other")
    restart_target(world, address)
    world.wait(0.5)
    assert not world.resets
    assert make_key() not in world.balancers[BALANCER].flows
