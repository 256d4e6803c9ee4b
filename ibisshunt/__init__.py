"""Balance layer-4 flows over targets that announce themselves."""

__version__ = "0.1.0"
