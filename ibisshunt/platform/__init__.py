"""Translate the names, formats and calls of the users' platform; decide nothing.

Nothing outside this folder knows the platform's names.
"""
