"""Own the sockets of balancers and agents that forward packets of flows."""
