"""Tell soon, by pings, whether the agents of doubted targets have fallen silent.

The load it answers: hosts go dark, or are cut off, with requests of callers that wait
for a second or less. Statuses come each 0.4 s and one may be late, so that their
absence proves nothing for 1.7 s. A caller's repeat after 0.2 s is the first sign; pings
settle it in another 0.2 s. All that are doubted are pinged in the same rounds, and with
them a few other agents as controls: when their answers are missing as well it is this
balancer that hears nobody, and when they are late, as on a full link, the doubted ones
have as much more time. A failure domain that goes dark is proved silent in about the
time that one host takes.
"""

from collections.abc import Iterable

import msgspec

from ..messages import Ping

# The shortest time between two rounds: many round trips, and three rounds fit between a
# caller's repeat and the next one.
PING_SECONDS = 0.04
# Pings that one balancer sends at most, for its own link; rounds are rarer when more
# agents are doubted.
PINGS_PER_SECOND = 300
# How long after another agent's answer to the same round a doubted one's may come: a
# host that has used up its processor share may stand still for a tenth of a second.
MARGIN_SECONDS = 0.1
# Rounds that others answered and the doubted agent did not, for it to count as silent:
# three losses in a row are rare on any link that still works.
MISSED_ROUNDS = 3
# Agents that are doubted at once; a round of them all is over well within a caller's
# pause between repeats.
MAX_DOUBTS = 20
# Other agents that are pinged in each round; one may be silent as well.
CONTROLS = 2
# After how long a doubt ends without a result: the absence of statuses tells then.
DOUBT_SECONDS = 1.0


class _Doubt(msgspec.Struct):
    """Hold one doubted agent, and whom to ping with it; times are in seconds."""

    controls: tuple[str, ...]
    until: float


class _Round(msgspec.Struct):
    """Hold the pings of one number; ``answered_at`` is when the first control did."""

    doubted: frozenset[str]
    sent_at: float
    answered_at: float = float("inf")


class Verdict(msgspec.Struct, frozen=True):
    """Tell how a doubt ended: the agent is silent, or nothing was proved."""

    address: str
    is_silent: bool


class Suspicions:
    """Own the doubts of one balancer; times are in seconds of its clock."""

    def __init__(self) -> None:
        self._doubts: dict[str, _Doubt] = {}
        self._rounds: dict[int, _Round] = {}
        self._number = 0
        self._ping_at = float("-inf")

    def __len__(self) -> int:
        return len(self._doubts)

    def has_room(self) -> bool:
        """Tell whether another agent may be doubted now."""
        return len(self._doubts) < MAX_DOUBTS

    def begin(self, address: str, controls: Iterable[str], now: float) -> None:
        """Doubt an agent; ``controls`` are others to ping with it."""
        doubt = _Doubt(tuple(controls), now + DOUBT_SECONDS)
        self._doubts.setdefault(address, doubt)

    def end(self, address: str) -> None:
        """Doubt an agent no more: it was heard, or has said that it pauses."""
        if self._doubts.pop(address, None) is None:
            return
        for found in self._rounds.values():
            found.doubted -= {address}
        if not self._doubts:
            self._rounds.clear()

    def take_pong(self, address: str, number: int, now: float) -> bool:
        """Take an answer; return whether it ends the doubt of its sender."""
        found = self._rounds.get(number)
        if found is None:
            return False
        if address in self._doubts:
            self.end(address)
            return True
        found.answered_at = min(found.answered_at, now)
        return False

    def ping(self, now: float) -> list[tuple[str, Ping]]:
        """Return whom to ping now."""
        if not self._doubts or now < self._ping_at:
            return []
        doubted = frozenset(
            address for address, doubt in self._doubts.items() if now <= doubt.until
        )
        if not doubted:
            return []
        pinged = (*doubted, *self._list_controls())
        self._ping_at = now + max(PING_SECONDS, len(pinged) / PINGS_PER_SECOND)
        self._number += 1
        self._rounds[self._number] = _Round(doubted, now)
        message = Ping(self._number)
        return [(peer, message) for peer in pinged]

    def judge(self, now: float) -> list[Verdict]:
        """Return the doubts that have ended just now."""
        verdicts = [
            Verdict(address, self._is_proved(address, now))
            for address, doubt in self._doubts.items()
            if self._is_proved(address, now) or now >= doubt.until + MARGIN_SECONDS
        ]
        for verdict in verdicts:
            self.end(verdict.address)
        self._forget(now)
        return verdicts

    def _list_controls(self) -> list[str]:
        """Return the agents to ping with the doubted ones, none of them doubted.

        Others in each round: two that are silent themselves would prove nothing.
        """
        wanted = list(
            dict.fromkeys(
                address
                for doubt in self._doubts.values()
                for address in doubt.controls
                if address not in self._doubts
            )
        )
        first = CONTROLS * self._number % max(1, len(wanted))
        return (wanted[first:] + wanted[:first])[:CONTROLS]

    def _is_proved(self, address: str, now: float) -> bool:
        missed = sum(
            address in found.doubted and now - found.answered_at >= MARGIN_SECONDS
            for found in self._rounds.values()
        )
        return missed >= MISSED_ROUNDS

    def _forget(self, now: float) -> None:
        """Drop the rounds that no doubt rests on any more."""
        for number, found in tuple(self._rounds.items()):
            if now - found.sent_at >= DOUBT_SECONDS + 2 * MARGIN_SECONDS:
                del self._rounds[number]
