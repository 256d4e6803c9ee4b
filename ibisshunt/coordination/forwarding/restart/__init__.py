"""Keep flows over restarts, and tell callers of those that are over."""
