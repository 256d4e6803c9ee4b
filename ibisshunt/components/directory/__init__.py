"""Own the datagrams between the nodes of a fleet."""
