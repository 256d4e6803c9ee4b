"""Track, at an agent, its local target and the target's flows and requests."""
