"""Serve metrics, the state dump and readiness over HTTP."""

from .server import setup

__all__ = ["setup"]
