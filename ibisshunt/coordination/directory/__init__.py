"""Let nodes discover each other through control hosts, and distribute configurations.

Nothing here is replicated: each node registers with every control host periodically,
and an entry that is not renewed expires.
"""
