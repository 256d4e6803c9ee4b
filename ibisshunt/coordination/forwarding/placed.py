"""Remember, at a balancer, where a flow was placed and who refused it."""

from dataclasses import dataclass

from .messages import Reason


@dataclass(frozen=True, slots=True)
class Offers:
    """Hold who was offered a new flow, and who refused it for its load alone."""

    tried: frozenset[str] = frozenset()
    corrected: frozenset[str] = frozenset()

    def add(self, address: str, reason: int) -> "Offers":
        """Return the offers with one more refusal."""
        corrected = self.corrected
        if reason == Reason.FULL:
            corrected |= {address}
        return Offers(self.tried | {address}, corrected)


NO_OFFERS = Offers()


@dataclass(slots=True)
class Flow:
    """Remember where a flow was placed; times are in seconds.

    ``began`` is when the caller sent its opening packet first.
    """

    address: str
    service: str
    sequence: int
    opening: bool
    seen_at: float
    began: float
    offers: Offers = NO_OFFERS
