"""Track one search for the target that holds a flow."""

from collections.abc import Iterable, Mapping
from enum import StrEnum

import msgspec

from ..addresses import unpack_addresses
from ..messages import AggregatedAnswers, Answer, TargetState
from ..placement.target import Target
from ..routes import compute_service_tag
from ..segment import Segment

# Packets of one flow that are queued during a search: what one end has in flight.
MAX_QUEUED_PACKETS = 16
# After this many probes, the first target that bounced none is taken as the holder:
# three datagrams in a row are not lost on any link that still works.
MAX_PROBES = 3
# Delay before agents that have not answered are queried again. It doubles each time, so
# that queries about many flows leave room for their answers on a low-bandwidth link.
INITIAL_RETRY_SECONDS = 0.06
# States in which a target holds no flows.
STATES_WITHOUT_FLOWS = (TargetState.GONE, TargetState.DEAD)
# Upper limit of the retry delay: shorter than the interval of the last retransmissions
# that a caller still has time for.
MAX_RETRY_SECONDS = 0.5
# Interval of checks without new answers; each check goes through all agents.
CHECK_SECONDS = 0.1


class Trigger(StrEnum):
    """Event that started a search.

    PACKET: a packet arrived of a flow that is unknown here. RETURNED: the target that
    was expected to hold the flow rejected its packet. LOST: that target is lost.
    ENDED: that target has ended or fallen silent, and no packet has arrived.
    """

    PACKET = "packet"
    RETURNED = "returned"
    LOST = "lost"
    ENDED = "ended"


class SearchCause(msgspec.Struct, frozen=True):
    """Reason for a search, and the address where the flow was expected."""

    trigger: Trigger = Trigger.PACKET
    expected_target: str = ""


CAUSE_UNKNOWN_FLOW = SearchCause()


class FlowSearch(msgspec.Struct):
    """One search for a flow's holder: its queued packets and the agents' answers.

    A flow that is only suspected to be stale has no packet: its agents are queried, but
    no target is probed.

    ``service_tags`` gives the service tag of each queried agent by address;
    ``unanswered_rounds`` the agents queried in each round that has not been answered
    yet; ``pending_agents`` are queried again: they have not answered yet, or answered
    UNHEARD. Until ``query_not_before`` only the other balancers are asked.
    ``next_check_at`` is when to check the search again without a new answer.
    ``may_retry`` tells that the caller may send its request again on another flow, so
    that it need not wait for silent agents. Times are in seconds.
    """

    last_segment: Segment
    service_tags: dict[str, int]
    started_at: float
    may_retry: bool = False
    queued: list[Segment] = msgspec.field(default_factory=list)
    answers: dict[str, int] = msgspec.field(default_factory=dict)
    queried_at: float = float("-inf")
    query_not_before: float = float("-inf")
    retry_interval: float = INITIAL_RETRY_SECONDS
    query_count: int = 0
    probe_count: int = 0
    is_probed_without_query: bool = False
    probed_at: float = float("-inf")
    unanswered_rounds: dict[int, tuple[str, ...]] = msgspec.field(default_factory=dict)
    next_check_at: float = float("-inf")
    pending_agents: dict[str, None] = msgspec.field(default_factory=dict)
    cause: SearchCause = CAUSE_UNKNOWN_FLOW

    def __post_init__(self) -> None:
        """Mark all queried agents as pending."""
        self.pending_agents = dict.fromkeys(self.service_tags)

    def queue_packet(self, segment: Segment) -> None:
        """Queue another packet of the flow."""
        self.last_segment = segment
        if len(self.queued) < MAX_QUEUED_PACKETS:
            self.queued.append(segment)

    def add_agent(self, address: str, service: str) -> None:
        """Query at once an agent that was unknown or silent until now."""
        self.service_tags.setdefault(address, compute_service_tag(service))
        if address not in self.answers:
            self.pending_agents[address] = None
            self.queried_at = self.next_check_at = float("-inf")

    def record_answer(self, address: str, answer: int) -> None:
        """Record an agent's answer; NOT_HELD is final."""
        if answer == Answer.SILENT or self.answers.get(address) == Answer.NOT_HELD:
            return
        self.answers[address] = answer
        if answer != Answer.UNHEARD:
            self.pending_agents.pop(address, None)

    def record_aggregated(self, message: AggregatedAnswers) -> None:
        """Record the answers of a round, or single ones that arrived late."""
        answers = {
            address: answer
            for answer, packed in message.overrides
            for address in unpack_addresses(packed)
        }
        for address in self.unanswered_rounds.pop(message.round_id, ()):
            answers.setdefault(address, message.default_answer)
        for address, answer in answers.items():
            self.record_answer(address, answer)

    def schedule_check(self, now: float, probe_timeout: float) -> None:
        """Set when to check this search again."""
        self.next_check_at = now + CHECK_SECONDS
        if self.pending_agents:
            query_at = max(self.query_not_before, self.queried_at + self.retry_interval)
            self.next_check_at = min(self.next_check_at, query_at)
        if now < self.probed_at + probe_timeout:
            self.next_check_at = min(self.next_check_at, self.probed_at + probe_timeout)

    def find_holder(self, now: float, probe_timeout: float) -> str | None:
        """Return the address of the flow's holder, or None while it is not known.

        A target that did not bounce a probe counts as the holder only if its agent has
        received a heartbeat (MAYBE, not UNHEARD). Otherwise a host that restarted
        without its target would attract all dead flows, whose callers would wait in
        vain.
        """
        for address, answer in self.answers.items():
            if answer in (Answer.HELD, Answer.KEPT):
                return address
        if not self.probe_count or now < self.probed_at + probe_timeout:
            return None
        candidates = [
            address
            for address, answer in self.answers.items()
            if answer == Answer.MAYBE
        ]
        # At most one target can hold the flow: if several sent nothing, probes were
        # lost.
        if len(candidates) == 1 or (candidates and self.probe_count >= MAX_PROBES):
            return candidates[0]
        return None

    def next_probe_batch(
        self, now: float, probe_timeout: float
    ) -> dict[int, tuple[str, ...]]:
        """Return the agents to send the first packet to, by service tag.

        Used when an agent may have started after the flow did, so only the targets
        themselves can tell. A target that does not hold the flow bounces the packet; at
        most one target keeps it. Call it only after all agents that may hold the flow
        have answered: packets that reach many other targets while the right one
        restarts would look like misrouted flows.
        """
        if (
            not self.has_packet
            or self.probe_count >= MAX_PROBES
            or now < self.probed_at + probe_timeout
        ):
            return {}
        groups = self.group_by_service(self._list_undecided())
        if groups:
            self.probe_count += 1
            self.probed_at = now
        return groups

    def list_undelivered(self, holder: str) -> list[Segment]:
        """Return the queued packets that the holder did not get as a probe."""
        was_probed = bool(self.probe_count) or self.is_probed_without_query
        if not was_probed or self.answers.get(holder) == Answer.HELD:
            return self.queued
        return self.queued[1:]

    def _list_undecided(self) -> list[str]:
        return [
            address
            for address, answer in self.answers.items()
            if answer in (Answer.MAYBE, Answer.UNHEARD)
        ]

    def next_query_batch(self, now: float) -> tuple[str, ...]:
        """Return the agents to query now; empty until the next query is due."""
        query_at = max(self.query_not_before, self.queried_at + self.retry_interval)
        if not self.pending_agents or now < query_at:
            return ()
        if self.queried_at > float("-inf"):
            self.retry_interval = min(2 * self.retry_interval, MAX_RETRY_SECONDS)
        self.queried_at = now
        self.query_count += 1
        return tuple(self.pending_agents)

    @property
    def has_packet(self) -> bool:
        """Return whether a packet of the flow is available to probe targets with."""
        return bool(self.last_segment.packet)

    @property
    def key(self) -> bytes:
        """Return the key of the flow."""
        return self.last_segment.key

    def group_by_service(self, addresses: Iterable[str]) -> dict[int, tuple[str, ...]]:
        """Return the agents grouped by service tag."""
        groups: dict[int, tuple[str, ...]] = {}
        for address in addresses:
            tag = self.service_tags[address]
            groups[tag] = (*groups.get(tag, ()), address)
        return groups

    def awaits_answers(self, targets: Mapping[str, Target], now: float) -> bool:
        """Return whether an agent that has not answered may still hold the flow.

        A flow ends only when its agent is lost or gone: a reset while the target runs
        would break an open flow. An agent whose target was dead all the time is
        queried, but not waited for when it falls silent, since hosts without a target
        are powered off.
        """
        for address in self.list_unanswered():
            target = targets.get(address)
            if target is None or target.status.state in STATES_WITHOUT_FLOWS:
                continue
            if not self._is_given_up(target, now):
                return True
        return False

    def _is_given_up(self, target: Target, now: float) -> bool:
        if self.may_retry:
            return target.is_unreachable(now)
        return target.is_lost(now)

    def describe(self, now: float) -> dict[str, object]:
        """Return the fields of a log line about the result of the search."""
        expected = self.cause.expected_target
        answer = self.answers.get(expected)
        return {
            "trigger": self.cause.trigger,
            "believed": expected or "-",
            "answer": "-" if answer is None else Answer(answer).name,
            "asked": len(self.service_tags),
            "took_ms": int(1000 * (now - self.started_at)),
        }

    def is_undecided(self, address: str) -> bool:
        """Return whether an agent could not tell if its target holds the flow."""
        return self.answers.get(address) == Answer.MAYBE

    def has_undecided(self) -> bool:
        """Return whether a target may hold the flow although its agent cannot tell."""
        return bool(self._list_undecided())

    def list_unanswered(self) -> list[str]:
        """Return the agents that have not answered."""
        return [
            address for address in self.pending_agents if address not in self.answers
        ]


def start_search(
    segment: Segment,
    targets: list[Target],
    excluded: frozenset[str],
    now: float,
    may_retry: bool = False,
    cause: SearchCause = CAUSE_UNKNOWN_FLOW,
) -> FlowSearch:
    """Return a search among the targets without the ``excluded`` addresses."""
    service_tags = {
        target.address: compute_service_tag(target.status.service)
        for target in targets
        if target.address not in excluded
    }
    answers = dict.fromkeys(excluded, int(Answer.NOT_HELD))
    queued = [segment] if segment.packet else []
    return FlowSearch(
        segment, service_tags, now, may_retry, queued, answers, cause=cause
    )
