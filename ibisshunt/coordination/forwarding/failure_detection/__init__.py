"""Detect agents that have failed or are cut off."""
