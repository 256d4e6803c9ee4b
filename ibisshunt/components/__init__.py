"""Contain the tasks that do input and output: one package per area."""
