"""Remember, at an agent, which flows its target is probed for, and by whom."""

from ..messages import Answer, Send, Told

# How long a probe may take to bounce: many times what a target takes to send a packet
# back.
PROBED_SECONDS = 1.0


class ProbedFlows:
    """Own the probes of one target that nothing has settled; times are in seconds."""

    def __init__(self) -> None:
        self._open: dict[bytes, tuple[float, str]] = {}

    def begin(self, key: bytes, origin: str, now: float) -> None:
        """Note that the agent at ``origin`` waits for what the target does."""
        self._open[key] = (now, origin)

    def is_open(self, key: bytes) -> bool:
        """Tell whether somebody waits for a word about a flow."""
        return key in self._open

    def settle(self, key: bytes, is_held: bool) -> Send:
        """Return the word for who waits."""
        _, origin = self._open.pop(key)
        answer = Answer.KEPT if is_held else Answer.NOT_HELD
        return Send(origin, Told(key, answer))

    def forget_old(self, now: float) -> None:
        """Forget probes that nothing came of."""
        for key, (at, _) in tuple(self._open.items()):
            if now - at >= PROBED_SECONDS:
                del self._open[key]
