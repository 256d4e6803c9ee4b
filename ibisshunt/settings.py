"""Read and check the settings of each program."""

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
    """Return the address; raise Invalid when the text is not ``ip:port``."""
    result = parse_address(value if isinstance(value, str) else repr(value))
    if fault := result.swap().value_or(None):
        raise vol.Invalid(f"expected ip:port, {fault.reason}")
    return result.unwrap()


def _freeze(found: list[Any]) -> tuple[Any, ...]:
    return tuple(found)


def _make(kind: type[SettingsT], schema: dict[Any, Any]) -> Any:
    """Return a validator that turns a map into a data class."""
    return vol.All(vol.Schema(schema), lambda found: kind(**found))


NAME = vol.All(str, vol.Match(r"^[a-z0-9][a-z0-9.-]{0,62}$", "expected a name"))
ADDRESSES = vol.All([check_address], vol.Length(min=1), _freeze)
TLS = _make(
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
CONTROL = _make(
    ControlSettings,
    {
        **COMMON,
        vol.Required("rpc"): check_address,
        vol.Required("data_folder"): vol.All(str, vol.Length(min=1)),
        vol.Optional("peers"): {NAME: check_address},
        vol.Optional("admin_token_hash"): vol.Match(r"^([0-9a-f]{64})?$"),
    },
)
BALANCER = _make(
    BalancerSettings,
    {
        **COMMON,
        vol.Required("control"): ADDRESSES,
        vol.Required("packets"): check_address,
        vol.Optional("streams"): bool,
        vol.Optional("replies"): check_address,
    },
)
TARGET = _make(
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
AGENT = _make(
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
STANDALONE = _make(
    StandaloneSettings,
    {
        vol.Required("control"): vol.All([CONTROL], vol.Length(min=1), _freeze),
        vol.Required("balancers"): vol.All([BALANCER], vol.Length(min=1), _freeze),
        vol.Required("agents"): vol.All([AGENT], _freeze),
    },
)


def read_settings(path: Path, validate: Any) -> Any:
    """Read a settings file in JSON with comments.

    Raise SettingsError that names the file, the key, what was found and what is
    expected.
    """
    try:
        found = json5.loads(path.read_text())
    except OSError as error:
        raise _explain(path, "-", str(error.strerror)) from error
    except (ValueError, UnicodeDecodeError) as error:
        raise _explain(path, "-", f"not JSON with comments: {error}") from error
    return check_settings(path, found, validate)


def check_settings(path: Path, found: Any, validate: Any) -> Any:
    """Return the settings as a data class, or raise SettingsError."""
    try:
        return vol.Schema(validate)(found)
    except vol.MultipleInvalid as error:
        first = error.errors[0]
        key = ".".join(str(part) for part in first.path) or "-"
        value = _look_up(found, first.path)
        reason = f"found {value!r}, {first.msg}"
        raise _explain(path, key, reason) from error


def _look_up(found: Any, path: list[Any]) -> Any:
    for part in path:
        try:
            found = found[getattr(part, "schema", part)]
        except (KeyError, IndexError, TypeError):
            return "nothing"
    return found


def _explain(path: Path, key: str, reason: str) -> SettingsError:
    return SettingsError(Fault("read settings", str(path), f"key {key}: {reason}"))
