"""Exchange datagrams between the nodes of a fleet."""
