"""Recover flows after restarts, and reset those whose targets have ended."""
