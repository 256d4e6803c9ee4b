"""Offer real requests to agent processes with ``ibisshunt load``'s generator.

Latencies over real sockets at shares of the slots, most connections at few agents.
Prints JSON and writes a report and a plot when a folder is given.
"""

from gevent import monkey

monkey.patch_all()

import json
import sys
from pathlib import Path

import gevent

from ibisshunt.components.load import LoadPlan, render_plot, render_report, run_load
from ibisshunt.model.address import Address

from .requests_kills import AGENTS, LOOPBACK, SERVICE_SECONDS, World

SKEW = (5, 3, 2, 1, 1)
SECONDS = 8.0
LOADS = (0.5, 0.8, 1.5, 3.0)
TIMEOUT = 1.0


def offer(world, load, folder):
    """Offer one load; return outcomes and latencies in milliseconds."""
    addresses = tuple(
        Address(LOOPBACK, agent["front"])
        for agent, share in zip(world.agents, SKEW, strict=True)
        for _ in range(share)
    )
    capacity = AGENTS / SERVICE_SECONDS
    rate = load * capacity
    plan = LoadPlan(addresses, rate, 10_000, SECONDS, path="/scan", timeout=TIMEOUT)
    result = run_load(plan)
    done = result.latencies["done"]
    if folder is not None:
        name = f"requests-{round(load * 100)}"
        (folder / f"{name}.txt").write_text(render_report(plan, result) + "\n")
        (folder / f"{name}.svg").write_bytes(render_plot(plan, result))
    return {
        "load": load,
        "outcomes": dict(result.outcomes),
        "skipped": result.skipped,
        "done_of_capacity": round(result.outcomes["done"] / (capacity * SECONDS), 3),
        "p50_ms": done.get_value_at_percentile(50) / 1000,
        "p99_ms": done.get_value_at_percentile(99) / 1000,
    }


def main():
    """Run the measurement within its bounds."""
    folder = Path(sys.argv[1]) if len(sys.argv) > 1 else None
    world = World()
    try:
        world.publish()
        gevent.sleep(1.0)
        found = [offer(world, load, folder) for load in LOADS]
        figures = {"service_ms": SERVICE_SECONDS * 1000, "loads": found}
        print(json.dumps(figures, indent=1))
    finally:
        world.close()


if __name__ == "__main__":
    main()
