"""Detect by pings, within a fraction of a second, that suspected agents do not respond.

Hosts fail, or are cut off, with requests of callers that wait for a second or less.
Statuses come every 0.4 s and one of them may be late, so missing statuses prove nothing
for 1.7 s. A caller's retransmission after 0.2 s is the first sign of a failure; pings
confirm it within another 0.2 s. All suspected agents are pinged in the same rounds,
together with a few other agents for reference. When the reference agents do not answer
either, this balancer itself has lost its connection; when they answer late, as on a
congested link, the suspected agents get as much more time. The failure of a whole
failure domain is confirmed in about the time that one host takes.
"""

from collections.abc import Iterable

import msgspec

from ..messages import Ping

# Shortest interval between two rounds: many round trips, and three rounds fit between
# a caller's retransmission and the next one.
PING_INTERVAL_SECONDS = 0.04
# Most pings a second of one balancer, to spare its own link; rounds are less frequent
# when more agents are suspected.
PINGS_PER_SECOND = 300
# How long after a reference agent's answer to the same round a suspected agent's may
# come: a host that has used up its CPU quota may pause for a tenth of a second.
ANSWER_MARGIN_SECONDS = 0.1
# Rounds that a reference agent answered and the suspected agent did not, for it to
# count as unresponsive: three losses in a row are rare on any link that still works.
MISSED_ROUNDS = 3
# Agents that are suspected at once; a round of all of them is over well within the
# interval between a caller's retransmissions.
MAX_SUSPECTS = 20
# Reference agents that are pinged in each round; one of them may have failed as well.
REFERENCE_AGENTS = 2
# Time after which a suspicion ends without a result: from then on missing statuses
# show a failure.
SUSPICION_TIMEOUT_SECONDS = 1.0


class _Suspicion(msgspec.Struct):
    """The suspicion of one agent, with its reference agents; times are in seconds."""

    reference_agents: tuple[str, ...]
    expires_at: float


class _PingRound(msgspec.Struct):
    """One round of pings; times are in seconds.

    ``reference_answered_at`` is when the first reference agent answered.
    """

    suspects: frozenset[str]
    sent_at: float
    reference_answered_at: float = float("inf")


class SuspicionResult(msgspec.Struct, frozen=True):
    """Result of a suspicion: the agent is unresponsive, or nothing was proved."""

    address: str
    is_unresponsive: bool


class SuspectPinger:
    """Ping the suspected agents of one balancer; times are in seconds of its clock."""

    def __init__(self) -> None:
        self._suspicions: dict[str, _Suspicion] = {}
        self._rounds: dict[int, _PingRound] = {}
        self._sequence = 0
        self._next_ping_at = float("-inf")

    def __len__(self) -> int:
        return len(self._suspicions)

    def has_capacity(self) -> bool:
        """Return whether another agent may be suspected now."""
        return len(self._suspicions) < MAX_SUSPECTS

    def add_suspect(
        self, address: str, reference_agents: Iterable[str], now: float
    ) -> None:
        """Suspect an agent; ping ``reference_agents`` with it."""
        suspicion = _Suspicion(tuple(reference_agents), now + SUSPICION_TIMEOUT_SECONDS)
        self._suspicions.setdefault(address, suspicion)

    def clear_suspect(self, address: str) -> None:
        """Stop suspecting an agent that has sent a status or a pong, or was judged."""
        if self._suspicions.pop(address, None) is None:
            return
        for ping_round in self._rounds.values():
            ping_round.suspects -= {address}
        if not self._suspicions:
            self._rounds.clear()

    def handle_pong(self, address: str, sequence: int, now: float) -> bool:
        """Handle an answer; return whether it ends the suspicion of its sender."""
        ping_round = self._rounds.get(sequence)
        if ping_round is None:
            return False
        if address in self._suspicions:
            self.clear_suspect(address)
            return True
        ping_round.reference_answered_at = min(ping_round.reference_answered_at, now)
        return False

    def make_pings(self, now: float) -> list[tuple[str, Ping]]:
        """Return the pings of the next round with their receivers, if it is due."""
        if not self._suspicions or now < self._next_ping_at:
            return []
        suspects = frozenset(
            address
            for address, suspicion in self._suspicions.items()
            if now <= suspicion.expires_at
        )
        if not suspects:
            return []
        receivers = (*suspects, *self._list_reference_agents())
        self._next_ping_at = now + max(
            PING_INTERVAL_SECONDS, len(receivers) / PINGS_PER_SECOND
        )
        self._sequence += 1
        self._rounds[self._sequence] = _PingRound(suspects, now)
        message = Ping(self._sequence)
        return [(peer, message) for peer in receivers]

    def pop_verdicts(self, now: float) -> list[SuspicionResult]:
        """Return the suspicions that end now, and remove them."""
        verdicts = [
            SuspicionResult(address, self._is_unresponsive(address, now))
            for address, suspicion in self._suspicions.items()
            if self._is_unresponsive(address, now)
            or now >= suspicion.expires_at + ANSWER_MARGIN_SECONDS
        ]
        for verdict in verdicts:
            self.clear_suspect(verdict.address)
        self._expire_rounds(now)
        return verdicts

    def _list_reference_agents(self) -> list[str]:
        """Return the reference agents of the next round, none of them suspected.

        They change from round to round: two that have failed themselves would prove
        nothing.
        """
        candidates = list(
            dict.fromkeys(
                address
                for suspicion in self._suspicions.values()
                for address in suspicion.reference_agents
                if address not in self._suspicions
            )
        )
        first = REFERENCE_AGENTS * self._sequence % max(1, len(candidates))
        return (candidates[first:] + candidates[:first])[:REFERENCE_AGENTS]

    def _is_unresponsive(self, address: str, now: float) -> bool:
        missed = sum(
            address in ping_round.suspects
            and now - ping_round.reference_answered_at >= ANSWER_MARGIN_SECONDS
            for ping_round in self._rounds.values()
        )
        return missed >= MISSED_ROUNDS

    def _expire_rounds(self, now: float) -> None:
        """Drop the rounds that no suspicion depends on any more."""
        for sequence, ping_round in tuple(self._rounds.items()):
            if (
                now - ping_round.sent_at
                >= SUSPICION_TIMEOUT_SECONDS + 2 * ANSWER_MARGIN_SECONDS
            ):
                del self._rounds[sequence]
