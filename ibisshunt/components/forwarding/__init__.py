"""Forward packets of flows over the sockets of balancers and agents."""
