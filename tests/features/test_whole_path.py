import json

import gevent
import pytest
import urllib3
from gevent import socket
from pytest_bdd import given, parsers, scenarios, then, when

from ibisshunt.components.standin.segments import SYN, Segment, build_packet
from ibisshunt.components.standin.traffic import drive_flows, fetch_page
from ibisshunt.model.address import Address
from ibisshunt.protocol.messages import APPLY, ApplyRequest
from tests.features.system import System

scenarios("whole_path.feature")


@pytest.fixture
def results():
    return {}


@given(
    parsers.parse(
        "a running system of 1 control host, {balancers:d} balancers and "
        "{targets:d} targets a service"
    ),
    target_fixture="system",
)
def start_system(tmp_path, balancers, targets):
    system = System(tmp_path, balancers, targets)
    yield system
    system.stop()


def apply(system, operation, *records):
    documents = tuple(json.dumps(record) for record in records)
    return system.channel.call(APPLY, ApplyRequest(operation, documents)).outcomes


@given("the records of both businesses are applied")
def apply_records(system):
    outcomes = apply(system, "records", *system.list_records())
    assert not [outcome for outcome in outcomes if outcome.error]
    system.wait_until_active(targets=8)


@when(
    parsers.parse(
        "{flows:d} callers open a flow to booking and ask {rounds:d} times over "
        "random balancers"
    )
)
def open_flows(system, results, flows, rounds):
    results["asked"] = flows * rounds
    service = system.services["booking"]
    results["summary"] = drive_flows(system.fabric, service, flows, rounds)


@then("every answer comes from booking and each flow stays with one target")
def check_flows(results):
    summary = results["summary"]
    assert (summary.broken, summary.misrouted) == (0, 0)
    assert summary.answers == results["asked"]


@then("the fabric has sent packets to every balancer")
def check_balancers(system):
    assert set(system.fabric.sent_counts) == {
        balancer.packets for balancer in system.balancers
    }


@when("a caller fetches a page from booking and one from gatepass")
def fetch_pages(system, results):
    for name in ("booking", "gatepass"):
        results[name] = fetch_page(system.services[name].address, "/hello")


@then("the pages come from booking and from gatepass")
def check_pages(results):
    for name in ("booking", "gatepass"):
        assert results[name].startswith(f"{name} {name}-")


@when("the operator asks for the status")
def ask_status(system, results):
    results["status"] = system.status()


@then(
    parsers.parse(
        "it names {services:d} services, {targets:d} targets and every node at the "
        "newest revision"
    )
)
def check_status(system, results, services, targets):
    status = results["status"]
    assert len(status.services) == services
    assert len(status.targets) == targets
    assert len(status.nodes) == len(system.balancers) + len(system.agents)
    assert {node.revision for node in status.nodes} == {status.revision}


@when(
    "the fabric forwards a malformed packet, one for an unknown service and one from "
    "a caller that is not allowed"
)
def send_bad_packets(system):
    service = system.services["booking"].address
    allowed_caller = Address("127.9.0.1", 4000)
    packets = [
        b"\x45not a packet",
        build_packet(Segment(allowed_caller, Address("127.3.3.3", 1), 1, 0, SYN)),
        build_packet(Segment(Address("10.1.1.1", 4000), service, 1, 0, SYN)),
    ]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as fabric:
        for packet in packets:
            fabric.sendto(packet, system.balancers[0].packets.as_pair())


@when("the operator applies a record with an unknown schema version")
def apply_bad_record(system, results):
    record = {**system.list_records()[0], "schema": 9}
    results["outcomes"] = apply(system, "bad", record)


DRAIN_ROUNDS = 60
REASONS = ("malformed", "unknown_service", "caller_not_allowed")


def count_rejected_packets(system, reason):
    admin = system.balancers[0].admin
    page = urllib3.request("GET", f"http://{admin}/metrics").data.decode()
    lines = [line for line in page.splitlines() if f'"{reason}"' in line]
    return sum(float(line.split()[-1]) for line in lines)


@then("the packets are counted as rejected and the record gets a clear error")
def check_rejections(system, results):
    with gevent.Timeout(10):
        while not all(
            count_rejected_packets(system, reason) == 1 for reason in REASONS
        ):
            gevent.sleep(0.05)
    (outcome,) = results["outcomes"]
    assert "schema" in outcome.error


@when("a caller sends one swap with the same key 3 times through the balancer")
def send_swap(system, results):
    # Agents agree on the replicas of idempotency keys shortly after they have been
    # announced. Until then a request is answered as not run.
    address = system.services["booking"].address
    with gevent.Timeout(20):
        while not is_done(post(address, "/warm-up", "warm-up")):
            gevent.sleep(0.1)
    results["before"] = count_requests(system)
    results["replies"] = [post(address, "/swap", "swap-1") for _ in range(3)]


def post(address, path, key):
    headers = {"Idempotency-Key": key, "Connection": "close"}
    url = f"http://{address}{path}"
    return urllib3.request("POST", url, headers=headers, retries=False, timeout=15)


def is_done(reply):
    return reply.headers.get("Ibisshunt-Outcome") == "done"


def count_requests(system):
    targets = [target for target in system.endpoints if target.service == "booking"]
    return sum(target.counts["requests"] for target in targets)


@then("the swap ran once and every answer is that of the run")
def check_swap(system, results):
    assert [is_done(reply) for reply in results["replies"]] == [True] * 3
    assert len({reply.data for reply in results["replies"]}) == 1
    assert results["replies"][0].data.endswith(b"answers /swap\n")
    assert count_requests(system) - results["before"] == 1


@when("20 callers ask booking while booking-1 is drained")
def drain_target(system, results):
    def drain(number):
        if number != 1:
            return
        record = {
            "kind": "drain",
            "schema": 1,
            "business": "marea",
            "name": "booking.booking-1",
            "service": "booking",
            "target": "booking-1",
        }
        (outcome,) = apply(system, "drain", record)
        assert not outcome.error
        system.wait_until_active(targets=8)

    results["asked"] = 20 * 3
    service = system.services["booking"]
    results["summary"] = drive_flows(system.fabric, service, 20, 3, drain)
    assert "booking-1" in results["summary"].by_target


@then("a new flow no longer reaches booking-1")
def check_drained(system):
    # Agents build their tables shortly after they apply the configuration: flows of the
    # first rounds may still reach the target, those of a later round must not.
    service = system.services["booking"]
    rounds = []
    for number in range(DRAIN_ROUNDS):
        port = 30_000 + 100 * number
        summary = drive_flows(system.fabric, service, 20, 1, first_port=port)
        assert summary.broken == 0
        rounds.append(summary.by_target)
        if summary.by_target == {"booking-2": 20}:
            break
        gevent.sleep(0.05)
    assert rounds[-1] == {"booking-2": 20}, rounds


@when("the system is asked to stop")
def stop_system(system):
    system.kernel.stop()


@then("every listener is closed")
def check_closed(system):
    for address in (system.control.rpc, system.services["booking"].address):
        with pytest.raises(ConnectionError):
            socket.create_connection(address.as_pair(), 2)
