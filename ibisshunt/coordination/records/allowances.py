"""Decide how many changes a business may still make."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

WINDOW_SECONDS: Final = 60.0


@dataclass(frozen=True, slots=True)
class Charge:
    """Hold the deadlines after a charge, or why it was refused."""

    deadlines: Mapping[str, float]
    error: str = ""


def charge(
    deadlines: Mapping[str, float], business: str, count: int, rate: int, now: float
) -> Charge:
    """Take ``count`` changes from a business that has ``rate`` a minute.

    This is the generic cell rate algorithm, a token bucket that stores one deadline:
    when the bucket will be full again, in wall-clock seconds.
    """
    stored = deadlines.get(business, now)
    # A leader whose clock was ahead left deadlines far in the future, and its
    # successor would refuse the business until its own clock got there. No true
    # deadline lies beyond the window; the price is one burst more.
    if stored > now + WINDOW_SECONDS:
        stored = now
    full = max(stored, now) + count * WINDOW_SECONDS / rate
    wait = full - now - WINDOW_SECONDS
    # Sums of binary fractions differ in the last digits.
    if wait > 1e-6:
        return Charge(deadlines, _explain(business, count, rate, wait))
    return Charge({**deadlines, business: full})


def _explain(business: str, count: int, rate: int, wait: float) -> str:
    limit = f"limited: business {business!r} may make {rate} changes a minute"
    if count > rate:
        return f"{limit}, found {count} at once"
    return f"{limit}, try again in {wait:.1f} s"
