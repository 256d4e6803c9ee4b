"""Name the constants that several parts share."""

from typing import Final

EXIT_OK: Final = 0
EXIT_FAILURE: Final = 1
EXIT_BAD_INPUT: Final = 2

# How long a node may be silent before its lease ends, in seconds.
LEASE_SECONDS: Final = 6.0
HEARTBEAT_SECONDS: Final = 2.0

# Time a cold target takes to reach its full share, in seconds.
WARM_UP_SECONDS: Final = 10.0

# A configuration must be in force everywhere after this many seconds.
IN_FORCE_SECONDS: Final = 8.0

# A planned stop waits no longer than this for work in progress, in seconds.
STOP_GRACE_SECONDS: Final = 30.0

MAX_DATAGRAM_BYTES: Final = 65_535
RPC_TIMEOUT_SECONDS: Final = 5.0
