"""Define the targets that agents announce to the control hosts."""

from dataclasses import dataclass
from enum import StrEnum

from .address import Address


class TargetState(StrEnum):
    """Membership state of a target."""

    READY = "ready"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Announcement:
    """A target as its agent announces it.

    ``session`` is a random id of the target's process: the same target with a new
    session is a new incarnation. ``packets`` receives datagrams of balancers and other
    agents, ``streams`` relayed TCP streams; ``tunnel`` is the GUE tunnel endpoint of
    the target's host. ``rpc`` serves the other agents of the service; without it the
    agent shares no requests and stores no outcomes. ``agent_session`` is a random id of
    the agent's process: when an agent restarts while its target runs, the target keeps
    its incarnation, but the agent has lost its stored outcomes.
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
    """A target of a service as it appears in the configuration.

    ``incarnation`` is assigned by the control hosts and never reused. The target's
    share of new work grows until ``warm_deadline``, in seconds since the Unix epoch.
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
        """Return the failure domain of the target's host."""
        return self.announcement.failure_domain

    @property
    def takes_new_work(self) -> bool:
        """Return whether the target accepts new flows and requests."""
        return self.state == TargetState.READY

    @property
    def is_suspect(self) -> bool:
        """Return whether the target's lease has expired."""
        return self.state == TargetState.SUSPECT
