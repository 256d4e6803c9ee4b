"""Compute the delays between retries."""

from collections.abc import Callable, Iterator
from typing import Final

INITIAL_DELAY_SECONDS: Final = 0.05
MAX_DELAY_SECONDS: Final = 2.0


def make_delays(
    random_fraction: Callable[[], float],
    initial: float = INITIAL_DELAY_SECONDS,
    maximum: float = MAX_DELAY_SECONDS,
) -> Iterator[float]:
    """Yield exponentially growing delays in seconds, with jitter.

    ``random_fraction`` returns a random float in [0, 1). Each delay is between 50 %
    and 100 % of the exponential delay. Without jitter all nodes that lost the same peer
    would reconnect at the same time and overload it again.
    """
    ceiling = initial
    while True:
        yield ceiling * (0.5 + random_fraction() / 2)
        ceiling = min(maximum, ceiling * 2)
