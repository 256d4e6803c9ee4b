"""Decide, for one attempt, whether both holders of its key let it run."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from .holders import Pair, View, find_pair
from .outcomes import Answer, Attempt, Claim, ClaimReply, Verdict

# How long an attempt waits for holders that are silent or take over, in seconds.
PATIENCE_SECONDS: Final = 1.0
FIRST_PAUSE_SECONDS: Final = 0.01
LONGEST_PAUSE_SECONDS: Final = 0.25


class Ending(StrEnum):
    """Name how a claim ends."""

    GRANTED = "granted"
    REPLAY = "replay"
    MISMATCH = "mismatch"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Ask:
    """Send the claim to a holder and hand the reply to ``take_reply``."""

    holder: int
    claim: Claim


@dataclass(frozen=True, slots=True)
class Pause:
    """Call ``resume`` at the deadline, or sooner when the view changes."""

    deadline: float


@dataclass(frozen=True, slots=True)
class End:
    """Finish; ``release`` names the holders that may hold this attempt."""

    ending: Ending
    reason: str
    answer: Answer | None = None
    release: tuple[int, ...] = ()


Step = Ask | Pause | End


class Claimant:
    """Ask the first holder of a key, then the second.

    The order decides a race: who gets the first holder goes on, the other waits. The
    claim is granted when both holders grant it under one view, and only then may the
    target see a byte. ``deadline`` is that of the request.
    """

    def __init__(
        self,
        key: bytes,
        fingerprint: bytes,
        attempt: Attempt,
        view: View,
        deadline: float,
        now: float,
    ) -> None:
        self.key = key
        self.fingerprint = fingerprint
        self.attempt = attempt
        self.asked: set[int] = set()
        self._view = view
        self._pair: Pair | None = None
        self._words = 0
        self._full = False
        self._deadline = deadline
        self._patience_deadline = min(deadline, now + PATIENCE_SECONDS)
        self._pause = FIRST_PAUSE_SECONDS

    def start(self) -> Step:
        """Return the first step."""
        self._words = 0
        self._full = False
        self._pair = find_pair(self._view, self.key)
        if self._pair is None:
            return self._finish(Ending.UNKNOWN, "no two failure domains hold the key")
        return self._ask()

    def resume(self, view: View, now: float) -> Step:
        """Ask again after a pause, under the view that is now in force."""
        if now >= self._deadline:
            return self._finish(Ending.UNKNOWN, "deadline passed")
        if view.digest != self._view.digest:
            self._view = view
            return self.start()
        return self._ask() if self._pair else self.start()

    def take_reply(self, reply: ClaimReply, now: float) -> Step:
        """Return the next step after a holder's reply."""
        if reply.verdict in (Verdict.GRANTED, Verdict.FULL):
            return self._go_on(reply.verdict)
        if reply.verdict == Verdict.DONE:
            return self._finish(Ending.REPLAY, "done before", reply.answer)
        if reply.verdict == Verdict.UNKNOWN:
            return self._finish(Ending.UNKNOWN, "an earlier attempt may have run")
        if reply.verdict == Verdict.MISMATCH:
            return self._finish(Ending.MISMATCH, "key was used for another request")
        if reply.verdict == Verdict.RELEASED:
            return self._finish(Ending.UNKNOWN, "attempt was given up")
        return self._wait(reply.verdict, now)

    def _go_on(self, verdict: Verdict) -> Step:
        self._words += 1
        self._full |= verdict == Verdict.FULL
        self._pause = FIRST_PAUSE_SECONDS
        if self._words < 2:
            return self._ask()
        # "Not run" needs the word of both holders that they have never seen the key.
        # One alone may have been replaced without knowing: the key may have run under
        # a newer view that was copied from the other.
        if self._full:
            return self._finish(Ending.NOT_RUN, "holders are full")
        return End(Ending.GRANTED, "")

    def _ask(self) -> Step:
        assert self._pair is not None
        member = self._pair.second if self._words else self._pair.first
        self.asked.add(member.incarnation)
        claim = Claim(self.key, self.attempt, self.fingerprint, self._view.digest)
        return Ask(member.incarnation, claim)

    def _wait(self, verdict: Verdict, now: float) -> Step:
        # An attempt that holds the key may be running: its answer is awaited. A holder
        # that is silent or takes over gets less time, then the caller may come back.
        held = verdict == Verdict.HELD
        deadline = self._deadline if held else self._patience_deadline
        if now >= deadline:
            return self._finish(Ending.UNKNOWN, f"holder answered {verdict}")
        pause = self._pause
        self._pause = min(LONGEST_PAUSE_SECONDS, pause * 2)
        return Pause(min(deadline, now + pause))

    def _finish(
        self, ending: Ending, reason: str, answer: Answer | None = None
    ) -> Step:
        return End(ending, reason, answer, tuple(sorted(self.asked)))
