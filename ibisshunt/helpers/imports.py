"""Import modules without blocking the other tasks of the process for long."""

from collections.abc import Iterable
from importlib import import_module

import gevent

# Pause after each module. Without a pause the event loop does not poll sockets.
PAUSE_SECONDS = 0.001


def import_in_steps(names: Iterable[str], package: str) -> None:
    """Import modules relative to ``package``; other tasks run after each of them.

    A single import of 60 ms would delay all replies of the process by 60 ms.
    """
    for name in names:
        import_module(name, package)
        gevent.sleep(PAUSE_SECONDS)
