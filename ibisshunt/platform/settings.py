"""Read the settings file that the platform writes for a process."""

import os
import tomllib
from collections.abc import Mapping
from typing import Any

import msgspec

from ..exceptions import AddressError, Fault, SettingsError
from ..model.address import Address, read_address
from ..model.node import NodeSettings
from .early import PATH_VARIABLE


class _File(msgspec.Struct, rename="pascal"):
    """Hold what we read of the file; unknown fields are left out.

    ``bootstrap`` is true at the very first start of the whole system alone, and
    ``seeds`` are control addresses at the time of writing. ``zones`` gives the region
    of each failure domain.
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


def find_path() -> str:
    """Return where the settings file lies; raise SettingsError when none is named."""
    found = os.environ.get(PATH_VARIABLE)
    if not found:
        reason = "the variable is not set, expected the path of the settings file"
        raise SettingsError(Fault("find settings", PATH_VARIABLE, reason))
    return found


def read_settings(path: str) -> NodeSettings:
    """Return the settings; raise SettingsError with the field and what is expected."""
    try:
        with open(path, "rb") as stream:
            found = tomllib.load(stream)
        file = msgspec.convert(found, _File)
    except OSError as error:
        raise _explain(path, error.strerror or str(error)) from error
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, ValueError) as error:
        raise _explain(path, str(error)) from error
    return _translate(path, file)


def _translate(path: str, file: _File) -> NodeSettings:
    low, high = file.internal_port_range
    if high <= low:
        reason = f"InternalPortRange: found {low}-{high}, expected two ports or more"
        raise _explain(path, reason)
    listen = file.listen_addrs
    seeds = [_parse(path, "Seeds", seed) for seed in file.seeds]
    app = {"app": file.app} if file.app else {}
    return NodeSettings(
        name=file.node_name,
        address=file.ip,
        failure_domain=file.zone,
        inner=Address(file.ip, low),
        inner_calls=Address(file.ip, low + 1),
        seeds=tuple(seed.ip for seed in seeds if seed is not None),
        is_first_start=file.bootstrap,
        losses=file.fault_tolerance.get("Machines", 0),
        heartbeat=file.heartbeat_ms / 1000,
        max_flow=float(file.bounds.get("MaxFlowS", 60)),
        packets=_find(path, "UdpAddr", listen),
        outward=_find(path, "outbound", listen),
        ready=_find(path, "ReadyAddr", listen),
        control=_find(path, "Control", listen),
        target=_find(path, "app", app),
        service=file.service,
        data_folder=file.data_dir,
        domains=frozenset(file.zones),
        cold_overage=float(file.bounds.get("WarmupOverage", 1)),
        cold_slack=float(file.bounds.get("WarmupSlack", 0)),
    )


def _find(path: str, name: str, listen: Mapping[str, str]) -> Address | None:
    return _parse(path, name, listen[name]) if name in listen else None


def _parse(path: str, field: str, text: str) -> Address:
    try:
        return read_address(text)
    except AddressError as error:
        raise _explain(path, f"{field}: {error.fault.reason}") from error


def _explain(path: str, reason: str) -> SettingsError:
    return SettingsError(Fault("read settings", path, reason))
