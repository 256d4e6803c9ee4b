"""Serve metrics, the state dump and readiness over HTTP."""
