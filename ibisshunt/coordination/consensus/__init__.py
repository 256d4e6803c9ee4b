"""Decide how hosts agree on one log."""
