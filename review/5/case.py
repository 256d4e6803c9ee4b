"""Restart an agent soon after the start of its endpoint, whose ``Seq`` begins at 0."""

import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet_2 import (  # noqa: E402
    BROKEN,
    HELD,
    CaseNotRunError,
    Fleet,
    Record,
    make_configuration,
    run_case,
    wait_for,
)
from flows_2 import Client, Endpoint, Flow, Router  # noqa: E402

# With TROUBLE=0 the case runs without the disruption.
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
CORE = ("127.48.1.1", "127.48.1.2", "127.48.1.3")
FRONTS = ("127.48.2.1", "127.48.2.2")
SIDES = ("127.48.3.1", "127.48.3.2")
CLIENT = "127.48.9.1"
ZONES = ("moin-a", "moin-b", "limon-centro")
SERVICE, VIP = "huvo11a", ("127.48.8.1", 8443)
ROUTES = [(SERVICE, *VIP, "non_idempotent")]
FIRST_SEQUENCE = int(os.environ.get("FIRST_SEQ", "0"))
GRACE_SECONDS = 6.0
DEADLINE_SECONDS = 0.6
# Far below IdleTimeoutMs (15 s) and MaxFlowS (60 s).
IDLE_SECONDS = 5.0
FLOWS = 6


def run(record: Record) -> int:
    """Run the case and return its result."""
    fleet = Fleet(record, CORE, (*FRONTS, *SIDES, CLIENT))
    try:
        return _run(fleet, record)
    finally:
        fleet.close()


def _run(fleet: Fleet, record: Record) -> int:
    hosts = [
        fleet.add("control", ip, zone) for ip, zone in zip(CORE, ZONES, strict=True)
    ]
    for ip, zone in zip(FRONTS, ZONES, strict=False):
        fleet.add("balancer", ip, zone)
    app = fleet.ports.app
    agents = [
        fleet.add("agent", ip, zone, Service=SERVICE, app=f"{ip}:{app}")
        for ip, zone in zip(SIDES, ZONES, strict=False)
    ]
    router = Router(record, fleet.ports, list(FRONTS))
    if not fleet.put_until_acknowledged(hosts, make_configuration(3, ROUTES), 20):
        raise CaseNotRunError("the first configuration was not acknowledged")
    other = _start_endpoint(fleet, record, 1, 1)
    wait_for(lambda: len(router.list_rotation()) == len(FRONTS), 15, "ready balancers")
    time.sleep(1.0)
    client = Client(record, fleet.ports, router, CLIENT)
    endpoint = _start_endpoint(fleet, record, 0, FIRST_SEQUENCE)
    wait_for(lambda: endpoint.acknowledged, 5, "the first heartbeat is acknowledged")
    started_at = endpoint.acknowledged[0][0]
    flows = _open_flows(client)
    held = [flow for flow in flows if flow.source in endpoint.flows]
    record.write(f"{len(held)} of {len(flows)} flows are open at {endpoint.name}")
    if not held or time.monotonic() > started_at + 0.5:
        raise CaseNotRunError("no flow was opened at the new endpoint in time")
    if IS_TROUBLED:
        agents[0].send_signal(signal.SIGTERM)
        agents[0].wait_for_exit(GRACE_SECONDS)
        agents[0].start()
    time.sleep(IDLE_SECONDS)
    results = [
        flow.ask(f"second-{number}", DEADLINE_SECONDS)
        for number, flow in enumerate(held)
    ]
    still_held = [flow for flow in held if flow.source in endpoint.flows]
    reset = [result for result in results if result.kind == "reset"]
    record.write(
        f"{len(still_held)} flows are still open at {endpoint.name};"
        f" {len(reset)} of {len(results)} were reset by the system"
    )
    router.stop()
    client.close()
    endpoint.stop()
    other.stop()
    return BROKEN if reset and still_held else HELD


def _start_endpoint(
    fleet: Fleet, record: Record, index: int, first_sequence: int
) -> Endpoint:
    return Endpoint(
        record,
        fleet.ports,
        SIDES[index],
        ZONES[index],
        SERVICE,
        f"i-{index}",
        first_sequence=first_sequence,
    )


def _open_flows(client: Client) -> list[Flow]:
    """Open flows that serve one request each and stay open."""
    flows = []
    for number in range(FLOWS):
        flow = client.open(40_001 + number, VIP)
        if not flow.connect():
            continue
        if flow.ask(f"first-{number}", DEADLINE_SECONDS).kind == "answer":
            flows.append(flow)
    return flows


run_case(FOLDER / "record.txt", IS_TROUBLED, run)
