"""Store the flows that an agent owns and pointers to flows that others own."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final

from ...protocol.packet import FIN, RST

# A flow that its caller has reset is removed after this time, unless further packets
# show that the reset was not valid.
RESET_RETENTION_SECONDS: Final = 10
MAX_OWNERS: Final = 4096
SWEEP_BATCH_KEYS: Final = 512

# The state of a flow is one integer: its deadline in whole seconds and two flag bits.
# That of a pointer is its deadline, a flag bit and the index of its owner.
_CLOSING: Final = 1
_ADOPTED: Final = 2
_DEADLINE_SHIFT: Final = 2
_OWNER_BITS: Final = 13
_OWNER_MASK: Final = (1 << _OWNER_BITS) - 1
_UNCONFIRMED: Final = 1 << _OWNER_BITS
_POINTER_SHIFT: Final = _OWNER_BITS + 1
_POINTER_MASK: Final = (1 << _POINTER_SHIFT) - 1


class FlowStore:
    """Store a limited number of flows with their deadlines.

    The values are shared integers, because a million flows have only a few hundred
    different deadlines: a flow costs its key and its entry in the map.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.closing = 0
        self._states: dict[bytes, int] = {}
        self._interned: dict[int, int] = {}

    def __len__(self) -> int:
        """Return the number of flows, closing ones included."""
        return len(self._states)

    def __contains__(self, key: bytes) -> bool:
        """Return whether the flow is stored."""
        return key in self._states

    def has_room(self) -> bool:
        """Return whether there is room for another flow."""
        return len(self._states) < self.limit

    def is_closing(self, key: bytes) -> bool:
        """Return whether the caller has closed its side of the flow."""
        return bool(self._states.get(key, 0) & _CLOSING)

    def is_adopted(self, key: bytes) -> bool:
        """Return whether an adopted flow has had no packet since its adoption.

        The target may not have the flow: its host has then sent a reset, and no more
        packets arrive.
        """
        return bool(self._states.get(key, 0) & _ADOPTED)

    def adopt(self, key: bytes, now: float, idle_seconds: float) -> None:
        """Add a flow that no other agent owns."""
        self.touch(key, 0, now, idle_seconds)
        self._states[key] |= _ADOPTED

    def touch(
        self, key: bytes, packet_flags: int, now: float, idle_seconds: float
    ) -> None:
        """Add a flow, or record a packet of it.

        After the caller's FIN a flow stays until its idle timeout: the target may
        continue to send, and its packets do not pass through this agent.
        """
        old = self._states.get(key, 0)
        closing = old & _CLOSING
        if packet_flags & (FIN | RST) and not closing:
            closing = _CLOSING
            self.closing += 1
        if packet_flags & RST:
            idle_seconds = min(idle_seconds, RESET_RETENTION_SECONDS)
        state = int(now + idle_seconds + 1) << _DEADLINE_SHIFT | closing
        if state != old:
            self._states[key] = self._interned.setdefault(state, state)

    def remove(self, key: bytes) -> None:
        """Remove a flow."""
        self.closing -= self._states.pop(key, 0) & _CLOSING

    def list_keys(self) -> list[bytes]:
        """Return the keys of all flows."""
        return list(self._states)

    def sweep(self, now: float) -> Iterator[int]:
        """Remove expired flows; yield the number of removed flows after each batch.

        With many flows this takes long enough to delay other tasks.
        """
        floor = int(now) << _DEADLINE_SHIFT
        self._interned = {state: state for state in self._interned if state >= floor}
        yield from _sweep(self.list_keys(), lambda key: self._expire(key, now))

    def _expire(self, key: bytes, now: float) -> bool:
        state = self._states.get(key)
        if state is None or state >> _DEADLINE_SHIFT > now:
            return False
        self.remove(key)
        return True


@dataclass(frozen=True, slots=True)
class Owner:
    """A target that owns flows, as a peer reported it at a revision."""

    incarnation: int
    instance_id: int
    socket_address: tuple[str, int]
    revision: int


class PointerStore:
    """Store which other target owns a flow, for a limited number of flows.

    A lost pointer costs hops, no flow: packets are forwarded along the chain instead.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._states: dict[bytes, int] = {}
        self._owners: list[Owner] = []
        self._indexes: dict[int, int] = {}

    def __len__(self) -> int:
        """Return the number of pointers."""
        return len(self._states)

    def find(self, key: bytes) -> Owner | None:
        """Return the owner of a flow, or None without a pointer."""
        state = self._states.get(key)
        return None if state is None else self._owners[state & _OWNER_MASK]

    def list_keys(self, instance_id: int) -> list[bytes]:
        """Return the keys of the flows that an instance's own agent has reported.

        Unconfirmed pointers are left out: the target that a flow was redirected to may
        have redirected it as well.
        """
        indexes = {
            index
            for index, owner in enumerate(self._owners)
            if owner.instance_id == instance_id
        }
        if not indexes:
            return []
        return [
            key
            for key, state in self._states.items()
            if state & _POINTER_MASK in indexes
        ]

    def add(
        self, key: bytes, owner: Owner, deadline: float, unconfirmed: bool = False
    ) -> None:
        """Store the owner of a flow until a deadline in seconds.

        An ``unconfirmed`` pointer was not sent by the owner itself.
        """
        pointer_bits = self._find_index(owner) | (_UNCONFIRMED if unconfirmed else 0)
        if key not in self._states and len(self._states) >= self.limit:
            del self._states[next(iter(self._states))]
        self._states[key] = int(deadline + 1) << _POINTER_SHIFT | pointer_bits

    def refresh(self, key: bytes, deadline: float) -> None:
        """Extend the deadline of a pointer."""
        pointer_bits = self._states[key] & _POINTER_MASK
        self._states[key] = int(deadline + 1) << _POINTER_SHIFT | pointer_bits

    def _find_index(self, owner: Owner) -> int:
        index = self._indexes.get(owner.incarnation)
        if index is not None:
            self._owners[index] = owner
            return index
        if len(self._owners) >= MAX_OWNERS:
            self._states.clear()
            self._owners.clear()
            self._indexes.clear()
        self._owners.append(owner)
        self._indexes[owner.incarnation] = len(self._owners) - 1
        return len(self._owners) - 1

    def remove(self, key: bytes) -> None:
        """Remove a pointer."""
        self._states.pop(key, None)

    def sweep(self, now: float) -> Iterator[int]:
        """Remove expired pointers; yield the number removed after each batch."""
        yield from _sweep(list(self._states), lambda key: self._expire(key, now))

    def _expire(self, key: bytes, now: float) -> bool:
        state = self._states.get(key)
        if state is None or state >> _POINTER_SHIFT > now:
            return False
        del self._states[key]
        return True


class DeadlineStore:
    """Store a limited number of keys with deadlines; the oldest are evicted first."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._deadlines: dict[bytes, float] = {}

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._deadlines)

    def find(self, key: bytes) -> float | None:
        """Return the deadline of a key, or None."""
        return self._deadlines.get(key)

    def add(self, key: bytes, deadline: float) -> None:
        """Set the deadline of a key."""
        self._deadlines.pop(key, None)
        if len(self._deadlines) >= self.limit:
            del self._deadlines[next(iter(self._deadlines))]
        self._deadlines[key] = deadline

    def remove(self, key: bytes) -> None:
        """Remove a key."""
        self._deadlines.pop(key, None)

    def expire(self, now: float) -> None:
        """Remove expired keys, oldest first, up to the first that is still valid."""
        while self._deadlines:
            key = next(iter(self._deadlines))
            if self._deadlines[key] > now:
                return
            del self._deadlines[key]


def _sweep(keys: list[bytes], expire: Callable[[bytes], bool]) -> Iterator[int]:
    for start in range(0, len(keys), SWEEP_BATCH_KEYS):
        yield sum(map(expire, keys[start : start + SWEEP_BATCH_KEYS]))
