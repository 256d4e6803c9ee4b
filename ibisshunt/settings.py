"""Read and validate the settings of each program."""

from pathlib import Path
from typing import Any, TypeVar

import json5
import voluptuous as vol

from .exceptions import Fault, SettingsError
from .model.address import Address, parse_address
from .model.settings import (
    AgentSettings,
    BalancerSettings,
    ControlSettings,
    StandaloneSettings,
    TargetSettings,
    TlsSettings,
)

__all__ = [
    "AgentSettings",
    "BalancerSettings",
    "ControlSettings",
    "StandaloneSettings",
    "TargetSettings",
    "TlsSettings",
]

SettingsT = TypeVar("SettingsT")


def check_address(value: Any) -> Address:
    """Parse an address; raise Invalid if the value is not of the form ``ip:port``."""
    result = parse_address(value if isinstance(value, str) else repr(value))
    if fault := result.swap().value_or(None):
        raise vol.Invalid(f"expected ip:port, {fault.reason}")
    return result.unwrap()


def _to_tuple(values: list[Any]) -> tuple[Any, ...]:
    return tuple(values)


def _make_validator(settings_class: type[SettingsT], schema: dict[Any, Any]) -> Any:
    """Return a validator that converts a mapping to a data class."""
    return vol.All(vol.Schema(schema), lambda values: settings_class(**values))


NAME = vol.All(str, vol.Match(r"^[a-z0-9][a-z0-9.-]{0,62}$", "expected a name"))
ADDRESSES = vol.All([check_address], vol.Length(min=1), _to_tuple)
TLS = _make_validator(
    TlsSettings,
    {
        vol.Required("certificate"): str,
        vol.Required("key"): str,
        vol.Required("authority"): str,
    },
)
COMMON = {
    vol.Required("name"): NAME,
    vol.Required("failure_domain"): NAME,
    vol.Required("admin"): check_address,
    vol.Optional("tls"): TLS,
}
CONTROL = _make_validator(
    ControlSettings,
    {
        **COMMON,
        vol.Required("rpc"): check_address,
        vol.Required("data_folder"): vol.All(str, vol.Length(min=1)),
        vol.Optional("peers"): {NAME: check_address},
        vol.Optional("admin_token_hash"): vol.Match(r"^([0-9a-f]{64})?$"),
    },
)
BALANCER = _make_validator(
    BalancerSettings,
    {
        **COMMON,
        vol.Required("control"): ADDRESSES,
        vol.Required("packets"): check_address,
        vol.Optional("streams"): bool,
        vol.Optional("replies"): check_address,
    },
)
TARGET = _make_validator(
    TargetSettings,
    {
        vol.Required("business"): NAME,
        vol.Required("service"): NAME,
        vol.Required("name"): NAME,
        vol.Required("host"): NAME,
        vol.Required("tunnel"): check_address,
        vol.Required("streams"): check_address,
        vol.Optional("session"): str,
        vol.Optional("weight"): vol.All(int, vol.Range(min=1, max=10_000)),
    },
)
AGENT = _make_validator(
    AgentSettings,
    {
        **COMMON,
        vol.Required("control"): ADDRESSES,
        vol.Required("packets"): check_address,
        vol.Required("streams"): check_address,
        vol.Required("target"): TARGET,
        vol.Optional("replies"): check_address,
        vol.Optional("rpc"): check_address,
        vol.Optional("max_flows"): vol.All(int, vol.Range(min=1, max=10_000_000)),
    },
)
STANDALONE = _make_validator(
    StandaloneSettings,
    {
        vol.Required("control"): vol.All([CONTROL], vol.Length(min=1), _to_tuple),
        vol.Required("balancers"): vol.All([BALANCER], vol.Length(min=1), _to_tuple),
        vol.Required("agents"): vol.All([AGENT], _to_tuple),
    },
)


def read_settings(path: Path, validate: Any) -> Any:
    """Read a settings file in JSON5 and validate it.

    ``validate`` is one of the validators above. Raise SettingsError that names the
    file, the key, the value found and the value expected.
    """
    try:
        document = json5.loads(path.read_text())
    except OSError as error:
        raise _make_error(path, "-", str(error.strerror)) from error
    except (ValueError, UnicodeDecodeError) as error:
        raise _make_error(path, "-", f"not JSON with comments: {error}") from error
    return check_settings(path, document, validate)


def check_settings(path: Path, document: Any, validate: Any) -> Any:
    """Convert a parsed document to a data class, or raise SettingsError."""
    try:
        return vol.Schema(validate)(document)
    except vol.MultipleInvalid as error:
        first_error = error.errors[0]
        key = ".".join(str(part) for part in first_error.path) or "-"
        value = _get_by_path(document, first_error.path)
        reason = f"found {value!r}, {first_error.msg}"
        raise _make_error(path, key, reason) from error


def _get_by_path(value: Any, path: list[Any]) -> Any:
    """Return the value at the key path of a validation error, for its message."""
    for part in path:
        try:
            value = value[getattr(part, "schema", part)]
        except (KeyError, IndexError, TypeError):
            return "nothing"
    return value


def _make_error(path: Path, key: str, reason: str) -> SettingsError:
    return SettingsError(Fault("read settings", str(path), f"key {key}: {reason}"))
