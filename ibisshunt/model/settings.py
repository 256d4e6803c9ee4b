"""Define the settings of each program."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from .address import Address


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """Paths of the PEM files for mutual TLS between processes.

    ``authority`` is the certificate of the CA that signs all certificates.
    """

    certificate: str
    key: str
    authority: str


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """Settings of ``ibisshunt-control``.

    ``rpc`` serves the other processes, ``admin`` the metrics and state over HTTP.
    ``peers`` are the RPC addresses of the control hosts by name.
    """

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

    ``control`` are the RPC addresses of the control hosts. ``packets`` receives packets
    of callers. ``replies`` is the address to which the balancer sends its own packets
    for callers, such as resets. ``streams`` enables the relaying of TCP streams.
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
    """Settings of an agent's local target.

    ``tunnel`` receives GUE datagrams, ``streams`` TCP connections. ``session`` changes
    when the target's process is replaced under the same name.
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

    ``packets`` receives datagrams of balancers and other agents, ``streams`` relayed
    TCP streams. ``replies`` is the address to which the agent sends its own packets
    for callers, such as resets. ``rpc`` serves the other agents of the same service.
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
