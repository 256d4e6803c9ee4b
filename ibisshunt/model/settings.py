"""Describe the settings of each program."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from .address import Address


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """Name the PEM files for mutual TLS between processes."""

    certificate: str
    key: str
    authority: str


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """Settings of ``ibisshunt-control``."""

    name: str
    failure_domain: str
    rpc: Address
    admin: Address
    data_folder: str
    peers: Mapping[str, Address] = field(default_factory=dict)
    admin_token_hash: str = ""
    tls: TlsSettings | None = None


@dataclass(frozen=True, slots=True)
class BalancerSettings:
    """Settings of ``ibisshunt-balancer``.

    ``replies`` is where packets towards callers go when the balancer itself answers.
    """

    name: str
    failure_domain: str
    control: tuple[Address, ...]
    packets: Address
    admin: Address
    streams: bool = True
    replies: Address | None = None
    tls: TlsSettings | None = None


@dataclass(frozen=True, slots=True)
class TargetSettings:
    """Describe the target that an agent stands beside.

    ``tunnel`` takes GUE datagrams, ``streams`` the TCP connections of the target.
    ``session`` changes when the target's process is replaced under the same name.
    """

    business: str
    service: str
    name: str
    host: str
    tunnel: Address
    streams: Address
    weight: int = 100
    session: str = ""


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of ``ibisshunt-agent``.

    ``replies`` is where packets towards callers go when the agent itself answers,
    ``rpc`` where it takes calls of the other agents of its service.
    """

    name: str
    failure_domain: str
    control: tuple[Address, ...]
    packets: Address
    streams: Address
    admin: Address
    target: TargetSettings
    replies: Address | None = None
    rpc: Address | None = None
    max_flows: int = 300_000
    tls: TlsSettings | None = None


@dataclass(frozen=True, slots=True)
class StandaloneSettings:
    """Settings of ``ibisshunt standalone``."""

    control: tuple[ControlSettings, ...]
    balancers: tuple[BalancerSettings, ...]
    agents: tuple[AgentSettings, ...]
