"""Choose the two agents that keep the outcome of an idempotency key."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash


@dataclass(frozen=True, slots=True, order=True)
class Member:
    """Name one agent of a service.

    ``incarnation`` is that of the agent's process, as ``find_incarnation`` makes it: a
    process that starts anew has an empty ledger and must count as another member.
    """

    incarnation: int
    name: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class View:
    """Hold the agents of a service that keep outcomes, as one agent sees them.

    ``revision`` orders views; two views with the same ``digest`` have the same members.
    """

    revision: int
    members: tuple[Member, ...]
    digest: int = field(default=0)


@dataclass(frozen=True, slots=True)
class Pair:
    """Name the two holders of a key, in the order in which they are asked."""

    first: Member
    second: Member

    def holds(self, incarnation: int) -> bool:
        """Tell whether the agent is one of the two."""
        return incarnation in (self.first.incarnation, self.second.incarnation)


EMPTY_VIEW = View(0, ())


def find_incarnation(target: int, agent_session: str) -> int:
    """Return a number of 63 bits for one process of a target's agent."""
    text = f"{target}/{agent_session}"
    return xxhash.xxh3_64_intdigest(text.encode()) >> 1


def make_view(revision: int, members: Iterable[Member]) -> View:
    """Return the view of these members; the order of ``members`` does not matter."""
    ordered = tuple(sorted(members))
    text = ",".join(f"{m.incarnation}/{m.failure_domain}" for m in ordered)
    return View(revision, ordered, xxhash.xxh3_64_intdigest(text.encode()))


def find_pair(view: View, key: bytes) -> Pair | None:
    """Return the holders of a key, or None when the view spans one failure domain.

    Highest random weight: a member that joins or leaves moves only the keys that it
    holds. Both holders in one failure domain would be lost together.
    """
    ranked = sorted(view.members, key=lambda member: _weigh(member, key), reverse=True)
    for other in ranked[1:]:
        if other.failure_domain != ranked[0].failure_domain:
            return Pair(ranked[0], other)
    return None


def count_domains(members: Iterable[Member]) -> int:
    """Return how many failure domains the members are in."""
    return len({member.failure_domain for member in members})


def _weigh(member: Member, key: bytes) -> tuple[int, int]:
    salt = member.incarnation.to_bytes(8, "big")
    return xxhash.xxh3_64_intdigest(salt + key), member.incarnation
