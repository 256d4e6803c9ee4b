"""Run soaks from the command line."""

import sys
import tempfile
import time
from pathlib import Path

import click

from .fleet import Fleet
from .plan import draw_plan


def run_once(seed, seconds, planned_only=False, folder=None, timed=True):
    """Play one seed; return the record and the plan."""
    plan = draw_plan(seed, seconds, planned_only)
    fleet = Fleet(Path(folder or tempfile.mkdtemp(prefix="soak-")), seed, timed)
    began = time.monotonic()
    try:
        for fault in plan:
            time.sleep(max(0.0, began + fault.at - time.monotonic()))
            fleet.bring(fault)
        time.sleep(max(0.0, began + seconds - time.monotonic()))
        fleet.finish()
    finally:
        fleet.stop()
    return fleet.record, plan, fleet.folder


@click.command()
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=1, show_default=True, help="How many seeds.")
@click.option("--seconds", default=20.0, show_default=True, help="Length of a run.")
@click.option("--planned", is_flag=True, help="Planned faults alone.")
@click.option("--untimed", is_flag=True, help="Leave out promises bound to a time.")
def main(seed, seeds, seconds, planned, untimed):
    """Run the programs under seeded faults; exit with 1 when a promise was broken."""
    failed = 0
    for number in range(seed, seed + seeds):
        record, plan, folder = run_once(number, seconds, planned, timed=not untimed)
        failed += bool(record.broken)
        click.echo(
            f"seed={number} faults={len(plan)} answers={record.answers} "
            f"resets={record.resets} silences={record.silences} acked={record.acked} "
            f"broken={len(record.broken)}"
        )
        if record.broken:
            click.echo(f"logs: {folder}")
            for line in (*record.broken[:20], *map(str, plan)):
                click.echo(f"  {line}")
    click.echo(f"{seeds - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
