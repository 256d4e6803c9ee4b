"""Find the target that holds a flow by asking the agents."""

from collections.abc import Iterable, Mapping
from enum import StrEnum

import msgspec

from ..addresses import unpack_addresses
from ..messages import Answer, Gathered, TargetState
from ..placing.placement import Target
from ..routes import make_tag
from ..segment import Segment

# Packets of one flow that wait for the answer: as many as an end has in flight.
MAX_HELD = 16
# How often a flow's targets are probed before the first that kept silent is believed:
# three datagrams in a row are not lost on any link that still works.
MAX_PROBES = 3
# How soon agents that have not answered are asked again; each time twice as long, so
# that questions about many flows leave room for their answers on a thin link.
FIRST_PAUSE_SECONDS = 0.06
# States in which a target holds no flows.
WITHOUT_FLOWS = (TargetState.GONE, TargetState.DEAD)
# The longest pause: shorter than the repeats that a caller still has time for.
LONGEST_PAUSE_SECONDS = 0.5
# How often a search is looked at when nothing has come: each look goes through all
# agents.
CHECK_SECONDS = 0.1


class Trigger(StrEnum):
    """Tell why a flow is looked for.

    PACKET: a packet came of a flow that is not known here. RETURNED: the target where
    it was believed to be sent its packet back. LOST: that target is lost. ENDED: that
    target has ended, or has fallen silent, and no packet has come.
    """

    PACKET = "packet"
    RETURNED = "returned"
    LOST = "lost"
    ENDED = "ended"


class Cause(msgspec.Struct, frozen=True):
    """Hold why a flow is looked for, and at which address it was believed to be."""

    trigger: Trigger = Trigger.PACKET
    believed: str = ""


UNKNOWN_FLOW = Cause()


class Search(msgspec.Struct):
    """Hold the packets of a flow that is looked for, and what agents answered.

    A flow that is only doubted has no packet: agents are asked, nobody is probed.

    ``tags`` gives the service tag of each agent that is asked, by address; ``relayed``
    who was asked in each round; ``unsettled`` are those that have not answered, or had
    not heard their target. ``due_at`` is when it has to be looked at again though
    no answer has come. ``may_repeat`` tells that the caller may send its request again
    on another flow, and is better off without agents that are silent. Times are in
    seconds.
    """

    last: Segment
    tags: dict[str, int]
    started_at: float
    may_repeat: bool = False
    held: list[Segment] = msgspec.field(default_factory=list)
    answers: dict[str, int] = msgspec.field(default_factory=dict)
    asked_at: float = float("-inf")
    agents_at: float = float("-inf")
    pause: float = FIRST_PAUSE_SECONDS
    rounds: int = 0
    probes: int = 0
    is_asked_by_probe: bool = False
    probed_at: float = float("-inf")
    relayed: dict[int, tuple[str, ...]] = msgspec.field(default_factory=dict)
    due_at: float = float("-inf")
    unsettled: dict[str, None] = msgspec.field(default_factory=dict)
    cause: Cause = UNKNOWN_FLOW

    def __post_init__(self) -> None:
        """Wait for all agents that are asked."""
        self.unsettled = dict.fromkeys(self.tags)

    def keep(self, segment: Segment) -> None:
        """Keep another packet of the flow."""
        self.last = segment
        if len(self.held) < MAX_HELD:
            self.held.append(segment)

    def add(self, address: str, service: str) -> None:
        """Ask an agent at once that was not known, or silent, until now."""
        self.tags.setdefault(address, make_tag(service))
        if address not in self.answers:
            self.unsettled[address] = None
            self.asked_at = self.due_at = float("-inf")

    def note(self, address: str, answer: int) -> None:
        """Take an agent's answer; a refusal is final."""
        if answer == Answer.SILENT or self.answers.get(address) == Answer.NOT_HELD:
            return
        self.answers[address] = answer
        if answer != Answer.UNHEARD:
            self.unsettled.pop(address, None)

    def take_gathered(self, message: Gathered) -> None:
        """Take the answers of a round, or single ones that came late."""
        answers = {
            address: answer
            for answer, packed in message.told
            for address in unpack_addresses(packed)
        }
        for address in self.relayed.pop(message.number, ()):
            answers.setdefault(address, message.rest)
        for address, answer in answers.items():
            self.note(address, answer)

    def plan(self, now: float, patience: float) -> None:
        """Note when to look at this search again."""
        self.due_at = now + CHECK_SECONDS
        if self.unsettled:
            ask_at = max(self.agents_at, self.asked_at + self.pause)
            self.due_at = min(self.due_at, ask_at)
        if now < self.probed_at + patience:
            self.due_at = min(self.due_at, self.probed_at + patience)

    def find_holder(self, now: float, patience: float) -> str | None:
        """Return who holds the flow, or who kept the packet it was probed with.

        Silence does not tell that a target has kept it whose agent has not heard it:
        a host that was started again without its target drew all dead flows, and
        their callers waited in vain.
        """
        for address, answer in self.answers.items():
            if answer in (Answer.HELD, Answer.KEPT):
                return address
        if not self.probes or now < self.probed_at + patience:
            return None
        kept = [
            address for address, found in self.answers.items() if found == Answer.MAYBE
        ]
        # At most one can hold it: while more are silent, probes were lost.
        if len(kept) == 1 or (kept and self.probes >= MAX_PROBES):
            return kept[0]
        return None

    def start_probe(self, now: float, patience: float) -> dict[int, tuple[str, ...]]:
        """Return whom to send the first packet, by service tag.

        Used when only targets themselves know, because their agents began after the
        flow may have. A target that does not hold it sends the packet back; at most one
        keeps it. Not to be called before all agents have answered that may hold the
        flow: strays at many targets while the right one is restarting would look like
        a flow that is sent astray.
        """
        if (
            not self.has_packet
            or self.probes >= MAX_PROBES
            or now < self.probed_at + patience
        ):
            return {}
        found = self.group(self._list_maybe())
        if found:
            self.probes += 1
            self.probed_at = now
        return found

    def list_left(self, holder: str) -> list[Segment]:
        """Return the packets that the holder has not got by a probe."""
        was_probed = bool(self.probes) or self.is_asked_by_probe
        if not was_probed or self.answers.get(holder) == Answer.HELD:
            return self.held
        return self.held[1:]

    def _list_maybe(self) -> list[str]:
        return [
            address
            for address, answer in self.answers.items()
            if answer in (Answer.MAYBE, Answer.UNHEARD)
        ]

    def ask(self, now: float) -> tuple[str, ...]:
        """Return the agents to ask, when it is time to."""
        ask_at = max(self.agents_at, self.asked_at + self.pause)
        if not self.unsettled or now < ask_at:
            return ()
        if self.asked_at > float("-inf"):
            self.pause = min(2 * self.pause, LONGEST_PAUSE_SECONDS)
        self.asked_at = now
        self.rounds += 1
        return tuple(self.unsettled)

    @property
    def has_packet(self) -> bool:
        """Tell whether a packet of the flow is there to probe targets with."""
        return bool(self.last.raw)

    @property
    def key(self) -> bytes:
        """Return the key of the flow."""
        return self.last.key

    def group(self, addresses: Iterable[str]) -> dict[int, tuple[str, ...]]:
        """Return agents by their service tag."""
        found: dict[int, tuple[str, ...]] = {}
        for address in addresses:
            tag = self.tags[address]
            found[tag] = (*found.get(tag, ()), address)
        return found

    def waits(self, targets: Mapping[str, Target], now: float) -> bool:
        """Tell whether a silent agent may still hold the flow.

        Only when it is lost, or has gone, does its flow end: a reset while the target
        lives would break an open flow. An agent whose target was dead all the time is
        asked, but not waited for when it falls silent: hosts are taken away that were
        powered on without a target.
        """
        for address in self.silent():
            target = targets.get(address)
            if target is None or target.status.state in WITHOUT_FLOWS:
                continue
            if not self._has_lost(target, now):
                return True
        return False

    def _has_lost(self, target: Target, now: float) -> bool:
        if self.may_repeat:
            return target.is_unreachable(now)
        return target.is_lost(now)

    def explain(self, now: float) -> dict[str, object]:
        """Return the fields of a log line on what was found out, and how."""
        believed = self.cause.believed
        answer = self.answers.get(believed)
        return {
            "trigger": self.cause.trigger,
            "believed": believed or "-",
            "answer": "-" if answer is None else Answer(answer).name,
            "asked": len(self.tags),
            "took_ms": int(1000 * (now - self.started_at)),
        }

    def may_be_at(self, address: str) -> bool:
        """Tell whether an agent could not say whether its target holds the flow."""
        return self.answers.get(address) == Answer.MAYBE

    def has_maybe(self) -> bool:
        """Tell whether a target may hold the flow whose agent does not know."""
        return bool(self._list_maybe())

    def silent(self) -> list[str]:
        """Return the agents that have not answered."""
        return [address for address in self.unsettled if address not in self.answers]


def start_search(
    segment: Segment,
    targets: list[Target],
    excluded: frozenset[str],
    now: float,
    may_repeat: bool = False,
    cause: Cause = UNKNOWN_FLOW,
) -> Search:
    """Return a search among the targets but the excluded."""
    tags = {
        target.address: make_tag(target.status.service)
        for target in targets
        if target.address not in excluded
    }
    answers = dict.fromkeys(excluded, int(Answer.NOT_HELD))
    held = [segment] if segment.raw else []
    return Search(segment, tags, now, may_repeat, held, answers, cause=cause)
