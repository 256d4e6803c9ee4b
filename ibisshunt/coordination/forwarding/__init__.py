"""Decide where the packets of a flow go, independent of the packet format.

Each target is authoritative for its flows: it bounces every packet of a flow that it
does not hold. A balancer remembers where it has placed a flow; any other balancer
queries the agents. Flow state is not replicated, so no replicas can disagree.
"""
