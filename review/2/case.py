"""A late heartbeat of a crashed endpoint, while its successor serves open flows."""

# ruff: noqa: ANN001, ANN002, ANN003, ANN201, ANN202, ANN204, ANN205

import os
import threading
import time
from pathlib import Path

from harness import (
    CONTACT_SECONDS,
    CannotRun,
    Client,
    Endpoint,
    Fleet,
    HeldLink,
    Record,
    make_config,
    run_case,
)

# How long the link between the endpoint and its node is cut: the site's length.
CUT_SECONDS = 5.5
# When the heartbeat arrives that was under way as the cut began. TCP sends it again
# after 0.32 s and doubles the pause: the copies of 0.3, 1.0, 2.2 and 4.8 s are lost in
# the cut, the next one is sent after 9.9 s.
LATE_SECONDS = 9.9
FLOWS = 6
MAX_OPENED = 60


def play(record, has_trouble):
    """Return whether an open flow was reset that its endpoint did not reset."""
    fleet = Fleet(record, balancers=3)
    client = link = None
    endpoints = []
    try:
        fleet.put(make_config(kind="non_idempotent"))
        first, second, third = fleet.agents
        endpoints += [
            Endpoint(fleet, first.ip, "i-0000aaaa"),
            Endpoint(fleet, second.ip, "i-0000bbbb"),
        ]
        fleet.wait_until_ready()
        time.sleep(1.0)

        record.write("the link between the third endpoint and its node is cut")
        cut_at = time.monotonic()
        link = HeldLink(third.ip)
        before = Endpoint(fleet, third.ip, "i-01d01d01", control=link.address)
        time.sleep(2.0)
        before.crash()
        time.sleep(cut_at + CUT_SECONDS - time.monotonic())
        record.write("the cut ends")

        current = Endpoint(fleet, third.ip, "i-02e02e02", work_seconds=0.4)
        endpoints.append(current)
        time.sleep(1.2)
        client = Client(fleet, fleet.make_ip(9, 1))
        own = _open_flows(client, current)
        record.write(f"{len(own)} flows are open at {current.name}")
        time.sleep(max(0.0, cut_at + LATE_SECONDS - 0.1 - time.monotonic()))
        asking = _ask_all(client, own, "pushed")
        time.sleep(0.1)
        if time.monotonic() - cut_at - CUT_SECONDS < CONTACT_SECONDS:
            raise CannotRun("the cut ended too short a time ago")
        if has_trouble:
            answer = link.deliver(f"{third.ip}:{fleet.ports['control']}")
            record.write(f"the late heartbeat of {before.name} arrives: {answer}")
        for thread in asking:
            thread.join()
        for turn in range(3):
            time.sleep(1.0)
            for thread in _ask_all(client, own, f"turn{turn}"):
                thread.join()
        _record_effects(record, client, current)
        resets = sum(flow.resets for flow in own)
        record.write(
            f"{resets} of {len(own)} open flows were reset by the system; "
            f"{current.name} runs and has sent no reset"
        )
        return resets > 0
    finally:
        if client is not None:
            client.close()
        if link is not None:
            link.close()
        for endpoint in endpoints:
            endpoint.crash()
        fleet.close()


def _open_flows(client, endpoint):
    """Return flows that are open at an endpoint."""
    own = []
    for _ in range(MAX_OPENED):
        flow = client.open()
        if flow is None or not client.ask(flow, f"first-{flow.port}"):
            continue
        if flow.last_answer.endswith(endpoint.name):
            own.append(flow)
        if len(own) == FLOWS:
            return own
    raise CannotRun(f"only {len(own)} flows opened at {endpoint.name}")


def _ask_all(client, flows, prefix):
    """Send a request over each open flow at the same time; return the threads."""
    threads = [
        threading.Thread(
            target=client.ask, args=(flow, f"{prefix}-{flow.port}", 2.5, "POST")
        )
        for flow in flows
        if flow.state == "open"
    ]
    for thread in threads:
        thread.start()
    return threads


def _record_effects(record, client, current):
    """Record what else is seen; the rule does not depend on it."""
    lost = [
        name
        for name in current.runs
        if name.startswith("pushed") and name not in client.answered
    ]
    record.write(f"requests that ran and were never answered: {', '.join(lost) or '-'}")
    acknowledged, before = current.acknowledged, len(current.runs)
    for _ in range(20):
        flow = client.open()
        if flow is not None:
            client.ask(flow, f"new-{flow.port}")
    time.sleep(1.0)
    record.write(
        f"{len(current.runs) - before} of 20 new flows went to {current.name}, "
        f"of whose heartbeats {current.acknowledged - acknowledged} were "
        "acknowledged meanwhile"
    )


RECORD_PATH = Path(__file__).resolve().parent / "record.txt"
run_case(Record(RECORD_PATH), os.environ.get("TROUBLE", "1") != "0", play)
