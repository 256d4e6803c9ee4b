"""Distribute the configuration to nodes as snapshots and deltas."""
