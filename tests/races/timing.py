"""Delays, timeouts and intervals of the race simulation."""

HEARTBEAT_SECONDS = 0.77
# Longest time from a target's start to its first heartbeat.
FIRST_HEARTBEAT_SECONDS = 0.02
# Delay of a heartbeat, and longest delay of one that arrives late.
HEARTBEAT_DELAY_SECONDS, LATE_HEARTBEAT_SECONDS = 0.0005, 1.5
# Shortest and longest delay of the heartbeats of a target whose link was cut.
UNHEARD_SECONDS = (0.5, 4.0)
# One-way delays within a failure domain, between domains and to a caller.
SAME_DOMAIN_SECONDS, CROSS_DOMAIN_SECONDS, CALLER_SECONDS = 0.0002, 0.0014, 0.001
# One-way delay between an agent and its target.
HOST_SECONDS = 0.0001
# Ratio of a packet's longest delay to the shortest; it lets later packets overtake.
JITTER = 1.4
HANDSHAKE_SECONDS = 0.0003
SERVICE_SECONDS = 0.02
# Requests that may wait at a target before it bounces SYNs.
MAX_QUEUE = 8
# When a caller retransmits its SYN, and for how long it waits after the last time.
SYN_COPY_SECONDS, LAST_SYN_COPY_SECONDS = (0.2, 0.6), 0.8
RETRANSMISSION_SECONDS = 0.2
REQUEST_TIMEOUT_SECONDS = 0.5
# Maximum pauses of a caller between two requests, one of which is drawn each time.
MAX_PAUSES_SECONDS = (0.05, 0.3, 1.0, 3.0)
# How far a reset's sequence number may be from a caller's acknowledgement for the
# caller to accept it, in bytes.
RESET_WINDOW = 76_800
# Shortest interval between statuses when the load changes, the longest interval, and
# the interval of an agent's tick.
CHANGE_SECONDS, STATUS_SECONDS, TICK_SECONDS = 0.12, 0.4, 0.04
FLUSH_SECONDS = 0.01
BUSY_TICK_SECONDS, IDLE_TICK_SECONDS = 0.02, 0.1
