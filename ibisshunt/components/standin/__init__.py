"""Stand in for the fabric, callers and endpoints."""

from .endpoint import Endpoint
from .fabric import Caller, Fabric, FlowBrokenError

__all__ = ["Caller", "Endpoint", "Fabric", "FlowBrokenError"]
