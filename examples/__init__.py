"""Show how to embed the coordination library."""
