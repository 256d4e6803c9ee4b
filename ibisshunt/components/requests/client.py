"""Run requests in the agent's own target."""

from collections.abc import Iterator
from typing import Final

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from ...model.address import Address
from ...protocol.requests import Outcome, Part, PartKind, Request

CONNECT_SECONDS: Final = 1.0
CHUNK_BYTES: Final = 64 * 1024
HOP_BY_HOP: Final = frozenset(
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
    """Send each request over a connection of its own.

    A connection that is used again can bring the late answer of an earlier request,
    or be closed by the target just as a request is sent, and then nobody knows whether
    it ran. The target is on the same host, so a new connection costs little.
    """

    def __init__(self, address: Address) -> None:
        self.address = address

    def run(self, request: Request, deadline: float) -> Iterator[Part]:
        """Yield the parts of the answer; closing the iterator cancels the request.

        ``deadline`` is wall-clock time and is told to the target.
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
    ) -> Iterator[Part]:
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
            timeout=urllib3.Timeout(connect=CONNECT_SECONDS),
            redirect=False,
            assert_same_host=False,
            preload_content=False,
            decode_content=False,
        )
        try:
            yield from _read(request, response)
        finally:
            # An answer that was not read to its end must not stay in a pool, and the
            # target sees by the close that nobody waits for it.
            response.close()


def refuse(outcome: Outcome, reason: str, retry_after: float = 0.0) -> Part:
    """Return the part that tells a caller why there is no answer."""
    return Part(
        PartKind.REFUSAL, outcome=outcome, reason=reason, retry_after=retry_after
    )


def is_hop_by_hop(name: str) -> bool:
    """Tell whether a header concerns one connection only."""
    return name.lower() in HOP_BY_HOP


def _read(request: Request, response: urllib3.BaseHTTPResponse) -> Iterator[Part]:
    # Without a length or chunks the end of an answer is the end of the connection,
    # which a target that dies looks like, too. It must not pass for a whole one.
    bodyless = request.method == "HEAD" or response.status in (204, 304)
    delimited = "content-length" in response.headers or response.chunked
    if not (bodyless or delimited):
        yield refuse(Outcome.UNKNOWN, "the end of the target's answer can't be told")
        return
    headers = tuple(
        (name, value)
        for name, value in response.headers.iteritems()
        if not is_hop_by_hop(name)
    )
    yield Part(PartKind.HEAD, response.status, response.reason or "", headers)
    if not bodyless:
        for data in _read_body(response):
            yield Part(PartKind.DATA, data=data)
    yield Part(PartKind.END)


def _read_body(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    if response.chunked:
        yield from response.read_chunked(decode_content=False)
        return
    while data := response.read1(CHUNK_BYTES, decode_content=False):
        yield data
    # A read of what is left raises when the body is shorter than its length.
    response.read(decode_content=False)
