"""Keep the balancers that wait for a slot of one target."""

# How long a balancer whose flow was sent back is told of the next free slot: as long as
# it may keep the flow.
WAITING_SECONDS = 1.0
# How long a balancer that was told may take to send a flow.
PROMISED_SECONDS = 0.03


class WaitingLine:
    """Own the order in which balancers are told of slots; times are in seconds.

    A status goes to all and comes too late: the slot would stay empty for as long as
    ten requests take, while flows wait at the balancers.
    """

    def __init__(self) -> None:
        self._waiting: dict[str, float] = {}
        self._promised: dict[str, float] = {}

    def join(self, balancer: str, now: float) -> None:
        """Note a balancer whose flow was sent back for the load."""
        self._waiting[balancer] = now

    def note_offer(self, balancer: str) -> None:
        """Note that a balancer has sent a flow, after it was told or on its own."""
        self._promised.pop(balancer, None)

    def take(self, room: int, now: float) -> str | None:
        """Return whom to tell when so many requests fewer than slots are there.

        With no room one more may still wait for a slot. A balancer that was told is
        about to send a flow: telling others of the same slot would only have theirs
        sent back.
        """
        for balancer, at in tuple(self._promised.items()):
            if now - at >= PROMISED_SECONDS:
                del self._promised[balancer]
        if room < len(self._promised):
            return None
        while self._waiting:
            balancer = next(iter(self._waiting))
            if now - self._waiting.pop(balancer) < WAITING_SECONDS:
                self._promised[balancer] = now
                return balancer
        return None
