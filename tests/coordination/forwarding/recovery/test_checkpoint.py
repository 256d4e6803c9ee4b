"""Flows of a previous run: checkpointed, stored, and resolved after a start."""

import msgspec
from hypothesis import given, strategies as st
from msgspec.structs import replace

from ibisshunt.coordination.forwarding.balancer import Balancer
from ibisshunt.coordination.forwarding.messages import (
    FLOWS_PER_MESSAGE,
    FlowLocations,
    Status,
)
from ibisshunt.coordination.forwarding.recovery.archive import (
    GENERATION_SECONDS,
    GENERATIONS,
    FlowArchive,
)
from ibisshunt.coordination.forwarding.recovery.checkpoint import (
    CHECKPOINT_AGE_SECONDS,
    CHECKPOINT_SPAN_BYTES,
    ENDED,
    ENTRIES_PER_MESSAGE,
    ENTRY_BYTES,
    RESOLVE_TIMEOUT_SECONDS,
    FlowEntry,
    pack_entries,
    unpack_entries,
)
from ibisshunt.coordination.forwarding.recovery.client import (
    RECOVERY_SECONDS,
    RETRY_SECONDS,
    RecoveryClient,
)
from ibisshunt.coordination.forwarding.recovery.stale_flows import RESETS_PER_TICK
from ibisshunt.coordination.forwarding.target_tracking.tracked_flow import TrackedFlow
from tests.forwarding_world import (
    HEARTBEAT,
    World,
    data_segment,
    make_key,
    make_route_table,
    syn_segment,
)

BALANCER = "10.0.1.0"
CONTROL, OTHER_CONTROL = "10.0.3.1", "10.0.3.2"


def pop_entries(world):
    """Return all checkpoint entries that a balancer would send now."""
    balancer = world.balancers[BALANCER]
    balancer.state.checkpoint_due_flows(world.now)
    found = []
    while packed := balancer.state.checkpoint.pop_batch():
        found += unpack_entries(packed)
    return found


def lose_power(world):
    """Restart everything; targets get other names, and send heartbeats late."""
    world.wait(1.0)
    for address in world.agents:
        world.agents[address] = world.make_agent()
        world.targets[address].flows.clear()
    world.balancers[BALANCER] = Balancer(world.random.random, now=world.now)
    world.balancers[BALANCER].update_routes(make_route_table())


def start_targets(world, addresses=None):
    """Send statuses of targets that have run for a while to the balancers."""
    for number in (5, 6, 7):
        for address in addresses or world.agents:
            world.send_heartbeat(address, number, name="i-again" + address)
        world.now += HEARTBEAT
    world.now -= HEARTBEAT
    world.send_statuses()


def run_ticks(world, count=1):
    """Let the balancer's timer run."""
    for _ in range(count):
        world.carry_out(BALANCER, world.balancers[BALANCER].tick(world.now))


def test_flows_that_ended_in_a_power_loss_are_reset_before_they_are_used():
    # The whole fleet loses power. Callers keep flows to targets that know nothing of
    # them, and agents that started after their targets cannot tell. A request that must
    # not be sent twice would be lost on such a flow. The balancer recovers its flows
    # from control hosts and resets them as soon as it has statuses of their targets.
    world = World(targets=3)
    holders = world.open_flows(BALANCER, 9)
    world.wait(CHECKPOINT_AGE_SECONDS + 0.1)
    entries = pop_entries(world)
    assert {entry.key: entry.address for entry in entries} == holders
    lose_power(world)
    world.balancers[BALANCER].recover_flows(entries, world.now)
    run_ticks(world)
    assert not world.resets
    start_targets(world)
    run_ticks(world)
    assert {reset.segment.key for reset in world.resets} == set(holders)
    assert {reset.reason for reset in world.resets} == {"target_ended"}


def test_a_late_heartbeat_after_a_restart_resets_no_open_flow():
    # Guards against the reset of open flows: an agent and a balancer restart together,
    # and a late heartbeat of a crashed incarnation is the first that the agent hears.
    world = World(targets=1)
    ((address, agent),) = world.agents.items()
    own = agent.current_heartbeat
    holders = world.open_flows(BALANCER, 2)
    world.wait(CHECKPOINT_AGE_SECONDS + 0.1)
    entries = pop_entries(world)
    agent = world.agents[address] = world.make_agent()
    world.balancers[BALANCER] = Balancer(world.random.random, now=world.now)
    world.balancers[BALANCER].update_routes(make_route_table())
    world.balancers[BALANCER].recover_flows(entries, world.now)
    for number in range(1, 8):
        world.send_heartbeat(address, number, name="i-late" if number < 3 else own.name)
        world.send_statuses()
        run_ticks(world)
        assert not world.resets
        world.now += HEARTBEAT / 2 if number < 3 else HEARTBEAT
    assert agent.current_heartbeat.name == own.name
    assert set(world.balancers[BALANCER].flows) == set(holders)


def test_a_status_of_an_earlier_build_counts_as_confirmed():
    # Guards against recovered flows that are never reset while agents of the previous
    # build run beside this balancer.
    world = World(targets=1)
    (agent,) = world.agents.values()
    encoded = msgspec.msgpack.encode(agent.make_status(world.now))
    *fields, is_confirmed = msgspec.msgpack.decode(encoded)
    assert isinstance(is_confirmed, bool)
    earlier = msgspec.msgpack.encode(fields)
    assert msgspec.msgpack.decode(earlier, type=Status).is_confirmed


def test_a_reset_carries_the_acknowledgement_of_the_caller():
    # A caller accepts a reset only near its last acknowledgement.
    world = World(targets=1)
    _, number = world.open(BALANCER)
    world.send(BALANCER, data_segment(make_key(), number + 7))
    world.wait(CHECKPOINT_AGE_SECONDS + 0.1)
    entries = pop_entries(world)
    lose_power(world)
    start_targets(world)
    world.balancers[BALANCER].recover_flows(entries, world.now)
    run_ticks(world)
    assert [reset.segment.acknowledgement for reset in world.resets] == [number + 7]


def test_a_restarted_balancer_recovers_its_flows_without_queries():
    # Only the balancer restarts. Its flows are at targets that run on: they are known
    # again without queries, and none is reset.
    world = World(targets=3)
    holders = world.open_flows(BALANCER, 6)
    world.wait(CHECKPOINT_AGE_SECONDS + 0.1)
    entries = pop_entries(world)
    world.balancers[BALANCER] = world.make_balancer()
    world.send_statuses()
    world.balancers[BALANCER].recover_flows(entries, world.now)
    run_ticks(world)
    flows = world.balancers[BALANCER].flows
    assert {key: flow.address for key, flow in flows.items()} == holders
    assert not world.resets


def test_an_entry_waits_until_the_agent_has_heard_its_target():
    # Agent and balancer restart, the target runs on. The agent's first status names no
    # incarnation: nothing is proved, and the flow must not be reset.
    world = World(targets=1)
    (address,) = world.agents
    _, number = world.open(BALANCER)
    world.send(BALANCER, data_segment(make_key(), number))
    world.wait(CHECKPOINT_AGE_SECONDS + 0.1)
    entries = pop_entries(world)
    heartbeat = world.agents[address].current_heartbeat
    world.agents[address] = world.make_agent()
    world.balancers[BALANCER] = world.make_balancer()
    world.send_statuses()
    world.balancers[BALANCER].recover_flows(entries, world.now)
    run_ticks(world)
    assert not world.resets
    world.agents[address].handle_heartbeat(replace(heartbeat, sequence=60), world.now)
    world.send_statuses()
    run_ticks(world)
    assert not world.resets
    assert world.balancers[BALANCER].flows[make_key()].address == address


def test_a_new_flow_is_not_reset_for_a_recovered_one_of_the_same_key():
    # A caller reuses its port before the balancer has recovered its flows: the new flow
    # has the key of one that ended.
    world = World(targets=1)
    world.open_flows(BALANCER, 1)
    world.wait(CHECKPOINT_AGE_SECONDS + 0.1)
    entries = pop_entries(world)
    lose_power(world)
    start_targets(world)
    world.send(BALANCER, syn_segment(make_key(), 5_000))
    world.balancers[BALANCER].recover_flows(entries, world.now)
    run_ticks(world)
    assert not world.resets


def test_a_search_ends_when_its_flow_has_ended_by_its_entry():
    # A caller's packet arrived first, and agents cannot tell, so the search would go
    # on. The entry resolves it, with the acknowledgement of the packet.
    world = World(targets=2)
    _, number = world.open(BALANCER)
    world.send(BALANCER, data_segment(make_key(), number))
    world.wait(CHECKPOINT_AGE_SECONDS + 0.1)
    entries = pop_entries(world)
    lose_power(world)
    world.send(BALANCER, data_segment(make_key(), number + 900, 1017))
    assert len(world.balancers[BALANCER].searches) == 1
    world.balancers[BALANCER].recover_flows(entries, world.now)
    start_targets(world)
    run_ticks(world)
    assert not world.balancers[BALANCER].searches
    assert [reset.segment.acknowledgement for reset in world.resets] == [number + 900]


def test_entries_of_targets_that_do_not_return_expire():
    world = World(targets=2)
    world.open_flows(BALANCER, 4)
    world.wait(CHECKPOINT_AGE_SECONDS + 0.1)
    entries = pop_entries(world)
    lose_power(world)
    world.balancers[BALANCER].recover_flows(entries, world.now)
    world.now += RESOLVE_TIMEOUT_SECONDS + 1.0
    run_ticks(world, 2)
    start_targets(world)
    run_ticks(world, 2)
    assert not world.resets


def test_recovered_flows_are_reset_a_few_at_a_time():
    # Guards against resets that saturate a thin link when thousands of flows ended with
    # a fleet.
    world = World(targets=1)
    (address,) = world.agents
    entries = [
        FlowEntry(make_key(port), 1, address, 77) for port in range(1, 4 * 20 + 1)
    ]
    world.balancers[BALANCER].recover_flows(entries, world.now)
    run_ticks(world)
    assert len(world.resets) == RESETS_PER_TICK
    run_ticks(world, 4)
    assert len(world.resets) == len(entries)


def test_young_and_closed_flows_are_not_checkpointed():
    world = World(targets=1)
    _, number = world.open(BALANCER)
    world.send(BALANCER, data_segment(make_key(), number))
    assert pop_entries(world) == []
    world.wait(CHECKPOINT_AGE_SECONDS + 0.1)
    assert len(pop_entries(world)) == 1
    end = replace(data_segment(make_key(), number, 1017, b""), is_fin=True)
    world.send(BALANCER, end)
    (entry,) = pop_entries(world)
    assert entry.incarnation == ENDED


def test_a_flow_is_checkpointed_again_once_its_acknowledgement_advanced():
    # A caller accepts a reset within 76,800 bytes of its acknowledgement.
    world = World(targets=1)
    address, number = world.open(BALANCER)
    world.send(BALANCER, data_segment(make_key(), number))
    # The target has sent that many bytes.
    world.agents[address].flows[make_key()].sent_to += 2 * CHECKPOINT_SPAN_BYTES
    world.wait(CHECKPOINT_AGE_SECONDS + 0.1)
    pop_entries(world)
    world.send(
        BALANCER, data_segment(make_key(), number + CHECKPOINT_SPAN_BYTES - 1, 1017)
    )
    assert pop_entries(world) == []
    world.send(BALANCER, data_segment(make_key(), number + CHECKPOINT_SPAN_BYTES, 1033))
    assert len(pop_entries(world)) == 1


def open_before_first_heartbeat(world):
    """Open a flow at a target before its first heartbeat; return its entry."""
    (address,) = world.agents
    world.wait(0.5)
    world.now += 0.01
    _, number = world.open(BALANCER)
    world.send(BALANCER, data_segment(make_key(), number))
    world.now += CHECKPOINT_AGE_SECONDS + 0.1
    (entry,) = pop_entries(world)
    world.replace_target(address, "i-next")
    return address, entry


def test_a_flow_that_the_next_incarnation_accepted_is_checkpointed_again():
    # Guards against the reset of an open flow after a restart of its balancer: the
    # entry names the predecessor of the target that accepted the flow before its first
    # heartbeat.
    world = World(targets=1)
    address, entry = open_before_first_heartbeat(world)
    incarnation_id = world.agents[address].target.incarnations.incarnation_id
    assert entry.incarnation != incarnation_id
    world.send_statuses()
    world.wait(CHECKPOINT_AGE_SECONDS + 0.1)
    assert [entry_again.incarnation for entry_again in pop_entries(world)] == [
        incarnation_id
    ]
    assert not world.resets


def test_a_flow_that_the_next_incarnation_accepted_survives_a_balancer_restart():
    # Guards against the reset of an open flow when its balancer restarts before it gets
    # a status that shows another target in the place of the previous one.
    world = World(targets=1)
    address, entry = open_before_first_heartbeat(world)
    world.balancers[BALANCER] = Balancer(world.random.random, now=world.now)
    world.balancers[BALANCER].update_routes(make_route_table())
    world.balancers[BALANCER].recover_flows([entry], world.now)
    agent = world.agents[address]
    for message in agent.make_introduction(address, world.now):
        if isinstance(message, FlowLocations):
            found = world.balancers[BALANCER].handle_flow_locations(message, world.now)
            world.carry_out(BALANCER, found)
        else:
            world.balancers[BALANCER].handle_status(address, message, world.now)
    run_ticks(world, 3)
    assert not world.resets
    world.send(BALANCER, data_segment(make_key(), entry.acknowledgement, 1017))
    assert len(world.targets[address].received) == 2


def test_an_introduction_lists_one_message_of_open_early_flows():
    # Guards against a datagram too large for a thin link, and against closed flows that
    # are reported as open.
    world = World(targets=1)
    ((address, agent),) = world.agents.items()
    for port in range(FLOWS_PER_MESSAGE + 5):
        flow = TrackedFlow(
            1, world.now, is_confirmed=True, opened_before_heartbeat=True
        )
        flow.is_closed_by_caller = port < 2
        agent.flows[make_key(port)] = flow
    _, locations = agent.make_introduction(address, world.now)
    listed = [key for key, _ in locations.flows]
    assert listed == [make_key(port) for port in range(2, FLOWS_PER_MESSAGE + 2)]
    for flow in agent.flows.values():
        flow.is_closed_by_caller = True
    assert len(agent.make_introduction(address, world.now)) == 1


def make_entries(count, first=1, incarnation=7):
    return [
        FlowEntry(make_key(port), port, "10.0.2.1", incarnation)
        for port in range(first, first + count)
    ]


def recover_all(archive, balancer, lost_offsets=()):
    """Return the entries that a balancer recovers while some replies are lost."""
    found, now, remaining_losses = [], 0.0, list(lost_offsets)
    client = RecoveryClient(now)
    while not client.is_over(now):
        for _, request in client.make_requests([CONTROL], now):
            for reply in archive.make_replies(balancer, request.offset):
                if reply.offset in remaining_losses:
                    remaining_losses.remove(reply.offset)
                    continue
                found += client.handle_reply(CONTROL, reply, now)
        now += 0.02
    return found


def test_a_balancer_recovers_only_its_own_open_flows():
    archive = FlowArchive()
    archive.add_entries(BALANCER, pack_entries(make_entries(3)))
    archive.add_entries("10.0.1.1", pack_entries(make_entries(2, first=100)))
    archive.add_entries(BALANCER, pack_entries(make_entries(1, incarnation=ENDED)))
    assert recover_all(archive, BALANCER) == make_entries(2, first=2)
    assert recover_all(archive, "10.0.1.9") == []


def test_flows_are_recovered_in_windows_and_lost_replies_requested_again():
    archive = FlowArchive()
    entries = make_entries(1000)
    for first in range(0, 1000, ENTRIES_PER_MESSAGE):
        part = entries[first : first + ENTRIES_PER_MESSAGE]
        archive.add_entries(BALANCER, pack_entries(part))
    assert recover_all(archive, BALANCER, lost_offsets=(0, 96, 96, 960)) == entries


def test_a_balancer_with_many_flows_recovers_all_in_time():
    # 16 million flows over 850 balancers are 19,000 each. Each window must be followed
    # by the next request at once: with a pause of 0.25 s after each, a third of the
    # flows would not be recovered in time.
    archive = FlowArchive()
    entries = make_entries(19_000)
    for first in range(0, 19_000, ENTRIES_PER_MESSAGE):
        part = entries[first : first + ENTRIES_PER_MESSAGE]
        archive.add_entries(BALANCER, pack_entries(part))
    assert recover_all(archive, BALANCER) == entries


def test_a_late_control_host_gets_requests_until_it_replies():
    client = RecoveryClient(0.0)
    assert len(list(client.make_requests([CONTROL], 0.0))) == 1
    assert not list(client.make_requests([CONTROL], RETRY_SECONDS / 2))
    assert len(list(client.make_requests([CONTROL, OTHER_CONTROL], RETRY_SECONDS))) == 2
    assert not client.is_over(RECOVERY_SECONDS - 0.1)
    assert client.is_over(RECOVERY_SECONDS)


def test_a_control_host_that_is_heard_gets_a_request_at_once():
    # After a power loss a balancer is back 0.1 s before a control host, and its first
    # request is lost. Callers of ended flows lose requests until the balancer retries.
    client = RecoveryClient(0.0)
    assert len(list(client.make_requests([CONTROL], 0.0))) == 1
    assert len(list(client.make_requests([CONTROL], 0.1, [CONTROL]))) == 1
    assert not list(client.make_requests([CONTROL], 0.12, [CONTROL]))


def test_entries_survive_a_restart_and_old_generations_expire():
    archive = FlowArchive()
    archive.add_entries(BALANCER, pack_entries(make_entries(5)))
    batches = archive.pop_unsaved()
    restarted = FlowArchive(0.0, [batches])
    assert recover_all(restarted, BALANCER) == make_entries(5)
    for turn in range(1, GENERATIONS + 1):
        assert restarted.rotate(turn * GENERATION_SECONDS)
    assert len(restarted) == 0
    assert recover_all(restarted, BALANCER) == []


def test_a_flood_of_entries_does_not_exhaust_the_memory_of_a_control_host():
    # Guards against unbounded memory when balancers send more entries than a control
    # host can hold, by growth of the fleet or a faulty sender. At 290 bytes each they
    # may take 32 MB in all.
    archive = FlowArchive()
    batch = pack_entries(make_entries(ENTRIES_PER_MESSAGE))
    for turn in range(2 * GENERATIONS):
        for number in range(1000):
            archive.add_entries(f"10.1.{number // 250}.{number % 250}", batch)
        archive.rotate((turn + 1) * GENERATION_SECONDS)
        assert len(archive) * 290 < 32e6


@given(st.binary(max_size=200))
def test_damaged_entries_do_not_raise(data):
    # A datagram of a foreign sender, or a damaged one: complete entries are read.
    found = list(unpack_entries(data))
    assert len(found) == len(data) // ENTRY_BYTES
    archive = FlowArchive()
    archive.add_entries(BALANCER, data)
    archive.make_replies(BALANCER, 0)
    world = World(targets=1, balancers=1)
    world.balancers[BALANCER].recover_flows(found, world.now)
    run_ticks(world)


@given(st.lists(st.tuples(st.integers(1, 6), st.booleans()), max_size=20))
def test_the_last_entry_of_a_flow_counts(events):
    # A flow may be checkpointed, end, and its port be reused, in any order.
    archive, expected = FlowArchive(), {}
    for port, is_open in events:
        entry = FlowEntry(make_key(port), port, "10.0.2.1", 7 if is_open else ENDED)
        archive.add_entries(BALANCER, pack_entries([entry]))
        expected[entry.key] = entry
    open_entries = [entry for entry in expected.values() if entry.incarnation != ENDED]
    assert sorted(
        recover_all(archive, BALANCER), key=lambda found: found.key
    ) == sorted(open_entries, key=lambda found: found.key)
