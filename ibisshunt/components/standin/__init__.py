"""Simulate the packet fabric, callers and endpoints of a system."""

from .endpoint import Endpoint
from .fabric import Caller, Fabric, FlowBrokenError

__all__ = ["Caller", "Endpoint", "Fabric", "FlowBrokenError"]
