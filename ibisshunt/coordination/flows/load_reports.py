"""Compute the load of this agent and report it to peers."""

from dataclasses import replace
from typing import Final

from ...protocol.datagram import pack_load
from .state import OwnerState

# Peers that get a report in each round; large services take several rounds.
PEERS_PER_ROUND: Final = 16


def compute_load(state: OwnerState) -> float:
    """Return the open flows divided by the target's weight and slow-start share."""
    local_target = state.local_target
    weight = max(1, local_target.announcement.weight) if local_target else 1
    share = state.table.compute_share(state.incarnation)
    return (len(state.flows) - state.flows.closing) / (weight * share)


def send_load(state: OwnerState, round_number: int) -> None:
    """Send the load to the next few peers; ``round_number`` counts the rounds."""
    if state.table is None or state.local_target is None:
        return
    peers = [target for target in state.table.targets if target.takes_new_work]
    load = compute_load(state)
    start = round_number * PEERS_PER_ROUND
    for offset in range(min(PEERS_PER_ROUND, len(peers))):
        peer = peers[(start + offset) % len(peers)]
        if peer.incarnation != state.incarnation:
            header = replace(state.make_notice_header(peer), origin=state.incarnation)
            state.send(peer, pack_load(header, load))
