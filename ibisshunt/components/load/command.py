"""Define the command line of the load generator."""

from pathlib import Path

import click

from ...model.address import Address, parse_address
from .generator import MAX_REQUESTS, MAX_SECONDS, LoadPlan, run_load
from .report import render_plot, render_report


def _parse_addresses(
    _context: click.Context, _parameter: click.Parameter, texts: tuple[str, ...]
) -> tuple[Address, ...]:
    results = [parse_address(text) for text in texts]
    for result in results:
        if fault := result.swap().value_or(None):
            raise click.BadParameter(fault.reason)
    return tuple(result.unwrap() for result in results)


@click.command()
@click.argument("addresses", nargs=-1, required=True, callback=_parse_addresses)
@click.option("--rate", type=click.FloatRange(0.1, 10_000), default=10.0)
@click.option("--count", type=click.IntRange(1, MAX_REQUESTS), default=1_000)
@click.option("--seconds", type=click.FloatRange(0.1, MAX_SECONDS), default=30.0)
@click.option("--path", default="/", help="Path of each request.")
@click.option("--method", default="GET", help="Method of each request.")
@click.option("--body", default="", help="Body of each request.")
@click.option("--keyed", is_flag=True, help="Send an idempotency key with each.")
@click.option("--timeout", type=click.FloatRange(0.01, 300), default=10.0)
@click.option("--seed", type=int, default=1, help="Seed of the arrival times.")
@click.option("--plot", type=click.Path(dir_okay=False, path_type=Path))
def load(
    addresses: tuple[Address, ...],
    rate: float,
    count: int,
    seconds: float,
    path: str,
    method: str,
    body: str,
    keyed: bool,
    timeout: float,
    seed: int,
    plot: Path | None,
) -> None:
    """Send requests to ADDRESSES (ip:port) and report latencies and outcomes.

    Requests are sent at random times at the given rate, without waiting for answers.
    The load ends with --count or --seconds, whichever comes first.
    """
    plan = LoadPlan(
        addresses,
        rate,
        count,
        seconds,
        path,
        method.upper(),
        body.encode(),
        keyed,
        timeout,
        seed,
    )
    result = run_load(plan)
    click.echo(render_report(plan, result))
    if plot is not None:
        plot.write_bytes(render_plot(plan, result))
        click.echo(f"plot: {plot}")
