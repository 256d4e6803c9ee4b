"""How long things take in the race world, and what a caller and a target do."""

HEARTBEAT_SECONDS = 0.77
# From a target's start to its first heartbeat, at most.
FIRST_HEARTBEAT_SECONDS = 0.02
# How long a heartbeat is under way, and one that comes late, at most.
HEARTBEAT_WAY_SECONDS, LATE_HEARTBEAT_SECONDS = 0.0005, 1.5
NEAR_SECONDS, FAR_SECONDS, CALLER_SECONDS = 0.0002, 0.0014, 0.001
# From an agent to its target and back.
HOST_SECONDS = 0.0001
# How much longer than the shortest time a packet may take: later ones overtake it.
JITTER = 1.4
HANDSHAKE_SECONDS = 0.0003
SERVICE_SECONDS = 0.02
# Requests that may wait at a target before it returns openings.
MAX_QUEUE = 8
# When a caller copies an opening, and gives it up after the last copy.
COPY_SECONDS, LAST_COPY_SECONDS = (0.2, 0.6), 0.8
REPEAT_SECONDS = 0.2
GIVE_UP_SECONDS = 0.5
# How long a caller pauses between two requests, at most, one of these.
PAUSES_SECONDS = (0.05, 0.3, 1.0, 3.0)
# How far from a caller's acknowledgement a reset may be to be believed, in bytes.
RESET_SPAN = 76_800
# How often agents tell balancers of a changed load, and in any case.
CHANGE_SECONDS, STATUS_SECONDS, TICK_SECONDS = 0.12, 0.4, 0.04
GATHER_SECONDS = 0.01
BUSY_SWEEP_SECONDS, IDLE_SWEEP_SECONDS = 0.02, 0.1
