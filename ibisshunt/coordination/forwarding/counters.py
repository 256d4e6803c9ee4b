"""Count what a balancer has decided."""

import msgspec


class Counters(msgspec.Struct):
    """Count what happened since the start."""

    placed: int = 0
    refused: int = 0
    searched: int = 0
    found: int = 0
    reset: int = 0
    unroutable: int = 0
    returned: int = 0
