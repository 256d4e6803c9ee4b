"""Find the target that holds a flow by asking the agents."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from .messages import Answer, Ask, Send, TargetState
from .placement import Target
from .routes import make_tag
from .segment import Segment

# Packets of one flow that wait for the answer. Unit: packets. Source: an end has at
# most 16 packets in flight.
MAX_HELD = 16


@dataclass(slots=True)
class Search:
    """Hold the packets of a flow that is looked for, and what agents answered.

    ``tags`` gives the service tag of each agent that is asked, by address.
    """

    last: Segment
    tags: dict[str, int]
    started_at: float
    held: list[Segment] = field(default_factory=list)
    answers: dict[str, int] = field(default_factory=dict)
    asked_at: float = float("-inf")
    tried: str = ""
    tried_at: float = 0.0

    def keep(self, segment: Segment) -> None:
        """Keep another packet of the flow."""
        self.last = segment
        if len(self.held) < MAX_HELD:
            self.held.append(segment)

    def add(self, address: str, service: str) -> None:
        """Ask an agent too that was not known when the search began."""
        self.tags.setdefault(address, make_tag(service))
        self.asked_at = float("-inf")

    def find_holder(self) -> str | None:
        """Return who holds the flow, or who alone may, or None."""
        for address, answer in self.answers.items():
            if answer == Answer.HELD:
                return address
        if len(self.answers) < len(self.tags):
            return None
        for address, answer in self.answers.items():
            if answer == Answer.MAYBE:
                return address
        return None

    def ask(self, now: float, again: float) -> list[Send]:
        """Return the questions to send, when it is time to."""
        missing = [address for address in self.tags if address not in self.answers]
        if not missing or now < self.asked_at + again:
            return []
        self.asked_at = now
        key, number = self.last.key, self.last.acknowledgement
        return [
            Send(address, Ask(self.tags[address], key, number)) for address in missing
        ]

    def is_over(self, targets: Mapping[str, Target], now: float) -> bool:
        """Tell whether nobody holds the flow.

        An agent that is silent may hold it. Only when it is lost, or has gone, does
        its flow end: a reset while the target lives would break an open flow.
        """
        for address in self.silent():
            target = targets.get(address)
            if target is None or target.status.state == TargetState.GONE:
                continue
            if not target.is_lost(now):
                return False
        return True

    def silent(self) -> list[str]:
        """Return the agents that have not answered."""
        return [address for address in self.tags if address not in self.answers]


def start_search(
    segment: Segment, targets: list[Target], excluded: frozenset[str], now: float
) -> Search:
    """Return a search among the targets but the excluded."""
    tags = {
        target.address: make_tag(target.status.service)
        for target in targets
        if target.address not in excluded
    }
    return Search(segment, tags, now, [segment])
