"""Decide which targets take part."""
