"""Offer the decisions that nodes take together, free of input and output."""
