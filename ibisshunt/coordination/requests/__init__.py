"""Decide where, when and how often a request runs."""
