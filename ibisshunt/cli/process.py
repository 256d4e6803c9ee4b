"""Run a program until a stop is requested."""

import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import gevent
from absl import flags, logging

from ..const import EXIT_BAD_INPUT, EXIT_FAILURE
from ..core import Kernel
from ..exceptions import IbisshuntError, SettingsError
from ..helpers.logging import log_event
from ..settings import read_settings


def set_up_logging(verbose: bool) -> None:
    """Log one line per event to standard error."""
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.DEBUG if verbose else logging.INFO)
    logging.set_stderrthreshold(logging.DEBUG)


def read_settings_or_exit(path: Path, validate: Any) -> Any:
    """Read the settings; if they are invalid, print the error and exit with 2."""
    try:
        return read_settings(path, validate)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_BAD_INPUT)


def run_until_stopped(
    program: str, settings: Any, set_up: Callable[[Kernel, Any], None]
) -> None:
    """Start a program, wait for SIGTERM or SIGINT and stop it gracefully."""
    kernel = Kernel()
    gevent.signal_handler(signal.SIGTERM, kernel.request_stop)
    gevent.signal_handler(signal.SIGINT, kernel.request_stop)
    try:
        set_up(kernel, settings)
    except (IbisshuntError, OSError) as error:
        click.echo(f"{program}: {error}", err=True)
        kernel.stop()
        sys.exit(EXIT_FAILURE)
    log_event("started", program=program)
    kernel.wait_for_stop()
    log_event("stopping", program=program)
    kernel.stop()
    log_event("stopped", program=program)


def make_command(
    program: str, doc: str, validate: Any, set_up: Callable[[Kernel, Any], None]
) -> click.Command:
    """Return the command that runs a program; ``doc`` is its help text."""

    @click.command(name=program, help=doc)
    @click.option(
        "--settings",
        "path",
        required=True,
        type=click.Path(path_type=Path),
        help="Settings file, JSON with comments.",
    )
    @click.option("--check", is_flag=True, help="Check the settings and exit.")
    @click.option("--verbose", is_flag=True, help="Log debug events too.")
    def run(path: Path, check: bool, verbose: bool) -> None:
        settings = read_settings_or_exit(path, validate)
        if check:
            click.echo(f"{path}: ok")
            return
        set_up_logging(verbose)
        run_until_stopped(program, settings, set_up)

    return run
