"""Aggregate, at one agent, the answers of other agents to a balancer's query.

After an outage every caller sends packets of flows that have ended. If each agent
answered the balancer directly, the answers about all these flows would saturate its
low-bandwidth link and its CPU, and new flows would time out. Agents have neither such
links nor many queries each.
"""

from collections import Counter
from collections.abc import Iterable

import msgspec

from ..addresses import pack_addresses
from ..messages import AggregatedAnswers, Answer, FlowAnswer, SendMessage

# How long to wait for all answers before the balancer gets those that have arrived.
# Must be below the interval at which a balancer repeats its query.
AGGREGATION_SECONDS = 0.02
# How long answers that arrive after the aggregated message are still forwarded.
LATE_ANSWER_SECONDS = 1.0
# Answers that settle the search whatever other agents answer; forwarded at once.
FINAL_ANSWERS = (Answer.HELD, Answer.KEPT)
# Round number of a message that carries single answers instead of a whole round.
NO_ROUND = 0


class Aggregation(msgspec.Struct):
    """The answers to one relayed query; times are in seconds."""

    balancer: str
    round_id: int
    queried: tuple[str, ...]
    started_at: float
    answers: dict[str, int] = msgspec.field(default_factory=dict)
    is_sent: bool = False

    def is_due(self, now: float) -> bool:
        """Return whether the answers so far have to be sent to the balancer."""
        return not self.is_sent and now - self.started_at >= AGGREGATION_SECONDS

    def is_finished(self, now: float) -> bool:
        """Return whether no further answer is expected or accepted."""
        is_complete = self.is_sent and len(self.answers) == len(self.queried)
        return is_complete or now - self.started_at >= LATE_ANSWER_SECONDS

    def flush(self, key: bytes) -> SendMessage:
        """Return the message with all answers so far; missing ones count as SILENT."""
        self.is_sent = True
        unanswered = (
            address for address in self.queried if address not in self.answers
        )
        answers = {**self.answers, **dict.fromkeys(unanswered, int(Answer.SILENT))}
        return SendMessage(self.balancer, make_aggregated(key, self.round_id, answers))


class AnswerAggregator:
    """The queries that one agent has relayed for balancers."""

    def __init__(self) -> None:
        self._pending: dict[bytes, list[Aggregation]] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def start(
        self,
        balancer: str,
        round_id: int,
        key: bytes,
        queried: Iterable[str],
        now: float,
    ) -> None:
        """Start to collect the answers of the ``queried`` agents about a flow."""
        aggregation = Aggregation(balancer, round_id, tuple(queried), now)
        if aggregation.queried:
            self._pending.setdefault(key, []).append(aggregation)

    def add_answer(
        self, address: str, answer: FlowAnswer, now: float
    ) -> list[SendMessage]:
        """Add an agent's answer; return the messages to send at once."""
        messages: list[SendMessage] = []
        for aggregation in self._pending.get(answer.key, ()):
            if address not in aggregation.queried:
                continue
            aggregation.answers[address] = answer.answer
            if not aggregation.is_sent and len(aggregation.answers) == len(
                aggregation.queried
            ):
                messages.append(aggregation.flush(answer.key))
            elif aggregation.is_sent or answer.answer in FINAL_ANSWERS:
                single = {address: answer.answer}
                message = make_aggregated(answer.key, NO_ROUND, single)
                messages.append(SendMessage(aggregation.balancer, message))
        self._discard_finished(answer.key, now)
        return messages

    def flush_due(self, now: float) -> list[SendMessage]:
        """Return the messages whose wait is over; call about every 10 ms."""
        messages: list[SendMessage] = []
        for key, aggregations in tuple(self._pending.items()):
            messages += [item.flush(key) for item in aggregations if item.is_due(now)]
            self._discard_finished(key, now)
        return messages

    def _discard_finished(self, key: bytes, now: float) -> None:
        remaining = [
            item for item in self._pending.get(key, ()) if not item.is_finished(now)
        ]
        if remaining:
            self._pending[key] = remaining
        else:
            self._pending.pop(key, None)


def make_aggregated(
    key: bytes, round_id: int, answers: dict[str, int]
) -> AggregatedAnswers:
    """Return a compact message: the most frequent answer lists no addresses."""
    default_answer = Counter(answers.values()).most_common(1)[0][0]
    if round_id == NO_ROUND:
        # Without a round there are no agents to which a default answer applies.
        default_answer = Answer.SILENT
    other_answers = sorted(set(answers.values()) - {default_answer})
    overrides = tuple(
        (
            answer,
            pack_addresses(
                agent
                for agent, agent_answer in answers.items()
                if agent_answer == answer
            ),
        )
        for answer in other_answers
    )
    return AggregatedAnswers(key, round_id, int(default_answer), overrides)
