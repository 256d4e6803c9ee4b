"""Run one program: ``python3 -m ibisshunt.platform balancer|agent|control``."""

import signal
import sys

# By default the signal ends a process; one that arrives during the imports, which
# take a small host a second, would. The settings are read afterwards anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from .early import open_early

# What calls this program waits at its sockets while the rest is imported.
open_early(sys.argv[-1])

import gevent

from ..const import EXIT_BAD_INPUT, EXIT_FAILURE
from ..core import Kernel
from ..exceptions import IbisshuntError, SettingsError
from ..helpers.logging import log_event, write_plainly
from .programs import PROGRAMS
from .reloading import watch_settings
from .settings import find_path, read_settings


def main(arguments: list[str]) -> int:
    """Run the program that is named until it is asked to stop."""
    if len(arguments) != 1 or arguments[0] not in PROGRAMS:
        print(f"expected one of: {' '.join(PROGRAMS)}", file=sys.stderr)
        return EXIT_BAD_INPUT
    write_plainly()
    kernel = Kernel()
    gevent.signal_handler(signal.SIGTERM, kernel.request_stop)
    gevent.signal_handler(signal.SIGINT, kernel.request_stop)
    try:
        path = find_path()
        settings = read_settings(path)
        PROGRAMS[arguments[0]](kernel, settings)
        reloader = watch_settings(kernel, path, settings)
        gevent.signal_handler(signal.SIGHUP, reloader.wake)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_INPUT
    except (IbisshuntError, OSError) as error:
        print(f"{arguments[0]}: {error}", file=sys.stderr)
        kernel.stop()
        return EXIT_FAILURE
    log_event("started", program=arguments[0], node=settings.name)
    kernel.wait_for_stop()
    log_event("stopping", program=arguments[0])
    kernel.stop()
    log_event("stopped", program=arguments[0])
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
