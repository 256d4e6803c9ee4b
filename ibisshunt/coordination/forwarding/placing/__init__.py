"""Decide which target a new flow goes to, what waits and what is refused."""
