"""Run the services of one process and let them find each other by name."""

from collections.abc import Callable
from typing import Any

import gevent
from absl import logging
from gevent.event import Event

from .const import STOP_GRACE_SECONDS
from .exceptions import Fault, ServiceNotFoundError
from .helpers.logging import format_event

Unload = Callable[[], None]


class Kernel:
    """Hold named services and stop them in the reverse order of their start."""

    def __init__(self) -> None:
        self._services: dict[str, Any] = {}
        self._unloads: list[tuple[str, Unload]] = []
        self._dumps: dict[str, Callable[[], Any]] = {}
        self._stopping = Event()

    def register(
        self,
        name: str,
        service: Any,
        unload: Unload | None = None,
        dump: Callable[[], Any] | None = None,
    ) -> None:
        """Add a service; raise ValueError when the name is taken."""
        if name in self._services:
            raise ValueError(f"service {name!r} is registered already")
        self._services[name] = service
        if unload is not None:
            self._unloads.append((name, unload))
        if dump is not None:
            self._dumps[name] = dump

    def find(self, name: str) -> Any:
        """Return the service; raise ServiceNotFoundError when there is none."""
        if name not in self._services:
            raise ServiceNotFoundError(Fault("find service", name, "not registered"))
        return self._services[name]

    def names(self) -> tuple[str, ...]:
        """Return the names of all services, in the order of their start."""
        return tuple(self._services)

    def spawn(self, name: str, function: Callable[..., None], *args: Any) -> Any:
        """Run a task; an error that ends it is logged and stops the process."""
        return gevent.spawn(self._guard, name, function, *args)

    def _guard(self, name: str, function: Callable[..., None], *args: Any) -> None:
        try:
            function(*args)
        except gevent.GreenletExit:
            raise
        except Exception as error:
            # A task that died unseen leaves a process that looks healthy and does
            # nothing. Ending the whole process lets its lease run out.
            logging.exception(format_event("task_failed", task=name, error=error))
            self.request_stop()

    def dump(self) -> dict[str, Any]:
        """Return the state of each service that offers one, by name."""
        return {name: take() for name, take in self._dumps.items()}

    def request_stop(self) -> None:
        """Ask the process to stop; safe to call from a signal handler."""
        self._stopping.set()

    def wait_for_stop(self, timeout: float | None = None) -> bool:
        """Block until a stop is requested; return whether it was."""
        return bool(self._stopping.wait(timeout))

    def stop(self) -> None:
        """Unload every service, last started first, each within the grace time."""
        self._stopping.set()
        for name, unload in reversed(self._unloads):
            self._unload_one(name, unload)
        self._unloads.clear()

    @staticmethod
    def _unload_one(name: str, unload: Unload) -> None:
        try:
            with gevent.Timeout(STOP_GRACE_SECONDS):
                unload()
        except (Exception, gevent.Timeout) as error:
            logging.error(format_event("unload_failed", service=name, error=error))
