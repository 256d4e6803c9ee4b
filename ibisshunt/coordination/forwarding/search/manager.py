"""Search for the holders of the flows that a balancer does not know."""

from ..addresses import pack_addresses
from ..messages import (
    AggregatedAnswers,
    Answer,
    Deliver,
    FlowQuery,
    LocationQuery,
    Probe,
    RelayRequest,
    ResetFlow,
    SendMessage,
)
from ..placement.target import Target
from ..routes import compute_service_tag
from ..segment import Segment
from ..state import BalancerState
from .search import CAUSE_UNKNOWN_FLOW, FlowSearch, SearchCause, start_search

# How long the balancers of the same failure domain have to answer before agents are
# queried.
PEER_ANSWER_SECONDS = 0.012
# How long a probed target has to bounce a packet that it does not hold: longer than
# answers are aggregated.
PROBE_TIMEOUT_SECONDS = 0.05
# How long a search goes on while agents are silent: longer than it takes for one to
# count as lost, so that the caller gets its reset without another retransmission.
SEARCH_TIMEOUT_SECONDS = 4.0
MAX_SEARCHES = 20_000
# Random draws of a relay agent before all agents are tried in order.
MAX_RELAY_DRAWS = 8
# How long after its start a balancer lets agents probe without a query first: most
# flows that ended in a power loss of the fleet are used once more within this time.
STARTUP_SECONDS = 5.0

Action = SendMessage | ResetFlow


def make_delivery(address: str, service: str, segment: Segment) -> SendMessage:
    """Return the message that delivers a packet of an open flow through an agent."""
    return SendMessage(address, Deliver(compute_service_tag(service), segment.packet))


class SearchManager:
    """Run the searches of one balancer.

    Times are in seconds of the balancer's clock; it starts at ``now``.
    """

    def __init__(self, state: BalancerState, now: float) -> None:
        self._searches: dict[bytes, FlowSearch] = {}
        self._state = state
        self._target_table = state.target_table
        self._counters = state.counters
        self._startup_until = now + STARTUP_SECONDS
        # Number of the last round of queries; 0 stands for none.
        self._last_round_id = 0

    def __len__(self) -> int:
        return len(self._searches)

    def is_running(self, key: bytes) -> bool:
        """Return whether a search for the flow's holder is running."""
        return key in self._searches

    def cancel(self, key: bytes) -> Segment | None:
        """End a search; return the last packet of its flow."""
        search = self._searches.pop(key, None)
        return None if search is None else search.last_segment

    def add_agent(self, address: str, service: str) -> None:
        """Query at once an agent that was unknown or silent until now."""
        for search in self._searches.values():
            search.add_agent(address, service)

    def start(
        self,
        segment: Segment,
        possible_holders: list[Target],
        peers: tuple[str, ...],
        excluded: frozenset[str],
        now: float,
        may_retry: bool = False,
        cause: SearchCause = CAUSE_UNKNOWN_FLOW,
    ) -> list[Action]:
        """Start a search: query ``peers``, then the agents of ``possible_holders``.

        Peers are skipped if ``excluded`` names a target. If a search of the flow is
        running, the packet is only queued.
        """
        if segment.is_rst:
            return []
        search = self._searches.get(segment.key)
        if search is not None:
            search.queue_packet(segment)
            return []
        if len(self._searches) >= MAX_SEARCHES:
            return []
        self._counters.searched += 1
        search = start_search(
            segment, possible_holders, excluded, now, may_retry, cause
        )
        self._searches[segment.key] = search
        if peers and not excluded:
            search.query_not_before = now + PEER_ANSWER_SECONDS
            return [SendMessage(peer, LocationQuery(segment.key)) for peer in peers]
        return self._advance_search(segment.key, search, now)

    def handle_answer(
        self, address: str, key: bytes, answer: int, now: float
    ) -> list[Action]:
        """Handle an answer about the flow at one address; NOT_HELD is final."""
        search = self._searches.get(key)
        if search is None:
            return []
        search.record_answer(address, answer)
        return self._advance_search(key, search, now)

    def handle_aggregated_answers(
        self, message: AggregatedAnswers, now: float
    ) -> list[Action]:
        """Handle the answers of a round of agents."""
        search = self._searches.get(message.key)
        if search is None:
            return []
        search.record_aggregated(message)
        return self._advance_search(message.key, search, now)

    def advance(self, now: float) -> list[Action]:
        """Query again, probe or give up in each search that is due."""
        actions: list[Action] = []
        for key, search in tuple(self._searches.items()):
            if now >= search.next_check_at:
                actions += self._advance_search(key, search, now)
        return actions

    def _advance_search(
        self, key: bytes, search: FlowSearch, now: float
    ) -> list[Action]:
        actions = self._decide(key, search, now)
        search.schedule_check(now, PROBE_TIMEOUT_SECONDS)
        return actions

    def _decide(self, key: bytes, search: FlowSearch, now: float) -> list[Action]:
        holder = search.find_holder(now, PROBE_TIMEOUT_SECONDS)
        if holder:
            return self._finish(key, search, holder, now)
        if queried := search.next_query_batch(now):
            return self._query(search, queried, now)
        is_learning = self._target_table.is_learning(now)
        is_waiting = is_learning or search.awaits_answers(
            self._target_table.targets, now
        )
        if not is_waiting and (
            probe_groups := search.next_probe_batch(now, PROBE_TIMEOUT_SECONDS)
        ):
            return self._probe(search, probe_groups, now)
        if is_waiting or search.has_undecided():
            cannot_probe = not is_waiting and not search.has_packet
            if cannot_probe or now >= search.started_at + SEARCH_TIMEOUT_SECONDS:
                self._give_up(key, search, now)
            return []
        del self._searches[key]
        self._counters.reset += 1
        self._state.log_event(
            "flow_reset",
            flow=key.hex(),
            reason="held_by_nobody",
            **search.describe(now),
        )
        return [ResetFlow(search.last_segment, "held_by_nobody")]

    def _give_up(self, key: bytes, search: FlowSearch, now: float) -> None:
        """End a search without proof; the flow stays at its expected target.

        If it were dropped, the caller's next packet would start another search.
        """
        del self._searches[key]
        unanswered = search.list_unanswered()
        self._state.log_event(
            "flow_not_found",
            flow=key.hex(),
            silent=len(unanswered),
            first=",".join(unanswered[:3]) or "-",
            learning=self._target_table.is_learning(now),
            **search.describe(now),
        )
        target = self._target_table.targets.get(search.cause.expected_target)
        if target is not None and search.is_undecided(target.address):
            self._state.record_found_flow(search.last_segment, target, now)

    def _query(
        self, search: FlowSearch, queried: tuple[str, ...], now: float
    ) -> list[Action]:
        """Query agents, or let them probe at once.

        A balancer that starts together with the whole fleet gets packets of hundreds of
        flows that no agent knows. Each agent would answer MAYBE and be asked to probe:
        two more messages for each agent and flow. As for a later probe, no agent may be
        silent.
        """
        may_probe_at_once = (
            search.query_count == 1 and search.has_packet and now < self._startup_until
        )
        if (
            may_probe_at_once
            and not self._target_table.is_learning(now)
            and not self._is_any_agent_silent(now)
        ):
            search.is_probed_without_query = True
            return self._probe(search, search.group_by_service(queried), now)
        query = FlowQuery(search.key, search.last_segment.acknowledgement)
        return self._relay_query(search, queried, query, now)

    def _is_any_agent_silent(self, now: float) -> bool:
        return any(
            target.is_silent(now) for target in self._target_table.targets.values()
        )

    def _probe(
        self, search: FlowSearch, probe_groups: dict[int, tuple[str, ...]], now: float
    ) -> list[Action]:
        packet = search.queued[0].packet
        actions: list[Action] = []
        for tag, addresses in probe_groups.items():
            actions += self._relay_query(search, addresses, Probe(tag, packet), now)
        return actions

    def _relay_query(
        self,
        search: FlowSearch,
        addresses: tuple[str, ...],
        query: FlowQuery | Probe,
        now: float,
    ) -> list[Action]:
        """Send one query to many agents through one of them, which aggregates answers.

        Sent to each agent from here, the queries about many lost flows would saturate
        a low-bandwidth link: no new flow would get through, callers would retransmit,
        and each retransmission would start another query.
        """
        relay = self._choose_relay(now)
        if relay is None:
            return []
        self._last_round_id += 1
        search.unanswered_rounds[self._last_round_id] = addresses
        message = RelayRequest(pack_addresses(addresses), query, self._last_round_id)
        return [SendMessage(relay.address, message)]

    def _choose_relay(self, now: float) -> Target | None:
        """Return a random agent that can relay, else any, or None without agents."""
        targets = list(self._target_table.targets.values())
        if not targets:
            return None
        for _ in range(MAX_RELAY_DRAWS):
            candidate = targets[int(self._state.random_fraction() * len(targets))]
            if candidate.can_relay(now):
                return candidate
        return next((target for target in targets if target.can_relay(now)), candidate)

    def _finish(
        self, key: bytes, search: FlowSearch, holder: str, now: float
    ) -> list[Action]:
        target = self._target_table.targets.get(holder)
        if target is None:
            search.answers[holder] = Answer.NOT_HELD
            return []
        del self._searches[key]
        self._counters.found += 1
        self._state.log_event("flow_found", flow=key.hex(), peer=holder)
        self._state.record_found_flow(search.last_segment, target, now)
        service = target.status.service
        undelivered = search.list_undelivered(holder)
        return [make_delivery(holder, service, queued) for queued in undelivered]
