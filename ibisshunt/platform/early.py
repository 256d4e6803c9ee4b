"""Open the sockets that the settings name, before the rest of a program is loaded.

Only what is read here is known yet; the settings are checked later, when they are read
as a whole, and what is wrong in them is told then.
"""

import os
import tomllib
from typing import Any

from ..helpers.early import open_datagram, open_stream

# The variable that holds the settings' path.
PATH_VARIABLE = "IBISSHUNT_NODE_FILE"
# What each program is reached at from its start on: names in ``ListenAddrs``.
DATAGRAM_NAMES = {"balancer": "UdpAddr", "agent": "outbound"}
STREAM_NAMES = {"balancer": "ReadyAddr", "agent": "Control"}


def open_early(program: str) -> None:
    """Open what is reached at one program; leave out what cannot be read or bound."""
    try:
        with open(os.environ[PATH_VARIABLE], "rb") as stream:
            found = tomllib.load(stream)
        open_datagram((found["Ip"], found["InternalPortRange"][0]))
        listen = found["ListenAddrs"]
        if program in DATAGRAM_NAMES:
            open_datagram(_split(listen[DATAGRAM_NAMES[program]]))
        if program in STREAM_NAMES:
            open_stream(_split(listen[STREAM_NAMES[program]]))
    except (OSError, KeyError, IndexError, TypeError, ValueError, OverflowError):
        # Told with the field and what is expected when the settings are checked.
        return


def _split(address: Any) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
