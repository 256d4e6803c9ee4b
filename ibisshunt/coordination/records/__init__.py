"""Validate and apply changes of records, deterministically on every host."""
