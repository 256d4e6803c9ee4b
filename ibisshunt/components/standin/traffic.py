"""Send real traffic through a running system and tell what came back."""

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
    """Name a service and where callers reach it."""

    name: str
    address: Address


@dataclass(frozen=True, slots=True)
class TrafficSummary:
    """Tell what became of the flows of one service."""

    service: str
    flows: int
    answers: int
    broken: int
    wrong: int
    by_target: dict[str, int]


def drive_flows(
    fabric: Fabric,
    service: ServiceAddress,
    flows: int,
    rounds: int,
    between_rounds: Callable[[int], None] = lambda _: None,
    first_port: int = FIRST_CALLER_PORT,
) -> TrafficSummary:
    """Open flows, ask on each once a round, close them; count what happened.

    ``between_rounds`` is called with the number of the round that follows, so that a
    caller can change the system while the flows are open.
    """
    counts: Counter[str] = Counter()
    targets: Counter[str] = Counter()
    callers = _open_flows(fabric, service, flows, first_port, counts)
    owners: dict[Caller, bytes] = {}
    for number in range(rounds):
        between_rounds(number)
        for caller in list(callers):
            _ask(caller, service.name, owners, callers, counts)
    targets.update(owner.decode() for owner in owners.values())
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


def _ask(
    caller: Caller,
    service: str,
    owners: dict[Caller, bytes],
    callers: list[Caller],
    counts: Counter[str],
) -> None:
    try:
        answer = caller.ask(b"request")
    except FlowBrokenError:
        counts["broken"] += 1
        callers.remove(caller)
        return
    found, target, _ = answer.split(b" ", 2)
    counts["answers"] += 1
    if found != service.encode() or owners.setdefault(caller, target) != target:
        counts["wrong"] += 1


def _close(caller: Caller, counts: Counter[str]) -> None:
    try:
        caller.close()
    except FlowBrokenError:
        counts["broken"] += 1


def fetch_page(address: Address, path: str, timeout: float = 5.0) -> str:
    """Return the body that a service answers over the stream intake."""
    return _send("GET", address, path, timeout, {})


def post_once(address: Address, path: str, key: str, timeout: float = 5.0) -> str:
    """Send a non-idempotent request under a key; return the body of the answer."""
    return _send("POST", address, path, timeout, {"Idempotency-Key": key})


def _send(
    method: str, address: Address, path: str, timeout: float, headers: dict[str, str]
) -> str:
    # A connection kept open for a next request would hold up a planned stop.
    headers = {"Connection": "close", **headers}
    url = f"http://{address}{path}"
    reply = urllib3.request(
        method, url, headers=headers, timeout=timeout, retries=False
    )
    return reply.data.decode()
