"""Pass typed messages between tasks."""

from typing import Generic, TypeVar

from gevent.queue import Empty, Full, Queue

MessageT = TypeVar("MessageT")


class Mailbox(Generic[MessageT]):
    """Bounded queue of messages for one task.

    A full mailbox rejects messages: an unbounded one would hide a slow reader until
    the process runs out of memory.
    """

    def __init__(self, limit: int = 10_000) -> None:
        self._queue: Queue = Queue(maxsize=limit)

    def send(self, message: MessageT) -> bool:
        """Add a message without blocking; return False if the mailbox is full."""
        try:
            self._queue.put_nowait(message)
        except Full:
            return False
        return True

    def receive(self, timeout: float | None = None) -> MessageT | None:
        """Return the next message, or None after ``timeout`` seconds without one."""
        try:
            return self._queue.get(timeout=timeout)
        except Empty:
            return None

    def __len__(self) -> int:
        """Return the number of queued messages."""
        return self._queue.qsize()
