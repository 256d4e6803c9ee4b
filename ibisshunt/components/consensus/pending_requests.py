"""Match the results of proposals and reads with the callers that wait for them."""

import secrets
from typing import Any

import gevent
from gevent.event import AsyncResult
from returns.result import Result

from ...exceptions import Fault

REQUEST_ID_BITS = 62


class PendingRequests:
    """Map each request id to the caller that waits for its result.

    Ids start at a random number: a late reply to a read of the previous process must
    not match a read of this one, which could then return stale state.
    """

    def __init__(self) -> None:
        self._next_request_id = secrets.randbits(REQUEST_ID_BITS) + 1
        self._results: dict[int, AsyncResult] = {}

    def __len__(self) -> int:
        """Return the number of waiting callers."""
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
        async_result = self._results.get(request_id)
        if async_result is not None:
            async_result.set(result)

    def wait(self, request_id: int, timeout: float) -> Result[Any, Fault] | None:
        """Return the result, or None after ``timeout`` seconds."""
        try:
            return self._results[request_id].get(timeout=max(0.0, timeout))
        except gevent.Timeout:
            return None
        finally:
            del self._results[request_id]
