"""Define the set of drained failure domains."""

from typing import Annotated

import msgspec


class DrainedDomains(msgspec.Struct, frozen=True, array_like=True):
    """The failure domains whose targets get no new flows.

    ``revision`` is the log index of the last change to the set, 0 before the first one;
    nodes apply the set with the highest revision.
    """

    revision: Annotated[int, msgspec.Meta(ge=0)] = 0
    domains: tuple[str, ...] = ()
