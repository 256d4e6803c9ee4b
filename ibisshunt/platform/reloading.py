"""Take over settings that change while a program runs."""

import os

from gevent.event import Event

from ..core import Kernel
from ..exceptions import SettingsError
from ..helpers.logging import log_event, warn_event
from ..model.node import NodeSettings
from .programs import RELOAD
from .settings import read_settings

# How often the file is looked at: it may change without a signal.
LOOK_SECONDS = 1.0


class Reloader:
    """Own the watch over the settings file of one process."""

    def __init__(self, kernel: Kernel, path: str, settings: NodeSettings) -> None:
        self._kernel = kernel
        self._path = path
        self._settings = settings
        self._stamp = _read_stamp(path)
        self._signalled = Event()

    def wake(self) -> None:
        """Look at the file now; safe to call from a signal handler."""
        self._signalled.set()

    def run(self) -> None:
        """Look at the file until killed."""
        while True:
            signalled = self._signalled.wait(LOOK_SECONDS)
            self._signalled.clear()
            stamp = _read_stamp(self._path)
            if signalled or stamp != self._stamp:
                self._stamp = stamp
                self._reload()

    def _reload(self) -> None:
        try:
            found = read_settings(self._path)
        except SettingsError as error:
            # The file may be half written; the former settings stay in force.
            warn_event("settings_refused", reason=error.fault.reason)
            return
        if found == self._settings:
            log_event("settings_unchanged")
            return
        self._settings = found
        self._kernel.find(RELOAD)(found.seeds)
        log_event("settings_taken", seeds=",".join(found.seeds))


def _read_stamp(path: str) -> tuple[int, int]:
    try:
        found = os.stat(path)
    except OSError:
        return (0, 0)
    return (found.st_mtime_ns, found.st_size)


def watch_settings(kernel: Kernel, path: str, settings: NodeSettings) -> Reloader:
    """Start to watch the file; return whom a signal wakes."""
    reloader = Reloader(kernel, path, settings)
    kernel.spawn("settings", reloader.run)
    return reloader
