"""Count the decisions of a balancer."""

import msgspec


class Counters(msgspec.Struct):
    """Numbers of decisions since the start of the balancer.

    ``placed``, ``refused`` and ``unroutable`` count new flows, ``searched``, ``found``
    and ``reset`` searches for open flows, ``returned`` packets that agents rejected.
    """

    placed: int = 0
    refused: int = 0
    searched: int = 0
    found: int = 0
    reset: int = 0
    unroutable: int = 0
    returned: int = 0
