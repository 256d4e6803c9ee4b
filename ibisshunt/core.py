"""Run the services of one process and let them find each other by name."""

from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event

from .exceptions import Fault, ServiceNotFoundError
from .helpers.logging import log_failure, warn_event

Unload = Callable[[], None]


class Kernel:
    """Hold named services and stop them in the reverse order of their start."""

    def __init__(self, parent: "Kernel | None" = None) -> None:
        self._parent = parent
        self._services: dict[str, Any] = {}
        self._unloads: list[tuple[str, Unload]] = []
        self._dumps: dict[str, Callable[[], Any]] = {}
        self._readiness: dict[str, Callable[[], bool]] = {}
        self._stopping = Event()

    def register(
        self,
        name: str,
        service: Any,
        unload: Unload | None = None,
        dump: Callable[[], Any] | None = None,
        ready: Callable[[], bool] | None = None,
    ) -> None:
        """Add a service; raise ValueError when the name is taken."""
        if name in self._services:
            raise ValueError(f"service {name!r} is registered already")
        self._services[name] = service
        if unload is not None:
            self._unloads.append((name, unload))
        if dump is not None:
            self._dumps[name] = dump
        if ready is not None:
            self._readiness[name] = ready

    def make_child(self, name: str) -> "Kernel":
        """Return a kernel with names of its own that stops with this one."""
        child = Kernel(self)
        self.register(name, child, unload=child.stop, dump=child.dump)
        return child

    def find(self, name: str) -> Any:
        """Return the service; raise ServiceNotFoundError when there is none."""
        if name in self._services:
            return self._services[name]
        if self._parent is None:
            raise ServiceNotFoundError(Fault("find service", name, "not registered"))
        return self._parent.find(name)

    def has(self, name: str) -> bool:
        """Tell whether a service of that name can be found."""
        if name in self._services:
            return True
        return self._parent is not None and self._parent.has(name)

    def list_unready(self) -> list[str]:
        """Return the services that are not ready to work."""
        return [name for name, check in self._readiness.items() if not check()]

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
            log_failure("task_failed", task=name, error=error)
            self.request_stop()

    def dump(self) -> dict[str, Any]:
        """Return the state of each service that offers one, by name."""
        return {name: take() for name, take in self._dumps.items()}

    def request_stop(self) -> None:
        """Ask the process to stop; safe to call from a signal handler."""
        self._stopping.set()
        if self._parent is not None:
            self._parent.request_stop()

    def is_stopping(self) -> bool:
        """Tell whether a stop was requested."""
        return self._stopping.is_set()

    def wait_for_stop(self, timeout: float | None = None) -> bool:
        """Block until a stop is requested; return whether it was."""
        return bool(self._stopping.wait(timeout))

    def stop(self) -> None:
        """Unload every service, last started first; each bounds its own time."""
        self._stopping.set()
        for name, unload in reversed(self._unloads):
            self._unload_one(name, unload)
        self._unloads.clear()

    @staticmethod
    def _unload_one(name: str, unload: Unload) -> None:
        try:
            unload()
        except Exception as error:
            warn_event("unload_failed", service=name, error=error)
