"""Send requests at their planned times, whatever becomes of the earlier ones."""

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

LONGEST_MICROSECONDS: Final = 60_000_000
SIGNIFICANT_DIGITS: Final = 3
MAX_IN_FLIGHT: Final = 2_000
MAX_REQUESTS: Final = 100_000
MAX_SECONDS: Final = 600.0


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Describe a load: ``rate`` in requests a second, ``timeout`` in seconds.

    ``keyed`` gives each request an idempotency key of its own.
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
    """Hold what callers saw; latencies in microseconds from the planned time.

    Measured from the planned time, a stall counts for all requests that it delays.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    latencies: dict[str, HdrHistogram] = field(default_factory=dict)
    seconds: float = 0.0
    skipped: int = 0

    def note(self, outcome: str, seconds: float) -> None:
        """Take in one request."""
        self.outcomes[outcome] += 1
        if outcome not in self.latencies:
            self.latencies[outcome] = HdrHistogram(
                1, LONGEST_MICROSECONDS, SIGNIFICANT_DIGITS
            )
        value = min(LONGEST_MICROSECONDS, max(1, round(seconds * 1e6)))
        self.latencies[outcome].record_value(value)


def run_load(plan: LoadPlan, clock: Callable[[], float] = time.monotonic) -> LoadResult:
    """Offer the load; end when the count or the time is reached."""
    result = LoadResult()
    pool = Pool(MAX_IN_FLIGHT)
    client = urllib3.PoolManager(
        num_pools=len(plan.addresses), maxsize=MAX_IN_FLIGHT, retries=False
    )
    draw = Random(plan.seed)
    begin = clock()
    planned = begin
    for number in range(plan.count):
        planned += draw.expovariate(plan.rate)
        if planned - begin > plan.seconds:
            break
        gevent.sleep(max(0.0, planned - clock()))
        if pool.full():
            # Waiting for a place would slow the arrivals down to what the service
            # manages, and hide the overload.
            result.skipped += 1
            continue
        address = plan.addresses[draw.randrange(len(plan.addresses))]
        pool.spawn(_send, client, plan, address, number, planned, clock, result)
    pool.join()
    client.clear()
    result.seconds = clock() - begin
    return result


def _send(
    client: urllib3.PoolManager,
    plan: LoadPlan,
    address: Address,
    number: int,
    planned: float,
    clock: Callable[[], float],
    result: LoadResult,
) -> None:
    headers = {"Request-Timeout": f"{plan.timeout:.3f}"}
    if plan.keyed:
        headers["Idempotency-Key"] = f"load-{plan.seed}-{planned}-{number}"
    try:
        response = client.request(
            plan.method,
            f"http://{address}{plan.path}",
            body=plan.body or None,
            headers=headers,
            timeout=plan.timeout + 1.0,
            redirect=False,
        )
        outcome = _name_outcome(response)
    except HTTPError:
        outcome = "broken"
    result.note(outcome, clock() - planned)


def _name_outcome(response: urllib3.BaseHTTPResponse) -> str:
    told = response.headers.get("Ibisshunt-Outcome", "")
    if told and told != "done":
        return told
    return "done" if response.status < 400 else f"status-{response.status}"
