"""Embed the coordination library in programs of one's own."""
