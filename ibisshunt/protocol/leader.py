"""Tell in an error which control host leads."""

import re

from ..exceptions import Fault
from ..model.address import Address, parse_address

PATTERN = re.compile(r"\bleader=(\d+\.\d+\.\d+\.\d+:\d+)\b")


def name_leader(fault: Fault, leader: Address | None) -> Fault:
    """Return the fault with the leader's address in its reason, if it is known."""
    where = f"leader={leader}" if leader else "no leader is known"
    return Fault(fault.step, fault.peer, f"{fault.reason}; {where}")


def find_leader(fault: Fault) -> Address | None:
    """Return the leader that a control host named in its error, or None."""
    found = PATTERN.search(fault.reason)
    return parse_address(found[1]).value_or(None) if found else None
