"""Gather, at one agent, what other agents answer to a balancer's question.

The load it answers: after an outage every caller goes on with a flow that has ended.
When each agent answers the balancer itself, the answers about all these flows fill its
thin link and its processor, and new flows come to nothing meanwhile. Agents have
neither a thin link nor many questions each.
"""

from collections import Counter
from collections.abc import Iterable

import msgspec

from ..addresses import pack_addresses
from ..messages import Answer, Gathered, Send, Told

# How long answers are waited for before those that are there go to the balancer; below
# the pause after which it asks again.
GATHER_SECONDS = 0.02
# How long an answer that is late is still sent on.
LATE_SECONDS = 1.0
# Answers that no other agent's answer can make void: the balancer gets them at once.
FINAL = (Answer.HELD, Answer.KEPT)
# Number of a message that brings single answers and not a whole round.
NO_ROUND = 0


class Gathering(msgspec.Struct):
    """Hold the answers to one question; times are in seconds."""

    balancer: str
    number: int
    asked: tuple[str, ...]
    began: float
    answers: dict[str, int] = msgspec.field(default_factory=dict)
    is_sent: bool = False

    def is_due(self, now: float) -> bool:
        """Tell whether what is there has to go to the balancer."""
        return not self.is_sent and now - self.began >= GATHER_SECONDS

    def is_over(self, now: float) -> bool:
        """Tell whether nothing more can come of it."""
        is_whole = self.is_sent and len(self.answers) == len(self.asked)
        return is_whole or now - self.began >= LATE_SECONDS

    def send(self, key: bytes) -> Send:
        """Return the message with all answers that are there."""
        self.is_sent = True
        silent = (address for address in self.asked if address not in self.answers)
        answers = {**self.answers, **dict.fromkeys(silent, int(Answer.SILENT))}
        return Send(self.balancer, make_gathered(key, self.number, answers))


class Gatherings:
    """Own the questions that one agent has spread for balancers."""

    def __init__(self) -> None:
        self._open: dict[bytes, list[Gathering]] = {}

    def __len__(self) -> int:
        return len(self._open)

    def begin(
        self, balancer: str, number: int, key: bytes, asked: Iterable[str], now: float
    ) -> None:
        """Wait for the answers of ``asked`` about a flow."""
        found = Gathering(balancer, number, tuple(asked), now)
        if found.asked:
            self._open.setdefault(key, []).append(found)

    def take(self, address: str, told: Told, now: float) -> list[Send]:
        """Take an agent's answer; return what goes to balancers at once."""
        sent: list[Send] = []
        for found in self._open.get(told.key, ()):
            if address not in found.asked:
                continue
            found.answers[address] = told.answer
            if not found.is_sent and len(found.answers) == len(found.asked):
                sent.append(found.send(told.key))
            elif found.is_sent or told.answer in FINAL:
                single = {address: told.answer}
                message = make_gathered(told.key, NO_ROUND, single)
                sent.append(Send(found.balancer, message))
        self._forget(told.key, now)
        return sent

    def sweep(self, now: float) -> list[Send]:
        """Return what is due though answers are missing; call each 10 ms or so."""
        sent: list[Send] = []
        for key, gatherings in tuple(self._open.items()):
            sent += [found.send(key) for found in gatherings if found.is_due(now)]
            self._forget(key, now)
        return sent

    def _forget(self, key: bytes, now: float) -> None:
        left = [found for found in self._open.get(key, ()) if not found.is_over(now)]
        if left:
            self._open[key] = left
        else:
            self._open.pop(key, None)


def make_gathered(key: bytes, number: int, answers: dict[str, int]) -> Gathered:
    """Return the answers in few bytes: the most frequent one names nobody."""
    rest = Counter(answers.values()).most_common(1)[0][0]
    if number == NO_ROUND:
        # Nobody is left to whom the rest could apply.
        rest = Answer.SILENT
    others = sorted(set(answers.values()) - {rest})
    told = tuple(
        (
            answer,
            pack_addresses(who for who, found in answers.items() if found == answer),
        )
        for answer in others
    )
    return Gathered(key, number, int(rest), told)
