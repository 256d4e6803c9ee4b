"""Let callers wait for the result of a proposal or read."""

import secrets
from typing import Any

import gevent
from gevent.event import AsyncResult
from returns.result import Result

from ...exceptions import Fault

REQUEST_ID_BITS = 62


class PendingRequests:
    """Hold one waiting caller per request id.

    Ids start at a random number: a late reply to a read of the previous process must
    not match a read of this one, which could then return stale state.
    """

    def __init__(self) -> None:
        self._next_request_id = secrets.randbits(REQUEST_ID_BITS) + 1
        self._results: dict[int, AsyncResult] = {}

    def __len__(self) -> int:
        """Count the callers that wait."""
        return len(self._results)

    def __contains__(self, request_id: int) -> bool:
        """Return whether a caller still waits for this request."""
        return request_id in self._results

    def allocate(self) -> int:
        """Return a new request id."""
        request_id = self._next_request_id
        self._next_request_id += 1
        self._results[request_id] = AsyncResult()
        return request_id

    def answer(self, request_id: int, result: Result[Any, Fault]) -> None:
        """Pass the result to the caller if it still waits."""
        waiting = self._results.get(request_id)
        if waiting is not None:
            waiting.set(result)

    def wait(self, request_id: int, timeout: float) -> Result[Any, Fault] | None:
        """Return the result, or None after ``timeout`` seconds."""
        try:
            return self._results[request_id].get(timeout=max(0.0, timeout))
        except gevent.Timeout:
            return None
        finally:
            del self._results[request_id]
