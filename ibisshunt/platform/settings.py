"""Read the settings file that the platform writes for a process."""

import os
import tomllib
from collections.abc import Mapping
from typing import Any

import msgspec

from ..exceptions import AddressError, Fault, SettingsError
from ..model.address import Address, read_address
from ..model.node import NodeSettings
from .prebinding import SETTINGS_PATH_VARIABLE


class _SettingsFile(msgspec.Struct, rename="pascal"):
    """The fields of the settings file that are used; others are ignored.

    ``bootstrap`` is true only at the first start of the whole system. ``seeds``
    are the addresses of the control hosts when the file was written. ``zones`` gives
    the region of each failure domain.
    """

    node_name: str
    ip: str
    zone: str
    internal_port_range: tuple[int, int]
    seeds: tuple[str, ...]
    listen_addrs: dict[str, str]
    bootstrap: bool = False
    heartbeat_ms: int = 1000
    fault_tolerance: dict[str, int] = {}
    bounds: dict[str, Any] = {}
    zones: dict[str, str] = {}
    data_dir: str = ""
    service: str = ""
    app: str = msgspec.field(name="app", default="")


def get_settings_path() -> str:
    """Return the path of the settings file; raise SettingsError when it is not set."""
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if not path:
        reason = "the variable is not set, expected the path of the settings file"
        raise SettingsError(Fault("find settings", SETTINGS_PATH_VARIABLE, reason))
    return path


def read_settings(path: str) -> NodeSettings:
    """Read the settings; raise SettingsError that names an invalid field."""
    try:
        with open(path, "rb") as stream:
            document = tomllib.load(stream)
        file = msgspec.convert(document, _SettingsFile)
    except OSError as error:
        raise _make_error(path, error.strerror or str(error)) from error
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, ValueError) as error:
        raise _make_error(path, str(error)) from error
    return _make_node_settings(path, file)


def _make_node_settings(path: str, file: _SettingsFile) -> NodeSettings:
    low, high = file.internal_port_range
    if high <= low:
        reason = f"InternalPortRange: found {low}-{high}, expected two ports or more"
        raise _make_error(path, reason)
    listen = file.listen_addrs
    seeds = [_parse_address(path, "Seeds", seed) for seed in file.seeds]
    app = {"app": file.app} if file.app else {}
    return NodeSettings(
        name=file.node_name,
        address=file.ip,
        failure_domain=file.zone,
        internal_address=Address(file.ip, low),
        internal_rpc_address=Address(file.ip, low + 1),
        seeds=tuple(seed.ip for seed in seeds if seed is not None),
        may_bootstrap=file.bootstrap,
        fault_tolerance=file.fault_tolerance.get("Machines", 0),
        heartbeat_seconds=file.heartbeat_ms / 1000,
        max_flow_seconds=float(file.bounds.get("MaxFlowS", 60)),
        packets=_parse_listen_address(path, "UdpAddr", listen),
        outbound_address=_parse_listen_address(path, "outbound", listen),
        ready=_parse_listen_address(path, "ReadyAddr", listen),
        control=_parse_listen_address(path, "Control", listen),
        target=_parse_listen_address(path, "app", app),
        service=file.service,
        data_folder=file.data_dir,
        failure_domains=frozenset(file.zones),
        warmup_overage=float(file.bounds.get("WarmupOverage", 1)),
        warmup_slack=float(file.bounds.get("WarmupSlack", 0)),
    )


def _parse_listen_address(
    path: str, name: str, listen: Mapping[str, str]
) -> Address | None:
    return _parse_address(path, name, listen[name]) if name in listen else None


def _parse_address(path: str, field: str, text: str) -> Address:
    try:
        return read_address(text)
    except AddressError as error:
        raise _make_error(path, f"{field}: {error.fault.reason}") from error


def _make_error(path: str, reason: str) -> SettingsError:
    return SettingsError(Fault("read settings", path, reason))
