"""The flows of a former run: noted, kept on control hosts, settled after a start."""

from hypothesis import given, strategies as st
from msgspec.structs import replace

from ibisshunt.coordination.forwarding.balancer import Balancer
from ibisshunt.coordination.forwarding.holding.held import HeldFlow
from ibisshunt.coordination.forwarding.messages import FLOWS_PER_MESSAGE, Known
from ibisshunt.coordination.forwarding.restart.archive import (
    GENERATION_SECONDS,
    GENERATIONS,
    FlowArchive,
)
from ibisshunt.coordination.forwarding.restart.checkpoint import (
    ENDED,
    ENTRIES_PER_MESSAGE,
    ENTRY_BYTES,
    NOTED_AFTER_SECONDS,
    NOTED_SPAN,
    SETTLE_SECONDS,
    FlowEntry,
    pack_entries,
    unpack_entries,
)
from ibisshunt.coordination.forwarding.restart.ending import RESETS_PER_SWEEP
from ibisshunt.coordination.forwarding.restart.recollection import (
    AGAIN_SECONDS,
    ASKING_SECONDS,
    Recollection,
)
from tests.forwarding_world import (
    World,
    data_segment,
    make_key,
    make_table,
    open_segment,
)

FIRST = "10.0.1.0"
CONTROL, OTHER_CONTROL = "10.0.3.1", "10.0.3.2"


def take_entries(world):
    """Return all that a balancer notes now."""
    balancer = world.balancers[FIRST]
    balancer.state.note_flows(world.now)
    found = []
    while packed := balancer.state.checkpoint.take():
        found += unpack_entries(packed)
    return found


def lose_power(world):
    """Start everything anew; targets get other names, and are heard late."""
    world.wait(1.0)
    for address in world.agents:
        world.agents[address] = world.make_agent()
        world.targets[address].flows.clear()
    world.balancers[FIRST] = Balancer(world.random.random, now=world.now)
    world.balancers[FIRST].take_routes(make_table())


def start_targets(world, addresses=None):
    """Let targets speak that have tried for a while, and balancers hear of it."""
    for address in addresses or world.agents:
        world.beat(address, number=5, name="i-again" + address)
    world.tell_all()


def run_sweeps(world, count=1):
    """Let the balancer go on."""
    for _ in range(count):
        world.carry_out(FIRST, world.balancers[FIRST].sweep(world.now))


def test_callers_hear_of_flows_that_ended_with_a_power_loss_before_they_use_them():
    # The whole fleet loses power. Callers keep flows to targets that know nothing of
    # them, and agents that are younger than their targets cannot tell. A request that
    # must not be sent twice is lost when it is sent on one. The balancer gets its
    # former flows from control and resets them as soon as their targets are heard.
    world = World(targets=3)
    homes = world.open_flows(FIRST, 9)
    world.wait(NOTED_AFTER_SECONDS + 0.1)
    entries = take_entries(world)
    assert {entry.key: entry.address for entry in entries} == homes
    lose_power(world)
    world.balancers[FIRST].take_former(entries, world.now)
    run_sweeps(world)
    assert not world.resets
    start_targets(world)
    run_sweeps(world)
    assert {reset.segment.key for reset in world.resets} == set(homes)
    assert {reset.reason for reset in world.resets} == {"target_ended"}


def test_a_reset_carries_what_the_caller_acknowledged():
    # A caller believes a reset only near its last acknowledgement.
    world = World(targets=1)
    _, number = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), number + 7))
    world.wait(NOTED_AFTER_SECONDS + 0.1)
    entries = take_entries(world)
    lose_power(world)
    start_targets(world)
    world.balancers[FIRST].take_former(entries, world.now)
    run_sweeps(world)
    assert [reset.segment.acknowledgement for reset in world.resets] == [number + 7]


def test_a_restarted_balancer_knows_its_flows_without_asking():
    # Only the balancer restarts. Its flows are at targets that live on: they are known
    # again, nothing is asked and nothing is reset.
    world = World(targets=3)
    homes = world.open_flows(FIRST, 6)
    world.wait(NOTED_AFTER_SECONDS + 0.1)
    entries = take_entries(world)
    world.balancers[FIRST] = world.make_balancer()
    world.tell_all()
    world.balancers[FIRST].take_former(entries, world.now)
    run_sweeps(world)
    flows = world.balancers[FIRST].flows
    assert {key: flow.address for key, flow in flows.items()} == homes
    assert not world.resets


def test_a_flow_waits_for_the_word_of_an_agent_that_has_not_heard_its_target():
    # Agent and balancer restart, the target lives on. The agent's first word names no
    # target: nothing is proved, and the flow must not be reset.
    world = World(targets=1)
    (address,) = world.agents
    _, number = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), number))
    world.wait(NOTED_AFTER_SECONDS + 0.1)
    entries = take_entries(world)
    known = world.agents[address].present
    world.agents[address] = world.make_agent()
    world.balancers[FIRST] = world.make_balancer()
    world.tell_all()
    world.balancers[FIRST].take_former(entries, world.now)
    run_sweeps(world)
    assert not world.resets
    world.agents[address].announce(replace(known, number=60), world.now)
    world.tell_all()
    run_sweeps(world)
    assert not world.resets
    assert world.balancers[FIRST].flows[make_key()].address == address


def test_a_flow_that_was_opened_anew_is_not_reset_for_the_former_one():
    # A caller uses its port again before the balancer has its former flows. The new
    # flow has the key of one that ended.
    world = World(targets=1)
    world.open_flows(FIRST, 1)
    world.wait(NOTED_AFTER_SECONDS + 0.1)
    entries = take_entries(world)
    lose_power(world)
    start_targets(world)
    world.send(FIRST, open_segment(make_key(), 5_000))
    world.balancers[FIRST].take_former(entries, world.now)
    run_sweeps(world)
    assert not world.resets


def test_a_search_ends_when_its_flow_is_known_to_have_ended():
    # A caller's packet came first, and agents cannot tell: the search would go on. The
    # entry settles it, with the packet's own acknowledgement.
    world = World(targets=2)
    _, number = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), number))
    world.wait(NOTED_AFTER_SECONDS + 0.1)
    entries = take_entries(world)
    lose_power(world)
    world.send(FIRST, data_segment(make_key(), number + 900, 1017))
    assert len(world.balancers[FIRST].searches) == 1
    world.balancers[FIRST].take_former(entries, world.now)
    start_targets(world)
    run_sweeps(world)
    assert not world.balancers[FIRST].searches
    assert [reset.segment.acknowledgement for reset in world.resets] == [number + 900]


def test_entries_of_targets_that_do_not_come_back_are_forgotten():
    world = World(targets=2)
    world.open_flows(FIRST, 4)
    world.wait(NOTED_AFTER_SECONDS + 0.1)
    entries = take_entries(world)
    lose_power(world)
    world.balancers[FIRST].take_former(entries, world.now)
    world.now += SETTLE_SECONDS + 1.0
    run_sweeps(world, 2)
    start_targets(world)
    run_sweeps(world, 2)
    assert not world.resets


def test_former_flows_are_reset_a_few_at_a_time():
    # Thousands of flows ended with a fleet: their resets must not fill a thin link.
    world = World(targets=1)
    (address,) = world.agents
    entries = [
        FlowEntry(make_key(port), 1, address, 77) for port in range(1, 4 * 20 + 1)
    ]
    world.balancers[FIRST].take_former(entries, world.now)
    run_sweeps(world)
    assert len(world.resets) == RESETS_PER_SWEEP
    run_sweeps(world, 4)
    assert len(world.resets) == len(entries)


def test_young_flows_and_ended_ones_are_not_noted():
    world = World(targets=1)
    _, number = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), number))
    assert take_entries(world) == []
    world.wait(NOTED_AFTER_SECONDS + 0.1)
    assert len(take_entries(world)) == 1
    end = replace(data_segment(make_key(), number, 1017, b""), finishes=True)
    world.send(FIRST, end)
    (entry,) = take_entries(world)
    assert entry.incarnation == ENDED


def test_a_flow_is_noted_again_once_its_caller_has_got_much():
    # A caller believes a reset within 76,800 bytes of its acknowledgement.
    world = World(targets=1)
    address, number = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), number))
    # The target has sent as much.
    world.agents[address].flows[make_key()].last += 2 * NOTED_SPAN
    world.wait(NOTED_AFTER_SECONDS + 0.1)
    take_entries(world)
    world.send(FIRST, data_segment(make_key(), number + NOTED_SPAN - 1, 1017))
    assert take_entries(world) == []
    world.send(FIRST, data_segment(make_key(), number + NOTED_SPAN, 1033))
    assert len(take_entries(world)) == 1


def take_before_first_heartbeat(world):
    """Open a flow at a target that starts anew; return it as its balancer notes it."""
    (address,) = world.agents
    world.wait(0.5)
    world.now += 0.01
    _, number = world.open(FIRST)
    world.send(FIRST, data_segment(make_key(), number))
    world.now += NOTED_AFTER_SECONDS + 0.1
    (entry,) = take_entries(world)
    agent = world.agents[address]
    agent.announce(replace(agent.present, name="i-next", number=1), world.now)
    return address, entry


def test_a_flow_that_its_targets_successor_took_is_noted_again():
    # Guards against the reset of an open flow after a restart of its balancer: it was
    # noted as the former target's, whose place its own one took unheard.
    world = World(targets=1)
    address, entry = take_before_first_heartbeat(world)
    tag = world.agents[address].target.incarnations.tag
    assert entry.incarnation != tag
    world.tell_all()
    world.wait(NOTED_AFTER_SECONDS + 0.1)
    assert [again.incarnation for again in take_entries(world)] == [tag]
    assert not world.resets


def test_a_flow_that_its_targets_successor_took_outlives_a_restart_of_its_balancer():
    # Guards against the reset of an open flow when its balancer restarts before it has
    # heard that another target took the place of the former one.
    world = World(targets=1)
    address, entry = take_before_first_heartbeat(world)
    world.balancers[FIRST] = Balancer(world.random.random, now=world.now)
    world.balancers[FIRST].take_routes(make_table())
    world.balancers[FIRST].take_former([entry], world.now)
    agent = world.agents[address]
    for message in agent.introduce(address, world.now):
        if isinstance(message, Known):
            found = world.balancers[FIRST].take_known(message, world.now)
            world.carry_out(FIRST, found)
        else:
            world.balancers[FIRST].learn(address, message, world.now)
    run_sweeps(world, 3)
    assert not world.resets
    world.send(FIRST, data_segment(make_key(), entry.acknowledgement, 1017))
    assert len(world.targets[address].taken) == 2


def test_an_agent_tells_of_open_early_flows_alone_and_of_a_message_full():
    # Guards against a datagram too large for a thin link, and against flows that have
    # ended being taken for open ones.
    world = World(targets=1)
    ((address, agent),) = world.agents.items()
    for port in range(FLOWS_PER_MESSAGE + 5):
        flow = HeldFlow(1, world.now, is_proved=True, is_early=True)
        flow.caller_ended = port < 2
        agent.flows[make_key(port)] = flow
    _, known = agent.introduce(address, world.now)
    told = [key for key, _ in known.flows]
    assert told == [make_key(port) for port in range(2, FLOWS_PER_MESSAGE + 2)]
    for flow in agent.flows.values():
        flow.caller_ended = True
    assert len(agent.introduce(address, world.now)) == 1


def make_entries(count, first=1, incarnation=7):
    return [
        FlowEntry(make_key(port), port, "10.0.2.1", incarnation)
        for port in range(first, first + count)
    ]


def recall_all(archive, balancer, lose=()):
    """Return what a balancer gets that asks one control host; some answers are lost."""
    found, now, lost = [], 0.0, list(lose)
    recollection = Recollection(now)
    while not recollection.is_over(now):
        for _, question in recollection.ask([CONTROL], now):
            for answer in archive.recall(balancer, question.first):
                if answer.first in lost:
                    lost.remove(answer.first)
                    continue
                found += recollection.take(CONTROL, answer, now)
        now += 0.02
    return found


def test_a_balancer_gets_back_just_its_own_open_flows():
    archive = FlowArchive()
    archive.take(FIRST, pack_entries(make_entries(3)))
    archive.take("10.0.1.1", pack_entries(make_entries(2, first=100)))
    archive.take(FIRST, pack_entries(make_entries(1, incarnation=ENDED)))
    assert recall_all(archive, FIRST) == make_entries(2, first=2)
    assert recall_all(archive, "10.0.1.9") == []


def test_many_flows_come_in_windows_and_lost_answers_are_asked_for_again():
    archive = FlowArchive()
    entries = make_entries(1000)
    for first in range(0, 1000, ENTRIES_PER_MESSAGE):
        part = entries[first : first + ENTRIES_PER_MESSAGE]
        archive.take(FIRST, pack_entries(part))
    assert recall_all(archive, FIRST, lose=(0, 96, 96, 960)) == entries


def test_a_balancer_with_many_flows_gets_them_back_while_it_still_asks():
    # 16 million flows over 850 balancers are 19,000 each. Each answered window must be
    # followed by the next question at once: with a pause of 0.25 s after each, a third
    # of the flows would not be known when the balancer stops asking.
    archive = FlowArchive()
    entries = make_entries(19_000)
    for first in range(0, 19_000, ENTRIES_PER_MESSAGE):
        part = entries[first : first + ENTRIES_PER_MESSAGE]
        archive.take(FIRST, pack_entries(part))
    assert recall_all(archive, FIRST) == entries


def test_a_control_host_that_is_back_late_is_asked_until_it_answers():
    recollection = Recollection(0.0)
    assert len(list(recollection.ask([CONTROL], 0.0))) == 1
    assert not list(recollection.ask([CONTROL], AGAIN_SECONDS / 2))
    assert len(list(recollection.ask([CONTROL, OTHER_CONTROL], AGAIN_SECONDS))) == 2
    assert not recollection.is_over(ASKING_SECONDS - 0.1)
    assert recollection.is_over(ASKING_SECONDS)


def test_a_control_host_that_speaks_is_asked_at_once():
    # All power was lost, and a balancer is back 0.1 s before a control host: its first
    # question is lost. Callers that use flows that ended lose their requests for as
    # long as the balancer does not ask again.
    recollection = Recollection(0.0)
    assert len(list(recollection.ask([CONTROL], 0.0))) == 1
    assert len(list(recollection.ask([CONTROL], 0.1, [CONTROL]))) == 1
    assert not list(recollection.ask([CONTROL], 0.12, [CONTROL]))


def test_entries_outlive_the_run_and_old_generations_do_not_stay():
    archive = FlowArchive()
    archive.take(FIRST, pack_entries(make_entries(5)))
    batches = archive.take_unsaved()
    again = FlowArchive(0.0, [batches])
    assert recall_all(again, FIRST) == make_entries(5)
    for turn in range(1, GENERATIONS + 1):
        assert again.rotate(turn * GENERATION_SECONDS)
    assert len(again) == 0
    assert recall_all(again, FIRST) == []


def test_a_flood_of_notes_does_not_fill_the_memory_of_a_control_host():
    # More flows are noted than a control host can keep, by a fleet that has grown or a
    # writer that has gone wrong. At 290 bytes each they may take 32 MB in all.
    archive = FlowArchive()
    batch = pack_entries(make_entries(ENTRIES_PER_MESSAGE))
    for turn in range(2 * GENERATIONS):
        for number in range(1000):
            archive.take(f"10.1.{number // 250}.{number % 250}", batch)
        archive.rotate((turn + 1) * GENERATION_SECONDS)
        assert len(archive) * 290 < 32e6


@given(st.binary(max_size=200))
def test_damaged_entries_never_raise(data):
    # A datagram of another writer, or a damaged one: what is whole is read.
    found = list(unpack_entries(data))
    assert len(found) == len(data) // ENTRY_BYTES
    archive = FlowArchive()
    archive.take(FIRST, data)
    archive.recall(FIRST, 0)
    world = World(targets=1, balancers=1)
    world.balancers[FIRST].take_former(found, world.now)
    run_sweeps(world)


@given(st.lists(st.tuples(st.integers(1, 6), st.booleans()), max_size=20))
def test_the_last_word_on_a_flow_counts(words):
    # A flow may be noted, end, and its port be used again, in any order.
    archive, expected = FlowArchive(), {}
    for port, is_open in words:
        entry = FlowEntry(make_key(port), port, "10.0.2.1", 7 if is_open else ENDED)
        archive.take(FIRST, pack_entries([entry]))
        expected[entry.key] = entry
    still = [entry for entry in expected.values() if entry.incarnation != ENDED]
    assert sorted(recall_all(archive, FIRST), key=lambda found: found.key) == sorted(
        still, key=lambda found: found.key
    )
