"""Simulation of callers, balancers, agents and targets on links with delay and loss.

Messages are reordered and lost as on real links, so that crashes, heartbeats and
packets of open flows arrive in every order.
"""
