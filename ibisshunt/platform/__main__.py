"""Run one program: ``python3 -m ibisshunt.platform balancer|agent|control``."""

import signal
import sys

# SIGHUP ends a process by default, and the imports take a second on a small host.
# A signal in that time may be ignored: the settings are read after the imports.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from .prebinding import prebind_sockets

# The kernel queues packets and connections at the sockets during the other imports.
prebind_sockets(sys.argv[-1])

import gevent

from ..const import EXIT_BAD_INPUT, EXIT_FAILURE
from ..core import Kernel
from ..exceptions import IbisshuntError, SettingsError
from ..helpers.logging import log_event, log_to_stdout
from .programs import PROGRAMS
from .reloading import watch_settings
from .settings import get_settings_path, read_settings


def main(arguments: list[str]) -> int:
    """Run the named program until a stop is requested; return its exit code."""
    if len(arguments) != 1 or arguments[0] not in PROGRAMS:
        print(f"expected one of: {' '.join(PROGRAMS)}", file=sys.stderr)
        return EXIT_BAD_INPUT
    log_to_stdout()
    kernel = Kernel()
    gevent.signal_handler(signal.SIGTERM, kernel.request_stop)
    gevent.signal_handler(signal.SIGINT, kernel.request_stop)
    try:
        path = get_settings_path()
        settings = read_settings(path)
        PROGRAMS[arguments[0]](kernel, settings)
        reloader = watch_settings(kernel, path, settings)
        gevent.signal_handler(signal.SIGHUP, reloader.request_check)
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
