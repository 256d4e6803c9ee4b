"""Apply changes of the settings file while a program runs."""

import os

from gevent.event import Event

from ..core import Kernel
from ..exceptions import SettingsError
from ..helpers.logging import log_event, warn_event
from ..model.node import NodeSettings
from .programs import RELOAD_SERVICE
from .settings import read_settings

# The file is checked this often because it may change without a signal.
POLL_INTERVAL_SECONDS = 1.0


class Reloader:
    """Watch the settings file of one process and apply changes of the seeds."""

    def __init__(self, kernel: Kernel, path: str, settings: NodeSettings) -> None:
        self._kernel = kernel
        self._path = path
        self._settings = settings
        self._file_state = _read_file_state(path)
        self._check_requested = Event()

    def request_check(self) -> None:
        """Request an immediate check; safe to call from a signal handler."""
        self._check_requested.set()

    def run(self) -> None:
        """Check the file for changes until killed."""
        while True:
            is_requested = self._check_requested.wait(POLL_INTERVAL_SECONDS)
            self._check_requested.clear()
            file_state = _read_file_state(self._path)
            if is_requested or file_state != self._file_state:
                self._file_state = file_state
                self._reload()

    def _reload(self) -> None:
        try:
            settings = read_settings(self._path)
        except SettingsError as error:
            # The file may be half written; the previous settings stay in effect.
            warn_event("settings_refused", reason=error.fault.reason)
            return
        if settings == self._settings:
            log_event("settings_unchanged")
            return
        self._settings = settings
        self._kernel.find(RELOAD_SERVICE)(settings.seeds)
        log_event("settings_taken", seeds=",".join(settings.seeds))


def _read_file_state(path: str) -> tuple[int, int]:
    """Return modification time in nanoseconds and size in bytes, 0 and 0 on error."""
    try:
        status = os.stat(path)
    except OSError:
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)


def watch_settings(kernel: Kernel, path: str, settings: NodeSettings) -> Reloader:
    """Start a task that watches the file; return its reloader."""
    reloader = Reloader(kernel, path, settings)
    kernel.spawn("settings", reloader.run)
    return reloader
