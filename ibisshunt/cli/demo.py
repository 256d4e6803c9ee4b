"""Run a complete system on this machine, with traffic, and report the outcome."""

import json
import random
import sys
import tempfile
from dataclasses import replace
from pathlib import Path

import click
import gevent
from absl import logging

from ..components.standin import Endpoint, Fabric
from ..components.standin.traffic import (
    ServiceAddress,
    TrafficSummary,
    drive_flows,
    fetch_page,
    post_with_key,
)
from ..const import EXIT_FAILURE, EXIT_OK
from ..core import Kernel
from ..exceptions import IbisshuntError
from ..model.address import Address
from ..programs import set_up_standalone
from ..protocol.messages import APPLY, STATUS, ApplyRequest, StatusRequest
from ..protocol.rpc import Channel
from ..settings import STANDALONE, StandaloneSettings
from .process import read_settings_or_exit, set_up_logging
from .records import read_documents

READY_TIMEOUT_SECONDS = 20.0
DEMO_KEY = "demo-swap-1"


def start_endpoints(settings: StandaloneSettings) -> list[Endpoint]:
    """Start a simulated endpoint for the target of each agent."""
    return [
        Endpoint(
            agent.target.service,
            agent.target.name,
            agent.target.tunnel,
            agent.target.streams,
            agent.replies,
        )
        for agent in settings.agents
    ]


def wait_until_active(channel: Channel, targets: int) -> None:
    """Wait until every target is announced and every node has the latest revision."""
    with gevent.Timeout(
        READY_TIMEOUT_SECONDS,
        TimeoutError("configuration not active on every node in time"),
    ):
        while True:
            status = channel.call(STATUS, StatusRequest())
            lagging = [node for node in status.nodes if node.revision < status.revision]
            if len(status.targets) == targets and status.nodes and not lagging:
                return
            gevent.sleep(0.1)


def show_progress(step: str) -> None:
    """Print one line of progress."""
    click.echo(f"demo: {step}")


def list_services(documents: tuple[str, ...]) -> list[ServiceAddress]:
    """Return the services among the records."""
    parsed = [json.loads(document) for document in documents]
    services = [record for record in parsed if record["kind"] == "service"]
    return [
        ServiceAddress(record["name"], Address(listen["address"], listen["port"]))
        for record in services
        for listen in [record.get("listen", record)]
    ]


def run_demo(
    settings: StandaloneSettings, documents: tuple[str, ...], flows: int
) -> list[TrafficSummary]:
    """Apply the records, send HTTP requests and flows; return a summary per service."""
    channel = Channel(settings.control[0].rpc)
    reply = channel.call(APPLY, ApplyRequest("demo", documents))
    for outcome in reply.outcomes:
        show_progress(f"record {outcome.name}: {outcome.error or 'accepted'}")
    wait_until_active(channel, len(settings.agents))
    show_progress("configuration in force on every node")
    balancers = [balancer.packets for balancer in settings.balancers]
    fabric = Fabric(settings.agents[0].replies, balancers, random.Random(1).choice)
    summaries = []
    for service in list_services(documents):
        page = fetch_page(service.address, "/demo").strip()
        show_progress(f"stream to {service.name} at {service.address}: {page}")
        show_progress(
            f"{flows} flows to {service.name} over {len(balancers)} balancers"
        )
        summaries.append(drive_flows(fabric, service, flows, rounds=3))
    fabric.close()
    channel.close()
    return summaries


def check_idempotency(service: ServiceAddress, endpoints: list[Endpoint]) -> bool:
    """Send a non-idempotent request twice with one key; return whether it ran once."""
    count_before = count_requests(service, endpoints)
    answers = [post_with_key(service.address, "/swap", DEMO_KEY) for _ in range(2)]
    run_count = count_requests(service, endpoints) - count_before
    show_progress(f"{service.name}: one key sent twice ran {run_count} time(s)")
    return run_count == 1 and answers[0] == answers[1]


def count_requests(service: ServiceAddress, endpoints: list[Endpoint]) -> int:
    """Return how many requests the targets of a service have run."""
    targets = [endpoint for endpoint in endpoints if endpoint.service == service.name]
    return sum(endpoint.counts["requests"] for endpoint in targets)


def print_summary(summaries: list[TrafficSummary]) -> bool:
    """Print the summaries; return whether no flow was broken or misrouted."""
    click.echo("\nservice     flows answers broken wrong  targets")
    for summary in summaries:
        click.echo(
            f"{summary.service:<11} {summary.flows:>5} {summary.answers:>7} "
            f"{summary.broken:>6} {summary.misrouted:>5}  {summary.by_target}"
        )
    return not any(summary.broken or summary.misrouted for summary in summaries)


@click.command()
@click.option("--settings", "path", default="samples/standalone.json", type=Path)
@click.option("--records", default="samples/records.json", type=Path)
@click.option("--flows", default=60, type=click.IntRange(1, 1000))
@click.option("--keep", is_flag=True, help="Leave the system running.")
@click.option("--verbose", is_flag=True, help="Show the log.")
def main(path: Path, records: Path, flows: int, keep: bool, verbose: bool) -> None:
    """Run a complete system on this machine and send traffic through it."""
    settings = read_settings_or_exit(path, STANDALONE)
    documents = read_documents(records)
    set_up_logging(verbose)
    if not verbose:
        logging.set_verbosity(logging.ERROR)
    kernel = Kernel()
    folder = tempfile.mkdtemp(prefix="ibisshunt-demo-")
    control = replace(settings.control[0], data_folder=folder)
    settings = replace(settings, control=(control,))
    try:
        endpoints = start_endpoints(settings)
        set_up_standalone(kernel, settings)
        show_progress(f"started {len(settings.agents)} agents beside stand-in targets")
        summaries = run_demo(settings, documents, flows)
        is_idempotent = check_idempotency(list_services(documents)[0], endpoints)
        is_successful = print_summary(summaries) and is_idempotent
    except (IbisshuntError, OSError, TimeoutError) as error:
        click.echo(f"demo: failed: {error}", err=True)
        sys.exit(EXIT_FAILURE)
    if keep:
        keep_running(kernel, settings, documents)
    kernel.stop()
    for endpoint in endpoints:
        endpoint.close()
    click.echo("demo: done, nothing broken" if is_successful else "demo: FAILED")
    sys.exit(EXIT_OK if is_successful else EXIT_FAILURE)


def keep_running(
    kernel: Kernel, settings: StandaloneSettings, documents: tuple[str, ...]
) -> None:
    """Print commands to try and run until interrupted."""
    click.echo("\nrunning; try in another terminal, and stop with ctrl-c:")
    for service in list_services(documents):
        click.echo(f"  curl http://{service.address}/hello")
    click.echo("  script/ibisshunt status")
    click.echo("  script/ibisshunt list")
    click.echo("  script/ibisshunt drain marea booking booking-1")
    click.echo(f"  script/ibisshunt dump {settings.balancers[0].admin}")
    click.echo(f"  curl http://{settings.agents[0].admin}/metrics")
    try:
        kernel.wait_for_stop()
    except KeyboardInterrupt:
        click.echo("stopping")


if __name__ == "__main__":
    main()
