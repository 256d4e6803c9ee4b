"""Decide which target owns a flow."""
