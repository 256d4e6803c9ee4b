"""Add the current leader's address to an error text, and parse it."""

import re

from ..exceptions import Fault
from ..model.address import Address, parse_address

LEADER_HINT = re.compile(r"\bleader=(\d+\.\d+\.\d+\.\d+:\d+)\b")


def add_leader_hint(fault: Fault, leader: Address | None) -> Fault:
    """Return the fault with the leader's address, if known, added to its reason."""
    hint = f"leader={leader}" if leader else "no leader is known"
    return Fault(fault.step, fault.peer, f"{fault.reason}; {hint}")


def parse_leader_hint(fault: Fault) -> Address | None:
    """Return the leader's address in the reason of a fault, or None."""
    match = LEADER_HINT.search(fault.reason)
    return parse_address(match[1]).value_or(None) if match else None
