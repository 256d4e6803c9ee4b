"""Decide which target a new flow goes to, and whether it is queued or rejected."""
