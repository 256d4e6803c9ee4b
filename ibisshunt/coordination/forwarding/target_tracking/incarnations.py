"""Distinguish the incarnations of an agent's target by its heartbeats."""

from enum import IntEnum
from zlib import crc32

import msgspec

# Incarnation id while no heartbeat has been received.
NO_INCARNATION = 0
# Most replaced incarnations that are remembered.
MAX_REPLACED = 64


class Heartbeat(msgspec.Struct, frozen=True):
    """A target's heartbeat; ``warmup_left_ms`` is the rest of its warm-up.

    ``sequence`` grows within one incarnation. ``start_time_ms`` is when the target
    started, in milliseconds of its own host's time of day, None when the heartbeat
    lacks it. That clock may be wrong, so it is compared only with earlier heartbeats of
    the same ``name``.
    """

    name: str
    service: str
    slots: int
    is_draining: bool
    warmup_left_ms: int
    sequence: int
    start_time_ms: int | None = None


class HeartbeatKind(IntEnum):
    """Kind of a heartbeat, compared with the ones received before.

    MISSING_START: it lacks the start time that this target has always sent, so another
    program sent it. STALE: overtaken by a newer heartbeat, or of an incarnation that
    has ended. CANDIDATE: of another incarnation than the current one. It may have
    replaced the current one, or its heartbeat was delayed and it ended long ago.
    NEW_INCARNATION: it is known that the current one has ended.
    """

    FIRST = 0
    CURRENT = 1
    NEW_INCARNATION = 2
    STALE = 3
    MISSING_START = 4
    CANDIDATE = 5


# Kinds of heartbeats that make their sender the current incarnation once accepted.
_NEW_CURRENT_KINDS = (
    HeartbeatKind.FIRST,
    HeartbeatKind.NEW_INCARNATION,
    HeartbeatKind.CANDIDATE,
)


class Incarnations:
    """The current incarnation of a target, the replaced ones and the ended ones.

    An incarnation has ended if a leave message or a later start time shows it. One that
    fell silent and was replaced may still be alive, and may become current again.

    ``incarnation_id`` stands for the current one in messages. It stays the same when
    the target starts to send its start time: another id would tell balancers that its
    flows have ended.
    """

    def __init__(self) -> None:
        self.current: Heartbeat | None = None
        self.incarnation_id = NO_INCARNATION
        self.has_current_ended = False
        self._ended: dict[str, int | None] = {}
        # The last heartbeats of the replaced incarnations.
        self._replaced: dict[str, Heartbeat] = {}

    def classify(self, heartbeat: Heartbeat) -> HeartbeatKind:
        """Compare a heartbeat with the ones received before; change nothing."""
        current = self.current
        if self._is_from_ended(heartbeat) or self._is_from_replaced(heartbeat):
            return HeartbeatKind.STALE
        if current is None:
            return HeartbeatKind.FIRST
        if self.has_current_ended:
            return HeartbeatKind.NEW_INCARNATION
        if current.name != heartbeat.name:
            return HeartbeatKind.CANDIDATE
        if heartbeat.start_time_ms is None and current.start_time_ms is not None:
            return HeartbeatKind.MISSING_START
        if (
            current.start_time_ms is not None
            and heartbeat.start_time_ms != current.start_time_ms
        ):
            return (
                HeartbeatKind.NEW_INCARNATION
                if heartbeat.start_time_ms > current.start_time_ms
                else HeartbeatKind.STALE
            )
        return (
            HeartbeatKind.STALE
            if heartbeat.sequence < current.sequence
            else HeartbeatKind.CURRENT
        )

    def accept(self, heartbeat: Heartbeat) -> None:
        """Record a heartbeat that is not stale, and the incarnation that it replaces.

        A CANDIDATE becomes the current incarnation.
        """
        kind = self.classify(heartbeat)
        if kind == HeartbeatKind.NEW_INCARNATION:
            self._record_end(self.current.name, self.current.start_time_ms)
        if kind == HeartbeatKind.CANDIDATE:
            self._record_replaced(self.current)
        if kind in _NEW_CURRENT_KINDS:
            self.incarnation_id = _compute_id(heartbeat)
        self._replaced.pop(heartbeat.name, None)
        self.has_current_ended = False
        self.current = heartbeat

    def record_leave(self, name: str, start_time_ms: int | None) -> bool:
        """Record a leave message; return whether the current incarnation has ended.

        A message with a later start time than the current incarnation's ends it too.
        """
        current = self.current
        if current is None or current.name != name:
            self._record_end(name, start_time_ms)
            return False
        if (
            start_time_ms is not None
            and current.start_time_ms is not None
            and start_time_ms < current.start_time_ms
        ):
            return False
        self._record_end(
            name, current.start_time_ms if start_time_ms is None else start_time_ms
        )
        self.has_current_ended = True
        return True

    def was_replaced(self, name: str) -> bool:
        """Return whether another incarnation has replaced this one, unproven."""
        return name in self._replaced

    def _record_replaced(self, heartbeat: Heartbeat) -> None:
        self._replaced[heartbeat.name] = heartbeat
        if len(self._replaced) > MAX_REPLACED:
            del self._replaced[next(iter(self._replaced))]

    def _is_from_replaced(self, heartbeat: Heartbeat) -> bool:
        replaced = self._replaced.get(heartbeat.name)
        return replaced is not None and is_overtaken(heartbeat, replaced)

    def _record_end(self, name: str, start_time_ms: int | None) -> None:
        recorded = self._ended.get(name)
        if recorded is not None and (start_time_ms is None or start_time_ms < recorded):
            return
        self._ended[name] = start_time_ms

    def _is_from_ended(self, heartbeat: Heartbeat) -> bool:
        if heartbeat.name not in self._ended:
            return False
        ended = self._ended[heartbeat.name]
        if heartbeat.start_time_ms is None:
            return True
        # The end of an incarnation without a start time says nothing about one that
        # has a start time.
        return ended is not None and heartbeat.start_time_ms <= ended


def is_overtaken(heartbeat: Heartbeat, known: Heartbeat) -> bool:
    """Return whether a heartbeat was sent no later than another of the same name."""
    if heartbeat.start_time_ms is None or known.start_time_ms is None:
        return heartbeat.sequence <= known.sequence
    started, known_started = heartbeat.start_time_ms, known.start_time_ms
    return (started, heartbeat.sequence) <= (known_started, known.sequence)


def _compute_id(heartbeat: Heartbeat) -> int:
    return crc32(f"{heartbeat.name} {heartbeat.start_time_ms}".encode()) or 1
