"""Decide what configuration a node is sent and puts in force."""
