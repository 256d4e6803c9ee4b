"""Run soak tests from the command line."""

import sys
import tempfile
import time
from pathlib import Path

import click

from .fleet import Fleet
from .plan import generate_plan


def run_once(seed, seconds, planned_only=False, folder=None, checks_timing=True):
    """Run the faults of one seed; return record, faults and the folder of the logs."""
    faults = generate_plan(seed, seconds, planned_only)
    fleet = Fleet(Path(folder or tempfile.mkdtemp(prefix="soak-")), seed, checks_timing)
    started_at = time.monotonic()
    try:
        for fault in faults:
            time.sleep(max(0.0, started_at + fault.starts_at - time.monotonic()))
            fleet.inject(fault)
        time.sleep(max(0.0, started_at + seconds - time.monotonic()))
        fleet.finish()
    finally:
        fleet.stop()
    return fleet.record, faults, fleet.folder


@click.command()
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=1, show_default=True, help="How many seeds.")
@click.option("--seconds", default=20.0, show_default=True, help="Length of a run.")
@click.option("--planned", is_flag=True, help="Planned faults alone.")
@click.option("--untimed", is_flag=True, help="Leave out promises bound to a time.")
def main(seed, seeds, seconds, planned, untimed):
    """Run the programs under seeded faults; exit with 1 if an invariant failed."""
    failed = 0
    for number in range(seed, seed + seeds):
        record, faults, folder = run_once(
            number, seconds, planned, checks_timing=not untimed
        )
        failed += bool(record.violations)
        click.echo(
            f"seed={number} faults={len(faults)} answers={record.answers} "
            f"resets={record.resets} silences={record.timeouts} "
            f"acked={record.acked_version} broken={len(record.violations)}"
        )
        if record.violations:
            click.echo(f"logs: {folder}")
            for line in (*record.violations[:20], *map(str, faults)):
                click.echo(f"  {line}")
    click.echo(f"{seeds - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
