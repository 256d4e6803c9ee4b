"""Utilities that several components share."""
