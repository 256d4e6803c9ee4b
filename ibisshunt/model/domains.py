"""Describe which failure domains are drained."""

from typing import Annotated

import msgspec


class DrainedDomains(msgspec.Struct, frozen=True, array_like=True):
    """Hold the failure domains whose targets get no new flow.

    ``revision`` is the position in the log of the last order that changed them, 0
    before the first; the highest revision is in force.
    """

    revision: Annotated[int, msgspec.Meta(ge=0)] = 0
    domains: tuple[str, ...] = ()
