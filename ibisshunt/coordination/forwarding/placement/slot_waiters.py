"""Track the balancers that wait for a slot of one target."""

# How long a balancer whose flow was rejected is notified of the next free slot: as long
# as it may queue the flow.
MAX_WAIT_SECONDS = 1.0
# How long a slot is reserved for a notified balancer to send a flow.
RESERVATION_SECONDS = 0.03


class SlotWaiters:
    """Balancers to notify of free slots, in order; times are in seconds.

    A status goes to all balancers and arrives too late: the slot would stay empty for
    as long as ten requests take, while flows are queued at the balancers.
    """

    def __init__(self) -> None:
        self._waiting: dict[str, float] = {}
        self._reserved: dict[str, float] = {}

    def add(self, balancer: str, now: float) -> None:
        """Add a balancer whose flow was rejected for overload."""
        self._waiting[balancer] = now

    def record_arrival(self, balancer: str) -> None:
        """Record that a balancer has sent a flow, notified or on its own."""
        self._reserved.pop(balancer, None)

    def pop_next(self, free_slots: int, now: float) -> str | None:
        """Return the balancer to notify of one of ``free_slots``, or None.

        With no free slot, one more request may still be queued at the target. A
        notified balancer is about to send a flow: if others were notified of the same
        slot, theirs would only be rejected.
        """
        for balancer, notified_at in tuple(self._reserved.items()):
            if now - notified_at >= RESERVATION_SECONDS:
                del self._reserved[balancer]
        if free_slots < len(self._reserved):
            return None
        while self._waiting:
            balancer = next(iter(self._waiting))
            if now - self._waiting.pop(balancer) < MAX_WAIT_SECONDS:
                self._reserved[balancer] = now
                return balancer
        return None
