"""Decide whether a change of a record is accepted."""
