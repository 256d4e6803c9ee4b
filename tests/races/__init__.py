"""Callers, balancers, agents and targets of one service, with delays on every way.

Messages overtake each other and are lost as on real links, so that the orders come up
in which a crash, a heartbeat and a packet of an open flow can meet.
"""
