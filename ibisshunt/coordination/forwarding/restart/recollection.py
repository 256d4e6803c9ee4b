"""Ask control hosts, after a start, for the open flows of the former run."""

from collections.abc import Iterable, Iterator

import msgspec

from ..messages import Recall, Recalled
from .archive import WINDOW
from .checkpoint import ENTRIES_PER_MESSAGE, FlowEntry, unpack_entries

# How soon a control host that has not answered is asked again.
AGAIN_SECONDS = 0.25
# How long after its start a balancer asks.
ASKING_SECONDS = 10.0


class _Progress(msgspec.Struct):
    next: int = 0
    ask_at: float = float("-inf")
    # Up to which entry the last question asked.
    asked_to: int = 0
    is_heard: bool = False
    is_done: bool = False


class Recollection:
    """Own the questions of one balancer that starts at ``now``, in seconds."""

    def __init__(self, now: float) -> None:
        self._until = now + ASKING_SECONDS
        self._progress: dict[str, _Progress] = {}

    def is_over(self, now: float) -> bool:
        """Tell whether nobody is asked any more."""
        return now >= self._until

    def ask(
        self, control: Iterable[str], now: float, heard: Iterable[str] = ()
    ) -> Iterator[tuple[str, Recall]]:
        """Yield whom to ask what now.

        What was asked before a control host was back is lost: one that is ``heard``
        for the first time is asked at once, since callers of ended flows wait for it.
        """
        for address in heard:
            progress = self._progress.setdefault(address, _Progress())
            if not progress.is_heard:
                progress.is_heard = True
                progress.ask_at = float("-inf")
        for address in control:
            progress = self._progress.setdefault(address, _Progress())
            if progress.is_done or now < progress.ask_at:
                continue
            progress.ask_at = now + AGAIN_SECONDS
            progress.asked_to = progress.next + WINDOW * ENTRIES_PER_MESSAGE
            yield address, Recall(progress.next)

    def take(self, address: str, message: Recalled, now: float) -> list[FlowEntry]:
        """Take an answer; return its entries, none when it was asked for again.

        Answers come in order but for lost ones, which are asked for again.
        """
        progress = self._progress.get(address)
        if progress is None or progress.is_done or message.first != progress.next:
            return []
        entries = list(unpack_entries(message.entries))
        progress.next += len(entries)
        progress.is_done = progress.next >= message.total
        is_window_over = progress.next >= progress.asked_to
        progress.ask_at = now if is_window_over else now + AGAIN_SECONDS
        return entries
