"""Keep the leases of targets and derive their states."""
