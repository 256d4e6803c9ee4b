"""Find the target of a flow that a balancer does not know."""
