"""Search for the target that holds a flow unknown to a balancer."""
