"""Load modules while the other tasks of the process go on."""

from collections.abc import Iterable
from importlib import import_module

import gevent

# How long other tasks may run between two modules: without a pause the event loop does
# not look at sockets.
TURN_SECONDS = 0.001


def import_in_steps(names: Iterable[str], package: str) -> None:
    """Import modules named relative to ``package``, with a turn for others after each.

    An import of 60 ms at once keeps every answer back for as long.
    """
    for name in names:
        import_module(name, package)
        gevent.sleep(TURN_SECONDS)
