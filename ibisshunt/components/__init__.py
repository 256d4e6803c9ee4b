"""Hold the tasks: one folder a domain, each with setup and unload."""
