"""Bind the sockets that the settings name, before the rest of a program is loaded.

Only the fields that are needed here are read. The complete settings are read and
validated later, and errors in them are reported then.
"""

import os
import tomllib
from typing import Any

from ..helpers.prebound_sockets import bind_datagram_socket, bind_stream_listener

# Environment variable with the path of the settings file.
SETTINGS_PATH_VARIABLE = "IBISSHUNT_NODE_FILE"
# Keys in ``ListenAddrs`` of the addresses that each program binds before its imports.
DATAGRAM_LISTEN_KEYS = {"balancer": "UdpAddr", "agent": "outbound"}
STREAM_LISTEN_KEYS = {"balancer": "ReadyAddr", "agent": "Control"}


def prebind_sockets(program: str) -> None:
    """Bind a program's sockets; skip what cannot be read from the settings or bound."""
    try:
        with open(os.environ[SETTINGS_PATH_VARIABLE], "rb") as stream:
            settings = tomllib.load(stream)
        bind_datagram_socket((settings["Ip"], settings["InternalPortRange"][0]))
        listen = settings["ListenAddrs"]
        if program in DATAGRAM_LISTEN_KEYS:
            bind_datagram_socket(_split_address(listen[DATAGRAM_LISTEN_KEYS[program]]))
        if program in STREAM_LISTEN_KEYS:
            bind_stream_listener(_split_address(listen[STREAM_LISTEN_KEYS[program]]))
    except (OSError, KeyError, IndexError, TypeError, ValueError, OverflowError):
        # Reported, with the field and the expected value, when settings are validated.
        return


def _split_address(address: Any) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
