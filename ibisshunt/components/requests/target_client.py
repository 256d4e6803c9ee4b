"""Send requests to the agent's own target."""

from collections.abc import Iterator
from typing import Final

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from ...model.address import Address
from ...protocol.requests import Outcome, Request, ResponsePart, ResponsePartKind

CONNECT_TIMEOUT_SECONDS: Final = 1.0
CHUNK_BYTES: Final = 64 * 1024
HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    )
)


class TargetClient:
    """Send each request over a new connection.

    A reused connection can return the late response of an earlier request, or the
    target closes it while a request is sent, and it is unknown whether that has run.
    The target is on the same host, so a new connection costs little.
    """

    def __init__(self, address: Address) -> None:
        self.address = address

    def run(self, request: Request, deadline: float) -> Iterator[ResponsePart]:
        """Yield the parts of the response; closing the iterator cancels the request.

        ``deadline`` is wall-clock time in seconds and is sent to the target.
        """
        pool = urllib3.HTTPConnectionPool(
            self.address.ip, self.address.port, maxsize=1, retries=False
        )
        try:
            yield from self._exchange(pool, request, deadline)
        except (NewConnectionError, ConnectTimeoutError) as error:
            yield refuse(Outcome.NOT_RUN, f"target {self.address}: {error}")
        except (HTTPError, OSError) as error:
            yield refuse(Outcome.UNKNOWN, f"target {self.address}: {error}")
        finally:
            pool.close()

    def _exchange(
        self, pool: urllib3.HTTPConnectionPool, request: Request, deadline: float
    ) -> Iterator[ResponsePart]:
        headers = urllib3.HTTPHeaderDict()
        for name, value in request.headers:
            headers.add(name, value)
        headers["Ibisshunt-Deadline"] = f"{deadline:.3f}"
        headers["Connection"] = "close"
        response = pool.urlopen(
            request.method,
            request.path,
            body=request.body or None,
            headers=headers,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_SECONDS),
            redirect=False,
            assert_same_host=False,
            preload_content=False,
            decode_content=False,
        )
        try:
            yield from _read_response(request, response)
        finally:
            # A response that was not read completely must not stay in the pool, and
            # the closed connection cancels the request at the target.
            response.close()


def refuse(outcome: Outcome, reason: str, retry_after: float = 0.0) -> ResponsePart:
    """Return the response part that states why a request was refused."""
    return ResponsePart(
        ResponsePartKind.REFUSAL,
        outcome=outcome,
        reason=reason,
        retry_after=retry_after,
    )


def is_hop_by_hop(name: str) -> bool:
    """Return whether a header applies to a single connection only."""
    return name.lower() in HOP_BY_HOP_HEADERS


def _read_response(
    request: Request, response: urllib3.BaseHTTPResponse
) -> Iterator[ResponsePart]:
    # Without a length or chunks a response ends with its connection, which a target
    # that dies closes as well: an incomplete response would look complete.
    has_no_body = request.method == "HEAD" or response.status in (204, 304)
    is_delimited = "content-length" in response.headers or response.chunked
    if not (has_no_body or is_delimited):
        yield refuse(Outcome.UNKNOWN, "the end of the target's answer can't be told")
        return
    headers = tuple(
        (name, value)
        for name, value in response.headers.iteritems()
        if not is_hop_by_hop(name)
    )
    yield ResponsePart(
        ResponsePartKind.HEAD, response.status, response.reason or "", headers
    )
    if not has_no_body:
        for data in _read_body(response):
            yield ResponsePart(ResponsePartKind.DATA, data=data)
    yield ResponsePart(ResponsePartKind.END)


def _read_body(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    if response.chunked:
        yield from response.read_chunked(decode_content=False)
        return
    while data := response.read1(CHUNK_BYTES, decode_content=False):
        yield data
    # Reading the rest raises an error if the body is shorter than its length.
    response.read(decode_content=False)
