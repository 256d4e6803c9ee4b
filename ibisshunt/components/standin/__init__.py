"""Stand in for the fabric, callers and endpoints."""
