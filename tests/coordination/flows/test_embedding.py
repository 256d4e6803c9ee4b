import doctest

from ibisshunt.coordination import flows
from tests.flow_fakes import ACK, make_icmp_error, make_tcp, make_udp
from tests.flow_world import World


def test_the_example_for_embedders_runs():
    failed, tried = doctest.testmod(flows)
    assert tried > 10
    assert failed == 0


def test_an_icmp_error_reaches_the_target_of_the_flow_it_quotes():
    """A router on the way to the caller reports that a packet is too large.

    The error comes from the router's address. It must reach the target that sent the
    packet, or that flow hangs; a router is no caller, so it opens nothing.
    """
    world = World(targets=4)
    owners = {port: world.open(port) for port in range(40_000, 40_060)}
    world.add("t5")
    world.leave("t1")
    world.spread()
    for port, target in owners.items():
        error = make_icmp_error(make_tcp(ACK, port=port))
        assert world.send(error, balancer=port % 2).target == target
    unknown = world.send(make_icmp_error(make_tcp(ACK, port=50_000)))
    assert unknown.reason == "unknown_flow"
    assert not unknown.reset


def test_a_fragment_is_refused_at_the_balancer():
    world = World(targets=2)
    fragment = bytearray(make_udp())
    fragment[7] = 1
    assert world.send(bytes(fragment)).reason == "fragment"


def test_searches_for_flows_of_strangers_are_bounded():
    """Callers that are not in the record send packets without a SYN.

    Each could visit every agent of the service: a stranger must not multiply packets.
    """
    world = World(targets=2)
    stranger = make_tcp(ACK, caller="127.77.0.1")
    reasons = [world.send(stranger).reason for _ in range(2500)]
    assert reasons.count("unknown_flow") == 2000
    assert reasons.count("search_limit") == 500
