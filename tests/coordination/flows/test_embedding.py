import doctest

from ibisshunt.coordination import flows
from tests.flow_fakes import ACK, make_icmp_error, make_tcp, make_udp
from tests.flow_world import World


def test_the_example_in_the_package_docstring_runs():
    failed, tried = doctest.testmod(flows)
    assert tried > 10
    assert failed == 0


def test_an_icmp_error_reaches_the_target_of_the_flow_it_quotes():
    """A router on the way to the caller reports that a packet is too large.

    The error comes from the router's address. If it does not reach the target that sent
    the packet, the flow hangs. It must not open a flow.
    """
    world = World(targets=4)
    owners = {port: world.open(port) for port in range(40_000, 40_060)}
    world.add("t5")
    world.leave("t1")
    world.publish()
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


def test_searches_for_flows_of_strangers_are_limited():
    """Callers that are not in the record send packets without a SYN.

    Each packet may visit every agent of the service: without a limit a stranger could
    multiply its packets.
    """
    world = World(targets=2)
    stranger = make_tcp(ACK, caller="127.77.0.1")
    reasons = [world.send(stranger).reason for _ in range(2500)]
    assert reasons.count("unknown_flow") == 2000
    assert reasons.count("search_limit") == 500
