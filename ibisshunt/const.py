"""Define constants that several packages share."""

from typing import Final

EXIT_OK: Final = 0
EXIT_FAILURE: Final = 1
EXIT_BAD_INPUT: Final = 2

# A lease that is not renewed for this time expires.
LEASE_SECONDS: Final = 6.0
HEARTBEAT_SECONDS: Final = 2.0

# Time from the start of a target until it gets its full share of new work.
WARM_UP_SECONDS: Final = 10.0

# Each node must apply a new configuration within this time.
IN_FORCE_SECONDS: Final = 8.0

# A planned stop waits at most this long for work in progress.
STOP_GRACE_SECONDS: Final = 30.0

MAX_DATAGRAM_BYTES: Final = 65_535
RPC_TIMEOUT_SECONDS: Final = 5.0
