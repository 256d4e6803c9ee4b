"""Track the probes of an agent's target that wait for a result."""

from ..messages import Answer, FlowAnswer, SendMessage

# How long the target may take to bounce a probe: many times the time of a bounce.
PROBE_TIMEOUT_SECONDS = 1.0


class PendingProbes:
    """The unanswered probes of one target; times are in seconds."""

    def __init__(self) -> None:
        self._pending: dict[bytes, tuple[float, str]] = {}

    def start(self, key: bytes, requester: str, now: float) -> None:
        """Record that the agent at ``requester`` waits for the result of a probe."""
        self._pending[key] = (now, requester)

    def is_pending(self, key: bytes) -> bool:
        """Return whether an agent waits for the result of a flow's probe."""
        return key in self._pending

    def resolve(self, key: bytes, is_held: bool) -> SendMessage:
        """Remove a probe and return the answer to the agent that waits for it."""
        _, requester = self._pending.pop(key)
        answer = Answer.KEPT if is_held else Answer.NOT_HELD
        return SendMessage(requester, FlowAnswer(key, answer))

    def expire(self, now: float) -> None:
        """Drop probes that the target has not answered in time."""
        for key, (started_at, _) in tuple(self._pending.items()):
            if now - started_at >= PROBE_TIMEOUT_SECONDS:
                del self._pending[key]
