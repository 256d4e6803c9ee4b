"""Send traffic through a running system and count the outcomes."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import urllib3

from ...model.address import Address
from .fabric import Caller, Fabric, FlowBrokenError

FIRST_CALLER_PORT: Final = 20_000


@dataclass(frozen=True, slots=True)
class ServiceAddress:
    """Name of a service and the address at which callers reach it."""

    name: str
    address: Address


@dataclass(frozen=True, slots=True)
class TrafficSummary:
    """Counts of the outcomes of the flows of one service.

    ``misrouted`` counts answers of another service, or of another target than the one
    that answered before on the same flow.
    """

    service: str
    flows: int
    answers: int
    broken: int
    misrouted: int
    by_target: dict[str, int]


def drive_flows(
    fabric: Fabric,
    service: ServiceAddress,
    flows: int,
    rounds: int,
    between_rounds: Callable[[int], None] = lambda _: None,
    first_port: int = FIRST_CALLER_PORT,
) -> TrafficSummary:
    """Open flows, send one request per round on each, close them; count the outcomes.

    ``between_rounds`` is called with the number of the next round, to change the system
    while the flows are open.
    """
    counts: Counter[str] = Counter()
    targets: Counter[str] = Counter()
    callers = _open_flows(fabric, service, flows, first_port, counts)
    holders: dict[Caller, bytes] = {}
    for number in range(rounds):
        between_rounds(number)
        for caller in list(callers):
            _send_request(caller, service.name, holders, callers, counts)
    targets.update(holder.decode() for holder in holders.values())
    for caller in callers:
        _close(caller, counts)
    return TrafficSummary(
        service.name,
        flows,
        counts["answers"],
        counts["broken"],
        counts["wrong"],
        dict(sorted(targets.items())),
    )


def _open_flows(
    fabric: Fabric,
    service: ServiceAddress,
    flows: int,
    first_port: int,
    counts: Counter[str],
) -> list[Caller]:
    callers = []
    for number in range(flows):
        source = Address("127.9.0.1", first_port + number)
        caller = Caller(fabric, source, service.address)
        try:
            caller.open()
        except FlowBrokenError:
            counts["broken"] += 1
            continue
        callers.append(caller)
    return callers


def _send_request(
    caller: Caller,
    service: str,
    holders: dict[Caller, bytes],
    callers: list[Caller],
    counts: Counter[str],
) -> None:
    try:
        answer = caller.send_request(b"request")
    except FlowBrokenError:
        counts["broken"] += 1
        callers.remove(caller)
        return
    answering_service, target, _ = answer.split(b" ", 2)
    counts["answers"] += 1
    if (
        answering_service != service.encode()
        or holders.setdefault(caller, target) != target
    ):
        counts["wrong"] += 1


def _close(caller: Caller, counts: Counter[str]) -> None:
    try:
        caller.close()
    except FlowBrokenError:
        counts["broken"] += 1


def fetch_page(address: Address, path: str, timeout: float = 5.0) -> str:
    """Return the body of a service's response to an HTTP GET request."""
    return _fetch("GET", address, path, timeout, {})


def post_with_key(address: Address, path: str, key: str, timeout: float = 5.0) -> str:
    """Send a non-idempotent request under a key; return the response body."""
    return _fetch("POST", address, path, timeout, {"Idempotency-Key": key})


def _fetch(
    method: str, address: Address, path: str, timeout: float, headers: dict[str, str]
) -> str:
    # A connection kept open for another request would delay a graceful stop.
    headers = {"Connection": "close", **headers}
    url = f"http://{address}{path}"
    reply = urllib3.request(
        method, url, headers=headers, timeout=timeout, retries=False
    )
    return reply.data.decode()
