"""Generate an open-loop load: requests start at planned times, without waiting."""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Final

import gevent
import urllib3
from gevent.pool import Pool
from hdrh.histogram import HdrHistogram
from urllib3.exceptions import HTTPError

from ...model.address import Address

MAX_LATENCY_US: Final = 60_000_000
SIGNIFICANT_DIGITS: Final = 3
MAX_IN_FLIGHT: Final = 2_000
MAX_REQUESTS: Final = 100_000
MAX_SECONDS: Final = 600.0


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Plan of a load: ``rate`` in requests per second, ``timeout`` in seconds.

    It ends after ``count`` requests or ``seconds``. ``keyed`` gives each request an
    idempotency key of its own.
    """

    addresses: tuple[Address, ...]
    rate: float
    count: int
    seconds: float
    path: str = "/"
    method: str = "GET"
    body: bytes = b""
    keyed: bool = False
    timeout: float = 10.0
    seed: int = 1


@dataclass(slots=True)
class LoadResult:
    """Outcomes and latencies, in microseconds from the planned time of a request.

    Measured from the planned time, a stall counts for all requests that it delays.
    ``skipped`` counts the requests that were not sent because too many were in flight.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    latencies: dict[str, HdrHistogram] = field(default_factory=dict)
    seconds: float = 0.0
    skipped: int = 0

    def record(self, outcome: str, seconds: float) -> None:
        """Record the outcome and the latency of one request."""
        self.outcomes[outcome] += 1
        if outcome not in self.latencies:
            self.latencies[outcome] = HdrHistogram(
                1, MAX_LATENCY_US, SIGNIFICANT_DIGITS
            )
        value = min(MAX_LATENCY_US, max(1, round(seconds * 1e6)))
        self.latencies[outcome].record_value(value)


def run_load(plan: LoadPlan, clock: Callable[[], float] = time.monotonic) -> LoadResult:
    """Generate the load; return when the count or the time is reached."""
    result = LoadResult()
    pool = Pool(MAX_IN_FLIGHT)
    client = urllib3.PoolManager(
        num_pools=len(plan.addresses), maxsize=MAX_IN_FLIGHT, retries=False
    )
    random = Random(plan.seed)
    started_at = clock()
    planned_at = started_at
    for number in range(plan.count):
        planned_at += random.expovariate(plan.rate)
        if planned_at - started_at > plan.seconds:
            break
        gevent.sleep(max(0.0, planned_at - clock()))
        if pool.full():
            # Waiting for a free place would slow the requests down to the rate that the
            # service can handle, and hide the overload.
            result.skipped += 1
            continue
        address = plan.addresses[random.randrange(len(plan.addresses))]
        pool.spawn(_send, client, plan, address, number, planned_at, clock, result)
    pool.join()
    client.clear()
    result.seconds = clock() - started_at
    return result


def _send(
    client: urllib3.PoolManager,
    plan: LoadPlan,
    address: Address,
    number: int,
    planned_at: float,
    clock: Callable[[], float],
    result: LoadResult,
) -> None:
    headers = {"Request-Timeout": f"{plan.timeout:.3f}"}
    if plan.keyed:
        headers["Idempotency-Key"] = f"load-{plan.seed}-{planned_at}-{number}"
    try:
        response = client.request(
            plan.method,
            f"http://{address}{plan.path}",
            body=plan.body or None,
            headers=headers,
            timeout=plan.timeout + 1.0,
            redirect=False,
        )
        outcome = _get_outcome(response)
    except HTTPError:
        outcome = "broken"
    result.record(outcome, clock() - planned_at)


def _get_outcome(response: urllib3.BaseHTTPResponse) -> str:
    reported = response.headers.get("Ibisshunt-Outcome", "")
    if reported and reported != "done":
        return reported
    return "done" if response.status < 400 else f"status-{response.status}"
