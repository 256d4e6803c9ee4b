"""Tell soon, by pings, whether the agent of a doubted target has fallen silent.

The load it answers: a host goes dark, or is cut off, with requests of callers that
wait for a second or less. Statuses come each 0.4 s and one may be late, so that their
absence proves nothing for 1.7 s. A caller's repeat after 0.2 s is the first sign; pings
settle it in another 0.2 s. Other agents are pinged with the doubted one: when their
answers are missing as well it is this balancer that hears nobody, and when they are
late, as on a full link, the doubted one has as much more time.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from .messages import Ping

# How often a doubted agent is pinged. Unit: seconds. Source: many round trips; three
# rounds fit between a caller's repeat and the next one.
PING_SECONDS = 0.04
# How long after another agent's answer to the same round the doubted one's may come.
# Unit: seconds. Source: a host that has used up its processor share may stand still for
# the rest of a tenth of a second.
MARGIN_SECONDS = 0.1
# Rounds that others answered and the doubted agent did not, for it to count as silent.
# Source: three losses in a row at 1% each way are 1e-5; at 10%, 0.7%.
MISSED_ROUNDS = 3
# Agents that are doubted at once. Source: four of them cost 300 pings of 40 bytes a
# second, a twentieth of a link of 2.2 Mbit/s; each takes a fifth of a second.
MAX_DOUBTS = 4
# Other agents that are pinged in each round. Source: one may be silent as well.
CONTROLS = 2
# Rounds after which a doubt ends without a result. Source: one second, after which
# the absence of statuses tells.
MAX_ROUNDS = 25


@dataclass(slots=True)
class _Doubt:
    """Hold the pings of one doubted agent; times are in seconds."""

    controls: tuple[str, ...]
    ping_at: float
    rounds: int = 0
    # When the first control answered, by the round's number.
    answered: dict[int, float] = field(default_factory=dict)

    def is_proved(self, now: float) -> bool:
        missed = sum(now - at >= MARGIN_SECONDS for at in self.answered.values())
        return missed >= MISSED_ROUNDS

    def is_over(self, now: float) -> bool:
        return self.rounds >= MAX_ROUNDS and now >= self.ping_at + MARGIN_SECONDS


@dataclass(frozen=True, slots=True)
class Verdict:
    """Tell how a doubt ended: the agent is silent, or nothing was proved."""

    address: str
    is_silent: bool


class Suspicions:
    """Own the doubts of one balancer; times are in seconds of its clock."""

    def __init__(self) -> None:
        self._doubts: dict[str, _Doubt] = {}
        # Which agent a round is about, by its number.
        self._rounds: dict[int, str] = {}
        self._number = 0

    def __len__(self) -> int:
        return len(self._doubts)

    def has_room(self) -> bool:
        """Tell whether another agent may be doubted now."""
        return len(self._doubts) < MAX_DOUBTS

    def begin(self, address: str, controls: Iterable[str], now: float) -> None:
        """Doubt an agent; ``controls`` are others to ping with it."""
        self._doubts.setdefault(address, _Doubt(tuple(controls), now))

    def end(self, address: str) -> None:
        """Doubt an agent no more: it was heard, or has said that it pauses."""
        if self._doubts.pop(address, None) is not None:
            self._rounds = {
                number: found
                for number, found in self._rounds.items()
                if found != address
            }

    def take_pong(self, address: str, number: int, now: float) -> bool:
        """Take an answer; return whether it ends the doubt of its sender."""
        doubted = self._rounds.get(number)
        if doubted is None:
            return False
        if doubted == address:
            self.end(address)
            return True
        self._doubts[doubted].answered.setdefault(number, now)
        return False

    def ping(self, now: float) -> list[tuple[str, Ping]]:
        """Return whom to ping now."""
        pings: list[tuple[str, Ping]] = []
        for address, doubt in self._doubts.items():
            if now < doubt.ping_at or doubt.rounds >= MAX_ROUNDS:
                continue
            doubt.ping_at = now + PING_SECONDS
            doubt.rounds += 1
            self._number += 1
            self._rounds[self._number] = address
            message = Ping(self._number)
            pings += [(peer, message) for peer in (address, *doubt.controls)]
        return pings

    def judge(self, now: float) -> list[Verdict]:
        """Return the doubts that have ended just now."""
        verdicts = [
            Verdict(address, doubt.is_proved(now))
            for address, doubt in self._doubts.items()
            if doubt.is_proved(now) or doubt.is_over(now)
        ]
        for verdict in verdicts:
            self.end(verdict.address)
        return verdicts
