"""Own the flows of one target."""
