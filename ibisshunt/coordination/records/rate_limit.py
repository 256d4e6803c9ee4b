"""Limit the rate at which a business may change its records."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

WINDOW_SECONDS: Final = 60.0


@dataclass(frozen=True, slots=True)
class RateLimitResult:
    """The limiter's state after a request, and why the request was refused, if it was.

    ``full_at_by_business`` is when each business's token bucket is full again, in
    wall-clock seconds.
    """

    full_at_by_business: Mapping[str, float]
    error: str = ""


def consume_changes(
    full_at_by_business: Mapping[str, float],
    business: str,
    count: int,
    changes_per_minute: int,
    now: float,
) -> RateLimitResult:
    """Take ``count`` changes from a business that may make so many per minute.

    This is the generic cell rate algorithm: a token bucket of which only the time is
    stored at which it will be full again, in wall-clock seconds.
    """
    previous_full_at = full_at_by_business.get(business, now)
    # A leader whose clock was ahead leaves times far in the future, and its successor
    # would refuse the business until its own clock reaches them. No valid time is later
    # than the window; resetting it allows at most one extra burst.
    if previous_full_at > now + WINDOW_SECONDS:
        previous_full_at = now
    full_at = max(previous_full_at, now) + count * WINDOW_SECONDS / changes_per_minute
    wait = full_at - now - WINDOW_SECONDS
    # Tolerate floating-point rounding errors.
    if wait > 1e-6:
        return RateLimitResult(
            full_at_by_business,
            _explain_refusal(business, count, changes_per_minute, wait),
        )
    return RateLimitResult({**full_at_by_business, business: full_at})


def _explain_refusal(
    business: str, count: int, changes_per_minute: int, wait: float
) -> str:
    limit = (
        f"limited: business {business!r} may make {changes_per_minute} changes a minute"
    )
    if count > changes_per_minute:
        return f"{limit}, found {count} at once"
    return f"{limit}, try again in {wait:.1f} s"
