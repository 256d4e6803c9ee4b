"""Follow the requests inside the flows of one target, as far as packets show them."""

from collections.abc import Callable

import msgspec

from ..segment import SEQUENCE_SPACE, Segment

RESPONSE_MARK = b"HTTP/1.1 "
REQUEST_ID_MARK = b"\r\nX-Request-Id: "
# Weight of the newest request in the mean time of service.
MEAN_WEIGHT = 0.1
# Weight of the newest answer in the share of failures.
FAILING_WEIGHT = 0.1
# In which time, in seconds, a share of failures halves when nothing is answered, so
# that a target that is left out is tried again.
FAILING_HALF_LIFE = 2.0
FIRST_FAILURE_STATUS = 500
# A request without an answer for this long does not count as load any more: its caller
# has given it up, or it was lost. A route's timeout goes first.
UNANSWERED_SECONDS = 2.5
# A request has been left out by its target once so many rounds of later ones were
# answered: a target takes requests in turn.
OVERTAKEN_ROUNDS = 5
HALF_SPACE = SEQUENCE_SPACE // 2


class Exchange(msgspec.Struct):
    """Hold the request that is in progress in one flow; times are in seconds."""

    next_inward: int | None = None
    started_at: float = 0.0
    waited: bool = False
    overtaken: int = 0
    name: str = ""


class RequestLog:
    """Count the requests at work or waiting in one target.

    A target drops requests whose callers have left, and tells nobody. Counted on, nine
    of them made an idle target look full: flows were refused for seconds while its slot
    was free. So a request counts until its answer begins, its caller ends the flow, its
    route's timeout is over, or later ones have overtaken it for too long.
    """

    def __init__(
        self,
        tell: Callable[..., None],
        observe: Callable[[float], None] = lambda seconds: None,
        find_timeout: Callable[[bytes], float] = lambda key: UNANSWERED_SECONDS,
    ) -> None:
        self._observe = observe
        self._find_timeout = find_timeout
        self.finished = 0
        # Mean time of service of requests that found a free slot, in seconds: what
        # waited tells of the queue and not of the target.
        self.mean_seconds = 0.0
        self.slots = 1
        self._failing = 0.0
        self._failing_at = 0.0
        self._tell_event = tell
        self._exchanges: dict[bytes, Exchange] = {}
        # Those in progress, in the order of their start.
        self._active: dict[bytes, Exchange] = {}

    @property
    def active(self) -> int:
        """Return how many requests are at work or waiting."""
        return len(self._active)

    def note_inward(self, segment: Segment, now: float) -> None:
        """Take a packet towards the target; new data begin a request.

        A caller that ends its flow has given up what it waited for: no answer would
        ever come, and the request would count as load for as long as the flow is
        remembered.
        """
        if segment.resets or segment.finishes:
            self._give_up(segment.key)
        if not segment.data:
            return
        exchange = self._exchanges.get(segment.key)
        if exchange is None:
            exchange = self._exchanges[segment.key] = Exchange()
        end = (segment.sequence + len(segment.data)) % SEQUENCE_SPACE
        known = exchange.next_inward
        if known is not None and (end - known) % SEQUENCE_SPACE - 1 >= HALF_SPACE:
            # A packet sent again; the request it belongs to was counted.
            return
        if known == end:
            return
        exchange.next_inward = end
        if segment.key in self._active:
            return
        exchange.waited = self.active >= self.slots
        exchange.started_at = now
        exchange.overtaken = 0
        exchange.name = find_request_id(segment.data)
        self._active[segment.key] = exchange
        self._tell_event(
            "request_started",
            request=exchange.name,
            flow=segment.key.hex(),
            active=self.active,
        )

    def note_outward(self, segment: Segment, now: float) -> None:
        """Take a packet of the target; an answer's first one ends the wait."""
        if segment.resets:
            if segment.key in self._active:
                self._note_outcome(True, now)
            self.end(segment.key)
            return
        if not segment.data.startswith(RESPONSE_MARK):
            return
        exchange = self._active.pop(segment.key, None)
        if exchange is None:
            return
        self._overtake(exchange, now)
        self._note_outcome(find_status(segment.data) >= FIRST_FAILURE_STATUS, now)
        self.finished += 1
        taken = now - exchange.started_at
        self._observe(taken)
        if not exchange.waited:
            self._learn(taken)
        self._tell_event(
            "request_answered",
            request=exchange.name,
            flow=segment.key.hex(),
            status=find_status(segment.data),
            took_ms=int(1000 * taken),
            active=self.active,
        )

    def _learn(self, taken: float) -> None:
        if self.mean_seconds:
            self.mean_seconds += MEAN_WEIGHT * (taken - self.mean_seconds)
        else:
            self.mean_seconds = taken

    def estimate_failing(self, now: float) -> float:
        """Return which share of the last requests failed, 0 to 1."""
        return self._failing * 0.5 ** ((now - self._failing_at) / FAILING_HALF_LIFE)

    def _note_outcome(self, failed: bool, now: float) -> None:
        share = self.estimate_failing(now)
        self._failing = share + FAILING_WEIGHT * (failed - share)
        self._failing_at = now

    def _overtake(self, answered: Exchange, now: float) -> None:
        """Leave out earlier requests that too many later ones have overtaken."""
        limit = OVERTAKEN_ROUNDS * self.slots
        for key, exchange in tuple(self._active.items()):
            if exchange.started_at >= answered.started_at:
                return
            exchange.overtaken += 1
            if exchange.overtaken >= limit:
                self._leave_out(key, "overtaken", now)

    def sweep(self, now: float) -> None:
        """Leave out requests whose callers do not wait any more."""
        for key, exchange in tuple(self._active.items()):
            limit = min(self._find_timeout(key), UNANSWERED_SECONDS)
            if now - exchange.started_at >= limit:
                self._leave_out(key, "timeout", now)

    def _leave_out(self, key: bytes, reason: str, now: float) -> None:
        exchange = self._active.pop(key)
        self._note_outcome(True, now)
        self._tell_event(
            "request_unanswered",
            request=exchange.name,
            flow=key.hex(),
            reason=reason,
        )

    def _give_up(self, key: bytes) -> None:
        self._active.pop(key, None)

    def end(self, key: bytes) -> None:
        """Forget a flow."""
        self._exchanges.pop(key, None)
        self._active.pop(key, None)

    def forget_target(self) -> None:
        """Forget how fast and how well the target answered: another one is there."""
        self.mean_seconds = 0.0
        self._failing = 0.0

    def clear(self) -> None:
        """Forget all flows."""
        self._exchanges.clear()
        self._active.clear()


def find_status(data: bytes) -> int:
    """Return the status of an answer's first packet, 0 when it has none."""
    digits = data[len(RESPONSE_MARK) : len(RESPONSE_MARK) + 3]
    return int(digits) if digits.isdigit() else 0


def find_request_id(data: bytes) -> str:
    """Return the id that a request's first packet carries, or nothing."""
    _, found, rest = data.partition(REQUEST_ID_MARK)
    if not found:
        return ""
    return rest.partition(b"\r")[0].decode("ascii", "replace")
