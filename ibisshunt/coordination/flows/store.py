"""Hold the flows an agent owns and the pointers to flows that others own."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final

from ...protocol.packet import FIN, RST

# A flow that its caller has reset is forgotten after this many seconds, unless more
# packets show that the reset was not a valid one.
RESET_LINGER_SECONDS: Final = 10
MAX_OWNERS: Final = 4096
SWEEP_STEP: Final = 512

# A flow's state is one small integer: its deadline in whole seconds and two bits.
_CLOSING: Final = 1
_ADOPTED: Final = 2
_DEADLINE_SHIFT: Final = 2
_OWNER_BITS: Final = 13
_OWNER_MASK: Final = (1 << _OWNER_BITS) - 1
_GUESSED: Final = 1 << _OWNER_BITS
_POINTER_SHIFT: Final = _OWNER_BITS + 1
_LOW_MASK: Final = (1 << _POINTER_SHIFT) - 1


class FlowStore:
    """Hold a bounded number of flows with the deadline of each.

    The values are shared integers, because a million flows have only a few hundred
    deadlines: a flow costs its key and its place in the map.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.closing = 0
        self._states: dict[bytes, int] = {}
        self._shared: dict[int, int] = {}

    def __len__(self) -> int:
        """Count all flows, closing ones too."""
        return len(self._states)

    def __contains__(self, key: bytes) -> bool:
        """Tell whether the flow is held."""
        return key in self._states

    def has_room(self) -> bool:
        """Tell whether one more flow fits."""
        return len(self._states) < self.limit

    def is_closing(self, key: bytes) -> bool:
        """Tell whether the caller has ended its side of the flow."""
        return bool(self._states.get(key, 0) & _CLOSING)

    def is_adopted(self, key: bytes) -> bool:
        """Tell whether only one packet has shown a flow that was adopted.

        The target may not hold it: its host has reset it then, and no more packets
        come.
        """
        return bool(self._states.get(key, 0) & _ADOPTED)

    def adopt(self, key: bytes, now: float, idle_seconds: float) -> None:
        """Add a flow that nobody else claims."""
        self.touch(key, 0, now, idle_seconds)
        self._states[key] |= _ADOPTED

    def touch(self, key: bytes, bits: int, now: float, idle_seconds: float) -> None:
        """Add a flow, or note a packet of it.

        After the caller's FIN a flow stays until it has been idle: the target may go
        on sending, and answers do not pass by here.
        """
        old = self._states.get(key, 0)
        closing = old & _CLOSING
        if bits & (FIN | RST) and not closing:
            closing = _CLOSING
            self.closing += 1
        if bits & RST:
            idle_seconds = min(idle_seconds, RESET_LINGER_SECONDS)
        state = int(now + idle_seconds + 1) << _DEADLINE_SHIFT | closing
        if state != old:
            self._states[key] = self._shared.setdefault(state, state)

    def remove(self, key: bytes) -> None:
        """Forget a flow."""
        self.closing -= self._states.pop(key, 0) & _CLOSING

    def list_keys(self) -> list[bytes]:
        """Return the keys of all flows."""
        return list(self._states)

    def sweep(self, now: float) -> Iterator[int]:
        """Forget what has expired; yield how many, after each step.

        The caller lets other tasks run between two steps.
        """
        floor = int(now) << _DEADLINE_SHIFT
        self._shared = {state: state for state in self._shared if state >= floor}
        yield from _sweep(self.list_keys(), lambda key: self._expire(key, now))

    def _expire(self, key: bytes, now: float) -> bool:
        state = self._states.get(key)
        if state is None or state >> _DEADLINE_SHIFT > now:
            return False
        self.remove(key)
        return True


@dataclass(frozen=True, slots=True)
class Owner:
    """Describe a target that owns flows, as a peer told it at a revision."""

    incarnation: int
    place: int
    pair: tuple[str, int]
    revision: int


class PointerStore:
    """Remember for a bounded number of flows which other target owns them.

    A lost pointer costs hops and no flow: the packet walks the chain instead.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._states: dict[bytes, int] = {}
        self._owners: list[Owner] = []
        self._indexes: dict[int, int] = {}

    def __len__(self) -> int:
        """Count the pointers."""
        return len(self._states)

    def find(self, key: bytes) -> Owner | None:
        """Return the owner of a flow, if a pointer tells it."""
        state = self._states.get(key)
        return None if state is None else self._owners[state & _OWNER_MASK]

    def list_keys(self, place: int) -> list[bytes]:
        """Return the keys of the flows of a place, as its own agent told them.

        A guess is left out: whom a flow was passed to may have passed it on.
        """
        wanted = {
            index for index, owner in enumerate(self._owners) if owner.place == place
        }
        if not wanted:
            return []
        return [
            key for key, state in self._states.items() if state & _LOW_MASK in wanted
        ]

    def add(
        self, key: bytes, owner: Owner, deadline: float, guessed: bool = False
    ) -> None:
        """Remember the owner until a deadline in seconds.

        ``guessed`` tells that the owner itself has not said so.
        """
        low = self._find_index(owner) | (_GUESSED if guessed else 0)
        if key not in self._states and len(self._states) >= self.limit:
            del self._states[next(iter(self._states))]
        self._states[key] = int(deadline + 1) << _POINTER_SHIFT | low

    def refresh(self, key: bytes, deadline: float) -> None:
        """Keep a pointer until a later deadline."""
        low = self._states[key] & _LOW_MASK
        self._states[key] = int(deadline + 1) << _POINTER_SHIFT | low

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
        """Forget a pointer."""
        self._states.pop(key, None)

    def sweep(self, now: float) -> Iterator[int]:
        """Forget what has expired; yield how many, after each step."""
        yield from _sweep(list(self._states), lambda key: self._expire(key, now))

    def _expire(self, key: bytes, now: float) -> bool:
        state = self._states.get(key)
        if state is None or state >> _POINTER_SHIFT > now:
            return False
        del self._states[key]
        return True


class DeadlineStore:
    """Hold a bounded number of keys with a deadline each; the oldest make room."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._deadlines: dict[bytes, float] = {}

    def __len__(self) -> int:
        """Count the keys."""
        return len(self._deadlines)

    def find(self, key: bytes) -> float | None:
        """Return the deadline of a key."""
        return self._deadlines.get(key)

    def add(self, key: bytes, deadline: float) -> None:
        """Set the deadline of a key."""
        self._deadlines.pop(key, None)
        if len(self._deadlines) >= self.limit:
            del self._deadlines[next(iter(self._deadlines))]
        self._deadlines[key] = deadline

    def remove(self, key: bytes) -> None:
        """Forget a key."""
        self._deadlines.pop(key, None)

    def drop_before(self, now: float) -> None:
        """Forget the keys at the front whose deadline has passed."""
        while self._deadlines:
            key = next(iter(self._deadlines))
            if self._deadlines[key] > now:
                return
            del self._deadlines[key]


def _sweep(keys: list[bytes], expire: Callable[[bytes], bool]) -> Iterator[int]:
    for start in range(0, len(keys), SWEEP_STEP):
        yield sum(map(expire, keys[start : start + SWEEP_STEP]))
