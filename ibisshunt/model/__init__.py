"""Immutable data classes that all packages share."""
