"""Encode what the system's own processes say to each other."""
