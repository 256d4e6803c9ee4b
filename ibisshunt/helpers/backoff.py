"""Space repeated attempts."""

from collections.abc import Callable, Iterator
from typing import Final

FIRST_DELAY_SECONDS: Final = 0.05
LONGEST_DELAY_SECONDS: Final = 2.0


def make_delays(
    draw: Callable[[], float],
    first: float = FIRST_DELAY_SECONDS,
    longest: float = LONGEST_DELAY_SECONDS,
) -> Iterator[float]:
    """Yield growing delays in seconds with full jitter.

    ``draw`` returns a number in [0, 1). Without jitter all nodes that lost the same
    peer would come back in the same instant and overload it again.
    """
    ceiling = first
    while True:
        yield ceiling * (0.5 + draw() / 2)
        ceiling = min(longest, ceiling * 2)
