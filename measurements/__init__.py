"""Measure the parts; each module prints JSON."""
