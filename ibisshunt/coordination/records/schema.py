"""Schemas of record documents, one for each kind and version."""

import ipaddress
from collections.abc import Callable, Mapping
from typing import Any, Final

import voluptuous as vol

from ...model.flow import Protocol
from ...model.record import (
    Business,
    Drain,
    Evacuation,
    FrontKind,
    Grant,
    RecordBody,
    RecordKind,
    RequestPolicy,
    Service,
    SharingPolicy,
)

SCHEMA_VERSIONS: Final = (1, 2)
MILLISECONDS_PER_SECOND: Final = 1000
MAX_CALLERS: Final = 1024
MAX_NAME_CHARACTERS: Final = 63
DEFAULT_IDLE_TIMEOUT_MS: Final = 300_000
MILLISECONDS_PER_DAY: Final = 86_400_000

PROTOCOLS: Final = {"tcp": Protocol.TCP, "udp": Protocol.UDP}

BuildBody = Callable[[Mapping[str, Any]], RecordBody]


def check_ip(value: Any) -> str:
    """Return the IPv4 address; raise Invalid for anything else."""
    try:
        return str(ipaddress.IPv4Address(value if isinstance(value, str) else ""))
    except ValueError as error:
        raise vol.Invalid("expected an IPv4 address") from error


def check_network(value: Any) -> str:
    """Return the IPv4 network in CIDR form; raise Invalid for anything else."""
    try:
        return str(ipaddress.IPv4Network(value if isinstance(value, str) else ""))
    except ValueError as error:
        raise vol.Invalid(f"expected an IPv4 network, {error}") from error


def _check_range(low: float, high: float, kind: type = int) -> Any:
    name = "an integer" if kind is int else "a number"
    expected = f"expected {name} {low}-{high}"

    def check(value: Any) -> Any:
        right_type = isinstance(value, int if kind is int else (int, float))
        # bool is a subclass of int: True must not pass as the number 1.
        if isinstance(value, bool) or not right_type or not low <= value <= high:
            raise vol.Invalid(expected)
        return kind(value)

    return check


def _check_choice(choices: Mapping[str, Any]) -> Any:
    expected = f"expected one of {', '.join(choices)}"

    def check(value: Any) -> Any:
        if not isinstance(value, str) or value not in choices:
            raise vol.Invalid(expected)
        return choices[value]

    return check


def _check_pattern(pattern: str, expected: str) -> Any:
    return vol.All(vol.Any(str, msg=expected), vol.Match(pattern, msg=expected))


NAME = _check_pattern(
    r"^[a-z0-9][a-z0-9.-]{0,62}\Z",
    "expected 1-63 of a-z, 0-9, '.', '-', not '.' or '-' first",
)
TOKEN_HASH = _check_pattern(
    r"^[0-9a-f]{64}\Z", "expected a SHA-256 in 64 hexadecimal digits"
)
CALLERS = vol.All(
    vol.Any([object], msg="expected a list of networks"),
    vol.Length(max=MAX_CALLERS, msg=f"expected at most {MAX_CALLERS} networks"),
    [check_network],
)
PORT = _check_range(1, 65_535)
SLOTS = _check_range(1, 10_000)
CHANGES_PER_MINUTE = _check_range(1, 60_000)
PROTOCOL = _check_choice(PROTOCOLS)
SHARING = _check_choice({policy.value: policy for policy in SharingPolicy})
FRONT = _check_choice({kind.value: kind for kind in FrontKind})

COMMON_KEYS: Final = {
    vol.Required("kind"): str,
    vol.Required("schema"): int,
    vol.Optional("expected_revision"): _check_range(0, 2**63 - 1),
}
OWNED_KEYS: Final = {
    **COMMON_KEYS,
    vol.Required("business"): NAME,
    vol.Required("name"): NAME,
}

BUSINESS_1 = {
    **COMMON_KEYS,
    vol.Required("name"): NAME,
    vol.Optional("changes_per_minute", default=60): CHANGES_PER_MINUTE,
}
BUSINESS_2 = {
    **COMMON_KEYS,
    vol.Required("name"): NAME,
    vol.Optional("limits", default=dict): vol.Schema(
        {vol.Optional("changes_per_minute", default=60): CHANGES_PER_MINUTE}
    ),
}
SERVICE_1 = {
    **OWNED_KEYS,
    vol.Required("address"): check_ip,
    vol.Required("port"): PORT,
    vol.Required("protocol"): PROTOCOL,
    vol.Required("callers"): CALLERS,
    vol.Optional("slots", default=1): SLOTS,
    vol.Optional("sharing", default="hunting"): SHARING,
    vol.Optional("front", default="none"): FRONT,
    vol.Optional("idle_timeout_s", default=300): _check_range(1, 86_400),
}
SERVICE_2 = {
    **OWNED_KEYS,
    vol.Required("listen"): vol.Schema(
        {
            vol.Required("address"): check_ip,
            vol.Required("port"): PORT,
            vol.Required("protocol"): PROTOCOL,
        }
    ),
    vol.Required("admission"): vol.Schema({vol.Required("callers"): CALLERS}),
    vol.Optional("sharing", default=dict): vol.Schema(
        {
            vol.Optional("policy", default="hunting"): SHARING,
            vol.Optional("slots", default=1): SLOTS,
        }
    ),
    vol.Optional("flows", default=dict): vol.Schema(
        {
            vol.Optional(
                "idle_timeout_ms", default=DEFAULT_IDLE_TIMEOUT_MS
            ): _check_range(1000, MILLISECONDS_PER_DAY)
        }
    ),
    vol.Optional("front", default=dict): vol.Schema(
        {vol.Optional("kind", default="none"): FRONT}
    ),
    vol.Optional("requests", default=dict): vol.Schema(
        {
            vol.Optional("queue_limit", default=256): _check_range(0, 100_000),
            vol.Optional("timeout_ms", default=10_000): _check_range(1, 3_600_000),
            vol.Optional("retention_ms", default=600_000): _check_range(
                1000, MILLISECONDS_PER_DAY
            ),
            vol.Optional("retry_share", default=0.1): _check_range(0, 1, float),
        }
    ),
}
GRANT = {**OWNED_KEYS, vol.Required("token_hash"): TOKEN_HASH}
DRAIN = {
    **COMMON_KEYS,
    vol.Required("business"): NAME,
    vol.Optional("name"): NAME,
    vol.Required("service"): NAME,
    vol.Required("target"): NAME,
}

EVACUATION = {**COMMON_KEYS, vol.Required("name"): NAME}


def build_business_1(document: Mapping[str, Any]) -> Business:
    """Return the business in a document of version 1."""
    return Business(document["name"], document["changes_per_minute"])


def build_business_2(document: Mapping[str, Any]) -> Business:
    """Return the business in a document of version 2."""
    return Business(document["name"], document["limits"]["changes_per_minute"])


def build_service_1(document: Mapping[str, Any]) -> Service:
    """Return the service in a document of version 1, whose times are in seconds."""
    return Service(
        business=document["business"],
        name=document["name"],
        address=document["address"],
        port=document["port"],
        protocol=document["protocol"],
        callers=tuple(document["callers"]),
        slots=document["slots"],
        sharing=document["sharing"],
        front=document["front"],
        idle_timeout_ms=document["idle_timeout_s"] * MILLISECONDS_PER_SECOND,
    )


def build_service_2(document: Mapping[str, Any]) -> Service:
    """Return the service in a document of version 2, whose times are in ms."""
    return Service(
        business=document["business"],
        name=document["name"],
        **document["listen"],
        callers=tuple(document["admission"]["callers"]),
        slots=document["sharing"]["slots"],
        sharing=document["sharing"]["policy"],
        front=document["front"]["kind"],
        idle_timeout_ms=document["flows"]["idle_timeout_ms"],
        requests=RequestPolicy(**document["requests"]),
    )


def build_grant(document: Mapping[str, Any]) -> Grant:
    """Return the grant in a document; both versions have the same keys."""
    return Grant(document["name"], document["business"], document["token_hash"])


def make_drain_name(service: str, target: str) -> str:
    """Return the default name of a drain."""
    return f"{service}.{target}"[:MAX_NAME_CHARACTERS]


def build_drain(document: Mapping[str, Any]) -> Drain:
    """Return the drain in a document; both versions have the same keys."""
    name = document.get("name") or make_drain_name(
        document["service"], document["target"]
    )
    return Drain(name, document["business"], document["service"], document["target"])


def build_evacuation(document: Mapping[str, Any]) -> Evacuation:
    """Return the evacuation in a document; both versions have the same keys."""
    return Evacuation(document["name"])


DOCUMENT_SCHEMAS: Final[
    Mapping[tuple[RecordKind, int], tuple[vol.Schema, BuildBody]]
] = {
    (RecordKind.BUSINESS, 1): (vol.Schema(BUSINESS_1), build_business_1),
    (RecordKind.BUSINESS, 2): (vol.Schema(BUSINESS_2), build_business_2),
    (RecordKind.SERVICE, 1): (vol.Schema(SERVICE_1), build_service_1),
    (RecordKind.SERVICE, 2): (vol.Schema(SERVICE_2), build_service_2),
    (RecordKind.GRANT, 1): (vol.Schema(GRANT), build_grant),
    (RecordKind.GRANT, 2): (vol.Schema(GRANT), build_grant),
    (RecordKind.DRAIN, 1): (vol.Schema(DRAIN), build_drain),
    (RecordKind.DRAIN, 2): (vol.Schema(DRAIN), build_drain),
    (RecordKind.EVACUATION, 1): (vol.Schema(EVACUATION), build_evacuation),
    (RecordKind.EVACUATION, 2): (vol.Schema(EVACUATION), build_evacuation),
}
