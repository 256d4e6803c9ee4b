"""Follow the requests inside the flows of one target, as far as packets show them."""

from collections.abc import Callable
from dataclasses import dataclass

from .segment import SEQUENCE_SPACE, Segment

RESPONSE_MARK = b"HTTP/1.1 "
REQUEST_ID_MARK = b"\r\nX-Request-Id: "
# Weight of the newest request in the mean time of service. No unit. Source: the mean
# of about the last ten.
MEAN_WEIGHT = 0.1
# A request without an answer for this long does not count as load any more: its caller
# has given it up, or it was lost. Unit: seconds. Source: the longest time in a slow
# target behind its full queue, with a margin.
UNANSWERED_SECONDS = 2.5
HALF_SPACE = SEQUENCE_SPACE // 2


@dataclass(slots=True)
class Exchange:
    """Hold the request that is in progress in one flow; times are in seconds."""

    next_inward: int | None = None
    started_at: float = 0.0
    active: bool = False
    waited: bool = False
    name: str = ""


class RequestLog:
    """Count the requests at work or waiting in one target."""

    def __init__(
        self,
        tell: Callable[..., None],
        observe: Callable[[float], None] = lambda seconds: None,
    ) -> None:
        self._observe = observe
        self.active = 0
        self.finished = 0
        # Mean time of service of requests that found a free slot, in seconds: what
        # waited tells of the queue and not of the target.
        self.mean_seconds = 0.0
        self.slots = 1
        self._tell_event = tell
        self._exchanges: dict[bytes, Exchange] = {}

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
        if exchange.active:
            return
        exchange.active = True
        exchange.waited = self.active >= self.slots
        exchange.started_at = now
        exchange.name = find_request_id(segment.data)
        self.active += 1
        self._tell_event(
            "request_started",
            request=exchange.name,
            flow=segment.key.hex(),
            active=self.active,
        )

    def note_outward(self, segment: Segment, now: float) -> None:
        """Take a packet of the target; an answer's first one ends the wait."""
        if not segment.data.startswith(RESPONSE_MARK):
            return
        exchange = self._exchanges.get(segment.key)
        if exchange is None or not exchange.active:
            return
        exchange.active = False
        self.active -= 1
        self.finished += 1
        taken = now - exchange.started_at
        self._observe(taken)
        if not exchange.waited:
            self._learn(taken)
        self._tell_event(
            "request_answered",
            request=exchange.name,
            flow=segment.key.hex(),
            status=segment.data[9:12].decode("ascii", "replace"),
            took_ms=int(1000 * taken),
            active=self.active,
        )

    def _learn(self, taken: float) -> None:
        if self.mean_seconds:
            self.mean_seconds += MEAN_WEIGHT * (taken - self.mean_seconds)
        else:
            self.mean_seconds = taken

    def sweep(self, now: float) -> None:
        """Leave out requests that were never answered."""
        for key, exchange in tuple(self._exchanges.items()):
            if exchange.active and now - exchange.started_at >= UNANSWERED_SECONDS:
                self._tell_event(
                    "request_unanswered", request=exchange.name, flow=key.hex()
                )
                self._give_up(key)

    def _give_up(self, key: bytes) -> None:
        exchange = self._exchanges.get(key)
        if exchange is not None and exchange.active:
            exchange.active = False
            self.active -= 1

    def end(self, key: bytes) -> None:
        """Forget a flow."""
        exchange = self._exchanges.pop(key, None)
        if exchange is not None and exchange.active:
            self.active -= 1

    def clear(self) -> None:
        """Forget all flows."""
        self._exchanges.clear()
        self.active = 0


def find_request_id(data: bytes) -> str:
    """Return the id that a request's first packet carries, or nothing."""
    _, found, rest = data.partition(REQUEST_ID_MARK)
    if not found:
        return ""
    return rest.partition(b"\r")[0].decode("ascii", "replace")
