"""Track the requests inside the flows of one target by the packets of the flows."""

from collections.abc import Callable

import msgspec

from ..segment import SEQUENCE_SPACE, Segment

RESPONSE_PREFIX = b"HTTP/1.1 "
REQUEST_ID_HEADER = b"\r\nX-Request-Id: "
# Weight of the newest request in the mean service time.
MEAN_WEIGHT = 0.1
# Weight of the newest answer in the failure share.
FAILURE_WEIGHT = 0.1
# Half-life of the failure share while nothing is answered, so that balancers try a
# target again that they have excluded for its failures.
FAILURE_HALF_LIFE_SECONDS = 2.0
FIRST_FAILURE_STATUS = 500
# Longest time for which a request without an answer counts as load: by then its caller
# has given up, or it was lost. A shorter timeout of the route applies first.
UNANSWERED_SECONDS = 2.5
# A request counts as dropped by its target once this many later requests per slot were
# answered: a target serves requests in turn.
OVERTAKEN_ROUNDS = 5
HALF_SEQUENCE_SPACE = SEQUENCE_SPACE // 2


class FlowRequest(msgspec.Struct):
    """The latest request of one flow; times are in seconds.

    ``next_sequence`` is the sequence number after the caller's newest data,
    ``was_queued`` tells that no slot was free when the request arrived, and
    ``overtaken_count`` is how many later requests were answered before it.
    """

    next_sequence: int | None = None
    started_at: float = 0.0
    was_queued: bool = False
    overtaken_count: int = 0
    request_id: str = ""


class RequestTracker:
    """Count the requests that one target serves or queues.

    A target silently drops requests whose callers have given up. If these stayed
    in the count, nine of them would make an idle target look full, and flows would be
    rejected for seconds while its slot is free. So a request counts until its answer
    begins, its caller closes the flow, its route's timeout is over, or too many later
    requests have overtaken it.
    """

    def __init__(
        self,
        log_event: Callable[..., None],
        observe_latency: Callable[[float], None] = lambda seconds: None,
        find_timeout: Callable[[bytes], float] = lambda key: UNANSWERED_SECONDS,
    ) -> None:
        self._observe_latency = observe_latency
        self._find_timeout = find_timeout
        self.answered_count = 0
        # Mean service time of requests that found a free slot, in seconds: the time of
        # a queued request includes its wait.
        self.mean_service_seconds = 0.0
        self.slots = 1
        self._failure_share = 0.0
        self._failure_share_at = 0.0
        self._log_event = log_event
        self._flows: dict[bytes, FlowRequest] = {}
        # Requests in progress, in the order of their start.
        self._active: dict[bytes, FlowRequest] = {}

    @property
    def active_count(self) -> int:
        """Return how many requests are served or queued."""
        return len(self._active)

    def record_caller_segment(self, segment: Segment, now: float) -> None:
        """Record a packet that is delivered to the target; new data start a request.

        A caller that closes its flow has given up its request: no answer would ever
        arrive, and the request would count as load while the flow is remembered.
        """
        if segment.is_rst or segment.is_fin:
            self._abandon(segment.key)
        if not segment.data:
            return
        request = self._flows.get(segment.key)
        if request is None:
            request = self._flows[segment.key] = FlowRequest()
        end = (segment.sequence + len(segment.data)) % SEQUENCE_SPACE
        counted_up_to = request.next_sequence
        if (
            counted_up_to is not None
            and (end - counted_up_to) % SEQUENCE_SPACE - 1 >= HALF_SEQUENCE_SPACE
        ):
            # A retransmission of a request that was counted.
            return
        if counted_up_to == end:
            return
        request.next_sequence = end
        if segment.key in self._active:
            return
        request.was_queued = self.active_count >= self.slots
        request.started_at = now
        request.overtaken_count = 0
        request.request_id = find_request_id(segment.data)
        self._active[segment.key] = request
        self._log_event(
            "request_started",
            request=request.request_id,
            flow=segment.key.hex(),
            active=self.active_count,
        )

    def record_target_segment(self, segment: Segment, now: float) -> None:
        """Record a packet of the target; the first one of an answer ends a request."""
        if segment.is_rst:
            if segment.key in self._active:
                self._record_outcome(True, now)
            self.remove_flow(segment.key)
            return
        if not segment.data.startswith(RESPONSE_PREFIX):
            return
        request = self._active.pop(segment.key, None)
        if request is None:
            return
        self._drop_overtaken(request, now)
        self._record_outcome(parse_status(segment.data) >= FIRST_FAILURE_STATUS, now)
        self.answered_count += 1
        seconds = now - request.started_at
        self._observe_latency(seconds)
        if not request.was_queued:
            self._update_mean(seconds)
        self._log_event(
            "request_answered",
            request=request.request_id,
            flow=segment.key.hex(),
            status=parse_status(segment.data),
            took_ms=int(1000 * seconds),
            active=self.active_count,
        )

    def _update_mean(self, seconds: float) -> None:
        if self.mean_service_seconds:
            self.mean_service_seconds += MEAN_WEIGHT * (
                seconds - self.mean_service_seconds
            )
        else:
            self.mean_service_seconds = seconds

    def estimate_failure_share(self, now: float) -> float:
        """Return which share of the latest requests failed, 0 to 1."""
        return self._failure_share * 0.5 ** (
            (now - self._failure_share_at) / FAILURE_HALF_LIFE_SECONDS
        )

    def _record_outcome(self, failed: bool, now: float) -> None:
        share = self.estimate_failure_share(now)
        self._failure_share = share + FAILURE_WEIGHT * (failed - share)
        self._failure_share_at = now

    def _drop_overtaken(self, answered: FlowRequest, now: float) -> None:
        """Drop earlier requests that too many later ones have overtaken."""
        limit = OVERTAKEN_ROUNDS * self.slots
        for key, request in tuple(self._active.items()):
            if request.started_at >= answered.started_at:
                return
            request.overtaken_count += 1
            if request.overtaken_count >= limit:
                self._drop_unanswered(key, "overtaken", now)

    def expire(self, now: float) -> None:
        """Drop requests whose callers no longer wait."""
        for key, request in tuple(self._active.items()):
            limit = min(self._find_timeout(key), UNANSWERED_SECONDS)
            if now - request.started_at >= limit:
                self._drop_unanswered(key, "timeout", now)

    def _drop_unanswered(self, key: bytes, reason: str, now: float) -> None:
        request = self._active.pop(key)
        self._record_outcome(True, now)
        self._log_event(
            "request_unanswered",
            request=request.request_id,
            flow=key.hex(),
            reason=reason,
        )

    def _abandon(self, key: bytes) -> None:
        self._active.pop(key, None)

    def remove_flow(self, key: bytes) -> None:
        """Forget a flow."""
        self._flows.pop(key, None)
        self._active.pop(key, None)

    def reset_statistics(self) -> None:
        """Reset service time and failure share: another incarnation is running."""
        self.mean_service_seconds = 0.0
        self._failure_share = 0.0

    def clear(self) -> None:
        """Forget all flows."""
        self._flows.clear()
        self._active.clear()


def parse_status(data: bytes) -> int:
    """Return the HTTP status in the first packet of an answer, 0 when it has none."""
    digits = data[len(RESPONSE_PREFIX) : len(RESPONSE_PREFIX) + 3]
    return int(digits) if digits.isdigit() else 0


def find_request_id(data: bytes) -> str:
    """Return the request id in the first packet of a request, or an empty string."""
    _, found, rest = data.partition(REQUEST_ID_HEADER)
    if not found:
        return ""
    return rest.partition(b"\r")[0].decode("ascii", "replace")
