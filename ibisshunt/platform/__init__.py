"""Translate the names, formats and HTTP calls of the users' platform.

Nothing outside this package uses the platform's names, and no load-balancing decision
is made here.
"""
