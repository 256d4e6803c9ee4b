"""Let callers wait for the answer to a proposal or read."""

import secrets
from typing import Any

import gevent
from gevent.event import AsyncResult
from returns.result import Result

from ...exceptions import Fault

TICKET_BITS = 62


class Tickets:
    """Hold one waiting caller for each ticket.

    Tickets start at a random number: after a restart a late reply to a read of the
    earlier process must not answer a new read, which could then be stale.
    """

    def __init__(self) -> None:
        self._next = secrets.randbits(TICKET_BITS) + 1
        self._waiting: dict[int, AsyncResult] = {}

    def __len__(self) -> int:
        """Count the callers that wait."""
        return len(self._waiting)

    def __contains__(self, ticket: int) -> bool:
        """Tell whether a caller still waits."""
        return ticket in self._waiting

    def draw(self) -> int:
        """Return a new ticket."""
        ticket = self._next
        self._next += 1
        self._waiting[ticket] = AsyncResult()
        return ticket

    def answer(self, ticket: int, result: Result[Any, Fault]) -> None:
        """Wake the caller, if there still is one."""
        waiting = self._waiting.get(ticket)
        if waiting is not None:
            waiting.set(result)

    def wait(self, ticket: int, timeout: float) -> Result[Any, Fault] | None:
        """Return the answer, or None after ``timeout`` seconds."""
        try:
            return self._waiting[ticket].get(timeout=max(0.0, timeout))
        except gevent.Timeout:
            return None
        finally:
            del self._waiting[ticket]
