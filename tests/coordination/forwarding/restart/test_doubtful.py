"""Flows whose target has ended, before their callers use them again."""

from msgspec.structs import replace

from ibisshunt.coordination.forwarding.messages import Deliver
from ibisshunt.coordination.forwarding.restart.ending import DOUBTS_PER_SWEEP
from tests.forwarding_world import HEARTBEAT, World, data_segment, make_key

FIRST, SECOND = "10.0.1.0", "10.0.1.1"
BORN = 1_700_000_000_000


def start_again(world, address):
    """Let a target crash and start again; its agent runs on and hears it.

    Its flows are older than a heartbeat that is under way may be.
    """
    world.wait(2 * HEARTBEAT)
    world.targets[address].flows.clear()
    agent = world.agents[address]
    born = (agent.present.born or BORN) + 5000
    agent.announce(replace(agent.present, number=1, born=born), world.now)
    # Words without a start are refused from here on.
    world.tell_all()


def tell_born(world):
    """Let all targets tell when they started."""
    for agent in world.agents.values():
        known = agent.present
        agent.announce(replace(known, number=known.number, born=BORN), world.now)
    world.tell_all()


def test_idle_flows_of_a_reborn_target_are_reset_before_they_are_used():
    # Callers keep idle flows at a target that crashes and starts again. A request that
    # must not be sent twice is lost when its caller sends it on such a flow. The
    # balancer hears of the new start and resets them at once; other flows go on.
    world = World(targets=3)
    tell_born(world)
    homes = world.open_flows(FIRST, 12)
    reborn = next(iter(homes.values()))
    start_again(world, reborn)
    world.wait(0.5)
    over = {key for key, address in homes.items() if address == reborn}
    assert {reset.segment.key for reset in world.resets} == over
    assert len(world.resets) == len(over)


def test_idle_flows_of_a_target_that_has_left_are_reset():
    # A target drains, says its last word and goes, with idle flows open. It may still
    # run for a moment after that word, in which no flow is reset.
    world = World(targets=3)
    homes = world.open_flows(FIRST, 12)
    left = next(iter(homes.values()))
    world.targets[left].is_there = False
    world.agents[left].leave(world.agents[left].present.name)
    world.tell_all()
    world.wait(0.4)
    assert not world.resets
    world.wait(0.6)
    over = {key for key, address in homes.items() if address == left}
    assert {reset.segment.key for reset in world.resets} == over


def test_flows_that_their_callers_have_ended_are_not_asked_for():
    # Guards against a thin link that is full of questions about closed flows at the
    # moment when most targets of a service start again, and open ones wait behind them.
    world = World(targets=1)
    tell_born(world)
    address, number = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), number))
    end = replace(data_segment(make_key(), number, 1018, b""), finishes=True)
    world.send(FIRST, end)
    start_again(world, address)
    world.wait(0.5)
    assert not world.resets
    assert not world.told


def test_a_flow_that_another_target_holds_outlives_the_end_of_the_first():
    # Two targets answered copies of one opening packet, and the balancer remembers the
    # one that the caller did not take. That one starts anew: the flow is asked for
    # everywhere and is not reset.
    world = World(targets=2)
    tell_born(world)
    address, number = world.open(FIRST)
    other = next(found for found in world.agents if found != address)
    world.send(FIRST, data_segment(make_key(), number))
    world.balancers[FIRST].flows[make_key()].address = other
    start_again(world, other)
    world.wait(0.5)
    assert not world.resets
    world.send(FIRST, data_segment(make_key(), number, 1017))
    assert len(world.targets[address].taken) == 2


def test_a_restarted_agent_beside_a_living_target_ends_no_flow():
    # Only the agent restarts: the incarnation it tells of is the same, and before it
    # has heard its target it tells of none. Nothing is doubted.
    world = World(targets=2)
    tell_born(world)
    address, number = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), number))
    known = world.agents[address].present
    world.agents[address] = world.make_agent()
    world.tell_all()
    world.agents[address].announce(replace(known, number=90), world.now)
    world.tell_all()
    assert not world.balancers[FIRST].ended.doubtful
    world.wait(0.5)
    assert not world.resets


def test_flows_of_a_reborn_target_whose_agent_is_young_are_left_alone():
    # Host, agent and target restart. The agent has missed the target's first words and
    # cannot tell what it holds: without a packet to probe with nothing is proved, so
    # the flow is not reset before its caller's next packet.
    world = World(targets=2)
    tell_born(world)
    address, number = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), number))
    known = world.agents[address].present
    world.targets[address].flows.clear()
    world.agents[address] = world.make_agent()
    world.agents[address].announce(
        replace(known, number=5, born=BORN + 5000), world.now
    )
    world.tell_all()
    world.wait(0.5)
    assert not world.resets
    # Nobody can be probed without a packet, and nothing goes on waiting for one.
    assert not world.balancers[FIRST].searches
    assert not any(target.strays for target in world.targets.values())
    world.send(FIRST, data_segment(make_key(), number, 1017))
    world.wait(0.2)
    assert [reset.reason for reset in world.resets] == ["held_by_nobody"]


def test_a_packet_that_comes_while_its_flow_is_doubted_is_handed_over():
    # While a doubted flow is asked for, its caller uses it; the target that started
    # anew holds it after all. The packet must arrive once.
    world = World(targets=2)
    tell_born(world)
    address, number = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), number))
    balancer = world.balancers[FIRST]
    balancer.ended.doubtful.add([make_key()], world.now)
    world.silent.add(address)
    world.carry_out(FIRST, balancer.sweep(world.now))
    world.send(FIRST, data_segment(make_key(), number, 1017))
    world.silent.clear()
    world.wait(0.3)
    assert len(world.targets[address].taken) == 2
    assert not world.resets


def test_doubts_are_asked_a_few_at_a_time():
    # A target with many flows ends: the questions must not fill a thin host's link at
    # the moment when its callers come back.
    world = World(targets=1)
    tell_born(world)
    world.open_flows(FIRST, 40)
    (address,) = world.agents
    start_again(world, address)
    world.sent.clear()
    world.carry_out(FIRST, world.balancers[FIRST].sweep(world.now))
    asked = [sent for sent in world.sent if not isinstance(sent.message, Deliver)]
    # Each question and answer has some 100 bytes: a sweep each 20 ms may not take more
    # than a tenth of a link of 2.2 Mbit/s.
    assert 0 < len(asked) <= DOUBTS_PER_SWEEP
    assert len(asked) * 100 * 8 * 50 <= 0.1 * 2.2e6
    world.wait(1.0)
    assert len(world.resets) == 40


def test_a_flow_that_may_be_the_new_targets_stays_where_it_is():
    # Guards against a search for an open flow: its target took it before its first
    # heartbeat, so that nobody can say whose it is, and its caller pauses.
    world = World(targets=2)
    tell_born(world)
    world.wait(0.5)
    world.now += 0.01
    address, number = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), number))
    agent = world.agents[address]
    born = agent.present.born + 5000
    agent.announce(replace(agent.present, number=1, born=born), world.now)
    world.tell_all()
    world.wait(0.5)
    assert not world.resets
    assert world.balancers[FIRST].flows[make_key()].address == address
    world.told.clear()
    world.send(FIRST, data_segment(make_key(), number, 1017))
    assert len(world.targets[address].taken) == 2
    assert not world.told


def test_a_flow_that_its_target_denies_is_not_kept_there():
    # Guards against packets that go to a target which does not hold their flow, while
    # an agent that is younger than the flow can't tell.
    world = World(targets=2)
    tell_born(world)
    address, number = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), number))
    other = next(found for found in world.agents if found != address)
    world.agents[other] = world.make_agent()
    world.beat(other, number=9, name="i-other")
    start_again(world, address)
    world.wait(0.5)
    assert not world.resets
    assert make_key() not in world.balancers[FIRST].flows
