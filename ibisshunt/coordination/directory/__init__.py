"""Let nodes find each other through the control hosts, and configurations spread.

Nothing here is replicated: each node introduces itself to every control host again and
again, and an entry that is not renewed ends.
"""
