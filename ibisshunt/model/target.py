"""Describe the targets that announce themselves."""

from dataclasses import dataclass
from enum import StrEnum

from .address import Address


class TargetState(StrEnum):
    """Name the states of a target's membership."""

    READY = "ready"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Announcement:
    """Describe a target as its agent announces it.

    ``session`` is drawn by the target's process at its start: the same target with a
    new session is a new incarnation. ``packets`` takes datagrams from balancers and
    other agents, ``streams`` relayed TCP streams, ``tunnel`` is the target host's own
    GUE tunnel end. ``rpc`` takes calls of the other agents of the service; without it
    the agent shares no requests and keeps no outcomes. ``agent_session`` is drawn by
    the agent's process at its start: one that restarts beside a living target keeps the
    target's incarnation, but has lost the outcomes that it kept.
    """

    business: str
    service: str
    name: str
    session: str
    host: str
    failure_domain: str
    packets: Address
    streams: Address
    tunnel: Address
    weight: int = 100
    rpc: Address | None = None
    agent_session: str = ""


@dataclass(frozen=True, slots=True)
class Target:
    """Describe one place of a service, as the configuration in force holds it.

    ``incarnation`` is given by control and is never used twice. ``warm_deadline`` is
    wall-clock time in seconds since the epoch; until then the share grows.
    """

    announcement: Announcement
    incarnation: int
    state: TargetState
    warm_deadline: float

    @property
    def name(self) -> str:
        """Return the target's name within its service."""
        return self.announcement.name

    @property
    def failure_domain(self) -> str:
        """Return the failure domain that the target runs in."""
        return self.announcement.failure_domain

    @property
    def takes_new_work(self) -> bool:
        """Tell whether new flows and requests may go to the target."""
        return self.state == TargetState.READY

    @property
    def is_suspect(self) -> bool:
        """Tell whether the target's lease has run out."""
        return self.state == TargetState.SUSPECT
