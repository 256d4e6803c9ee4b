"""Balance layer-4 flows across targets that register themselves."""

__version__ = "0.1.0"
