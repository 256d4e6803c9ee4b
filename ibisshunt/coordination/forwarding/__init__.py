"""Decide where the packets of a flow go, whatever format carries them.

The target is the truth about its flows: it returns each packet of a flow that it does
not hold. A balancer remembers where it placed a flow; any other balancer asks the
agents. Nothing is replicated, so nothing can disagree.
"""
