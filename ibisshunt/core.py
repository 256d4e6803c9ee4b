"""Run the services of one process and provide them to each other by name."""

from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event

from .exceptions import Fault, ServiceNotFoundError
from .helpers.logging import log_failure, warn_event

# Stops a service and releases its resources.
Unload = Callable[[], None]


class Kernel:
    """Register services by name and stop them in reverse order of their start."""

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
        """Add a service; raise ValueError if the name is in use.

        ``unload`` stops the service, ``dump`` returns its state for the admin page, and
        ``ready`` returns whether it is ready to work.
        """
        if name in self._services:
            raise ValueError(f"service {name!r} is already registered")
        self._services[name] = service
        if unload is not None:
            self._unloads.append((name, unload))
        if dump is not None:
            self._dumps[name] = dump
        if ready is not None:
            self._readiness[name] = ready

    def make_child(self, name: str) -> "Kernel":
        """Return a kernel with a separate namespace that stops with this one."""
        child = Kernel(self)
        self.register(name, child, unload=child.stop, dump=child.dump)
        return child

    def find(self, name: str) -> Any:
        """Return a service of this kernel or its parents.

        Raise ServiceNotFoundError if there is none of that name.
        """
        if name in self._services:
            return self._services[name]
        if self._parent is None:
            raise ServiceNotFoundError(Fault("find service", name, "not registered"))
        return self._parent.find(name)

    def has(self, name: str) -> bool:
        """Return whether this kernel or a parent has a service of that name."""
        if name in self._services:
            return True
        return self._parent is not None and self._parent.has(name)

    def list_unready(self) -> list[str]:
        """Return the names of the services that are not ready to work."""
        return [name for name, is_ready in self._readiness.items() if not is_ready()]

    def list_names(self) -> tuple[str, ...]:
        """Return the names of this kernel's services in the order of their start."""
        return tuple(self._services)

    def spawn(self, name: str, function: Callable[..., None], *args: Any) -> Any:
        """Start a task; if it fails, the error is logged and the process stops."""
        return gevent.spawn(self._run_task, name, function, *args)

    def _run_task(self, name: str, function: Callable[..., None], *args: Any) -> None:
        try:
            function(*args)
        except gevent.GreenletExit:
            raise
        except Exception as error:
            # A process that continued without the task would appear healthy but do
            # nothing. Once the process has stopped, its lease expires.
            log_failure("task_failed", task=name, error=error)
            self.request_stop()

    def dump(self) -> dict[str, Any]:
        """Return the state of each service that has a dump callback, by name."""
        return {name: dump() for name, dump in self._dumps.items()}

    def request_stop(self) -> None:
        """Request a stop of the process; safe to call from a signal handler."""
        self._stopping.set()
        if self._parent is not None:
            self._parent.request_stop()

    def is_stopping(self) -> bool:
        """Return whether a stop was requested."""
        return self._stopping.is_set()

    def wait_for_stop(self, timeout: float | None = None) -> bool:
        """Block until a stop is requested; return whether it was."""
        return bool(self._stopping.wait(timeout))

    def stop(self) -> None:
        """Unload all services, the last one first.

        Each unload callback must return within a limited time.
        """
        self._stopping.set()
        for name, unload in reversed(self._unloads):
            self._unload_service(name, unload)
        self._unloads.clear()

    @staticmethod
    def _unload_service(name: str, unload: Unload) -> None:
        try:
            unload()
        except Exception as error:
            warn_event("unload_failed", service=name, error=error)
