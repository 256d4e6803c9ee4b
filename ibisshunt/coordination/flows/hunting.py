"""Decide whether the first choice takes a new flow or passes it to the second."""

from typing import Final

# A peer's load that is older than this says nothing about now.
LOAD_AGE_SECONDS: Final = 10.0
# The first choice passes a flow on when its load is above the second's by this part.
MARGIN: Final = 0.02


class PeerLoads:
    """Remember the load of the other targets of the service.

    A load is the number of open flows, divided by the weight and by the part of its
    share that a cold target takes by now.
    """

    def __init__(self) -> None:
        self._loads: dict[int, float] = {}
        self._deadlines: dict[int, float] = {}

    def note(self, incarnation: int, load: float, now: float) -> None:
        """Note what a peer reported; ``now`` in seconds."""
        self._loads[incarnation] = load
        self._deadlines[incarnation] = now + LOAD_AGE_SECONDS

    def add(self, incarnation: int, amount: float) -> None:
        """Count a flow that was passed to the peer since its last report.

        Without it every first choice would pass all its new flows to the same idle
        peer until the next report, and the load would swing.
        """
        if incarnation in self._loads:
            self._loads[incarnation] += amount

    def prefers_peer(self, own_load: float, incarnation: int, now: float) -> bool:
        """Tell whether the peer is less loaded; an unknown load is no reason."""
        if self._deadlines.get(incarnation, 0.0) <= now:
            return False
        return own_load > self._loads[incarnation] * (1 + MARGIN)

    def keep_only(self, incarnations: set[int]) -> None:
        """Forget the loads of targets that are gone."""
        for incarnation in self._loads.keys() - incarnations:
            del self._loads[incarnation]
            del self._deadlines[incarnation]
