"""Choose the two agents that store the outcome of an idempotency key."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash


@dataclass(frozen=True, slots=True, order=True)
class Member:
    """One agent of a service.

    ``incarnation`` is that of the agent's process, see ``hash_incarnation``: a process
    that restarts has an empty ledger and must count as another member.
    """

    incarnation: int
    name: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class View:
    """The agents of a service that store outcomes, as one agent sees them.

    ``revision`` orders views; views with the same ``digest`` have the same members.
    """

    revision: int
    members: tuple[Member, ...]
    digest: int = field(default=0)


@dataclass(frozen=True, slots=True)
class ReplicaPair:
    """The two replicas of a key, in the order in which they are queried."""

    first: Member
    second: Member

    def includes(self, incarnation: int) -> bool:
        """Return whether the agent is one of the two replicas."""
        return incarnation in (self.first.incarnation, self.second.incarnation)


EMPTY_VIEW = View(0, ())


def hash_incarnation(target: int, agent_session: str) -> int:
    """Return the 63-bit number of one process of a target's agent."""
    text = f"{target}/{agent_session}"
    return xxhash.xxh3_64_intdigest(text.encode()) >> 1


def make_view(revision: int, members: Iterable[Member]) -> View:
    """Return the view of these members; the order of ``members`` does not matter."""
    ordered = tuple(sorted(members))
    text = ",".join(
        f"{member.incarnation}/{member.failure_domain}" for member in ordered
    )
    return View(revision, ordered, xxhash.xxh3_64_intdigest(text.encode()))


def find_replicas(view: View, key: bytes) -> ReplicaPair | None:
    """Return the replicas of a key, or None when the view spans one failure domain.

    Rendezvous hashing: a member that joins or leaves moves only its own keys. The
    replicas are in two failure domains, because one domain can fail as a whole.
    """
    ranked = sorted(view.members, key=lambda member: _score(member, key), reverse=True)
    for other in ranked[1:]:
        if other.failure_domain != ranked[0].failure_domain:
            return ReplicaPair(ranked[0], other)
    return None


def count_domains(members: Iterable[Member]) -> int:
    """Return the number of failure domains of the members."""
    return len({member.failure_domain for member in members})


def _score(member: Member, key: bytes) -> tuple[int, int]:
    salt = member.incarnation.to_bytes(8, "big")
    return xxhash.xxh3_64_intdigest(salt + key), member.incarnation
