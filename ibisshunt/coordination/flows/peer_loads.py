"""Compare the loads of peers for the sharing policy ``hunting``."""

from typing import Final

# Older load reports are ignored.
MAX_LOAD_AGE_SECONDS: Final = 10.0
# The first choice redirects a flow when its load exceeds the second's by this share.
LOAD_MARGIN: Final = 0.02


class PeerLoads:
    """Store the loads of the other targets of the service.

    A load is the number of open flows divided by the target's weight and slow-start
    share.
    """

    def __init__(self) -> None:
        self._loads: dict[int, float] = {}
        self._deadlines: dict[int, float] = {}

    def update(self, incarnation: int, load: float, now: float) -> None:
        """Store the load that a peer has reported; ``now`` is in seconds."""
        self._loads[incarnation] = load
        self._deadlines[incarnation] = now + MAX_LOAD_AGE_SECONDS

    def add_flow(self, incarnation: int, load: float) -> None:
        """Add the load of a flow that was redirected to the peer since its last report.

        Otherwise every first choice would redirect all its new flows to the same idle
        peer until the next report, and the loads would oscillate.
        """
        if incarnation in self._loads:
            self._loads[incarnation] += load

    def is_less_loaded(self, local_load: float, incarnation: int, now: float) -> bool:
        """Return whether the peer is less loaded; False if its load is unknown."""
        if self._deadlines.get(incarnation, 0.0) <= now:
            return False
        return local_load > self._loads[incarnation] * (1 + LOAD_MARGIN)

    def retain(self, incarnations: set[int]) -> None:
        """Remove the loads of targets that are no longer in the table."""
        for incarnation in self._loads.keys() - incarnations:
            del self._loads[incarnation]
            del self._deadlines[incarnation]
