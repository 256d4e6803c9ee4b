"""Track the incarnations that may have replaced an agent's target."""

import msgspec

from .incarnations import Heartbeat, is_overtaken

# Most candidates that are tracked; the one that was silent for longest is forgotten.
MAX_CANDIDATES = 8


class Candidate(msgspec.Struct, frozen=True):
    """An incarnation whose heartbeat contradicts the current one; times in seconds."""

    heartbeat: Heartbeat
    first_heard_at: float
    last_heard_at: float


class Candidates:
    """The incarnations that were heard while another one was current.

    A heartbeat may be delayed until its sender has crashed and the next incarnation
    runs, so the order of arrival does not show which of two incarnations is alive.
    Times are in seconds.
    """

    def __init__(self) -> None:
        self._by_name: dict[str, Candidate] = {}

    def __bool__(self) -> bool:
        return bool(self._by_name)

    @property
    def first_heard_at(self) -> float:
        """Return when a candidate was first heard, infinity without any."""
        return min(
            (candidate.first_heard_at for candidate in self._by_name.values()),
            default=float("inf"),
        )

    @property
    def last_heard_at(self) -> float:
        """Return when the last candidate was heard, minus infinity without any."""
        newest = self.find_newest()
        return float("-inf") if newest is None else newest.last_heard_at

    def is_overtaken(self, heartbeat: Heartbeat) -> bool:
        """Return whether a newer heartbeat of the same candidate has arrived."""
        known = self._by_name.get(heartbeat.name)
        return known is not None and is_overtaken(heartbeat, known.heartbeat)

    def find(self, name: str) -> Candidate | None:
        """Return a candidate, None when it is not known."""
        return self._by_name.get(name)

    def find_newest(self) -> Candidate | None:
        """Return the candidate that was heard last, None without any."""
        return max(
            self._by_name.values(),
            key=lambda candidate: candidate.last_heard_at,
            default=None,
        )

    def record(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record a candidate's heartbeat; return whether the candidate is new."""
        known = self._by_name.pop(heartbeat.name, None)
        first_heard_at = now if known is None else known.first_heard_at
        self._by_name[heartbeat.name] = Candidate(heartbeat, first_heard_at, now)
        if len(self._by_name) > MAX_CANDIDATES:
            del self._by_name[next(iter(self._by_name))]
        return known is None

    def remove(self, name: str) -> Candidate | None:
        """Forget a candidate and return it, None when it is not known."""
        return self._by_name.pop(name, None)

    def remove_silent(self, heard_before: float) -> list[Candidate]:
        """Forget and return the candidates not heard after ``heard_before``."""
        silent = [
            candidate
            for candidate in self._by_name.values()
            if candidate.last_heard_at <= heard_before
        ]
        for candidate in silent:
            del self._by_name[candidate.heartbeat.name]
        return silent
