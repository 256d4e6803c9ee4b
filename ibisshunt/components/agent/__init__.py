"""Serve the packets and streams of one target."""
