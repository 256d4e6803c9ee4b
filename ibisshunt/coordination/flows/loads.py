"""Tell peers the load of this agent, and how many flows it owns."""

from dataclasses import replace
from typing import Final

from ...protocol.datagram import pack_load
from .state import OwnerState

# Loads go to this many peers a round; large services take several rounds.
PEERS_PER_ROUND: Final = 16


def find_load(state: OwnerState) -> float:
    """Return the open flows by weight and by the share taken so far."""
    own = state.own
    weight = max(1, own.announcement.weight) if own else 1
    share = state.table.find_share(state.incarnation)
    return (len(state.flows) - state.flows.closing) / (weight * share)


def tell_load(state: OwnerState, turn: int) -> None:
    """Send the load to the next few peers; ``turn`` counts the rounds."""
    if state.table is None or state.own is None:
        return
    peers = [one for one in state.table.targets if one.takes_new_work]
    load = find_load(state)
    start = turn * PEERS_PER_ROUND
    for offset in range(min(PEERS_PER_ROUND, len(peers))):
        peer = peers[(start + offset) % len(peers)]
        if peer.incarnation != state.incarnation:
            head = replace(state.make_head(peer), origin=state.incarnation)
            state.send(peer, pack_load(head, load))
