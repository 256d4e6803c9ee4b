"""Look for the flows that a balancer does not know, packet by packet."""

from ..addresses import pack_addresses
from ..messages import (
    Answer,
    Ask,
    Deliver,
    Gathered,
    Probe,
    Relay,
    Reset,
    Seek,
    Send,
)
from ..placing.placement import Target
from ..routes import make_tag
from ..segment import Segment
from ..state import BalancerState
from .search import UNKNOWN_FLOW, Cause, Search, start_search

# How long the balancers of the same failure domain have to answer before agents are
# asked.
PEER_SECONDS = 0.012
# How long a probed target has to send a packet back that it does not hold: longer than
# answers are gathered.
PROBE_SECONDS = 0.05
# How long a flow is looked for while agents are silent: longer than it takes for one to
# count as lost, so that the caller is then told without having to repeat its packet.
SEARCH_SECONDS = 4.0
MAX_SEARCHES = 20_000
# How often an agent is drawn that spreads a question, before all are gone through.
RELAY_DRAWS = 8
# How long after its start a balancer lets agents probe without asking first: most flows
# that ended with a fleet's power are used once more within it.
YOUNG_SECONDS = 5.0

Action = Send | Reset


def deliver(address: str, service: str, segment: Segment) -> Send:
    """Return the message that hands a packet of an open flow to its agent."""
    return Send(address, Deliver(make_tag(service), segment.raw))


class Searches:
    """Own the searches of one balancer.

    Times are in seconds of the balancer's clock; it starts at ``now``.
    """

    def __init__(self, state: BalancerState, now: float) -> None:
        self._open: dict[bytes, Search] = {}
        self._state = state
        self._known = state.known
        self._counters = state.counters
        self._young_until = now + YOUNG_SECONDS
        # Number of the last round of questions; 0 is none.
        self._round = 0

    def __len__(self) -> int:
        return len(self._open)

    def is_open(self, key: bytes) -> bool:
        """Tell whether a flow is looked for."""
        return key in self._open

    def drop(self, key: bytes) -> Segment | None:
        """End a search; return the last packet of its flow."""
        search = self._open.pop(key, None)
        return None if search is None else search.last

    def add(self, address: str, service: str) -> None:
        """Ask an agent at once that was not known, or silent, until now."""
        for search in self._open.values():
            search.add(address, service)

    def begin(
        self,
        segment: Segment,
        holders: list[Target],
        peers: tuple[str, ...],
        excluded: frozenset[str],
        now: float,
        may_repeat: bool = False,
        cause: Cause = UNKNOWN_FLOW,
    ) -> list[Action]:
        """Look for a flow: ask balancers nearby, then the agents of ``holders``."""
        if segment.resets:
            return []
        search = self._open.get(segment.key)
        if search is not None:
            search.keep(segment)
            return []
        if len(self._open) >= MAX_SEARCHES:
            return []
        self._counters.searched += 1
        search = start_search(segment, holders, excluded, now, may_repeat, cause)
        self._open[segment.key] = search
        if peers and not excluded:
            search.agents_at = now + PEER_SECONDS
            return [Send(peer, Seek(segment.key)) for peer in peers]
        return self._go_on(segment.key, search, now)

    def answer(self, address: str, key: bytes, answer: int, now: float) -> list[Action]:
        """Take the word of who holds a flow, or not; a refusal is final."""
        search = self._open.get(key)
        if search is None:
            return []
        search.note(address, answer)
        return self._go_on(key, search, now)

    def take_gathered(self, message: Gathered, now: float) -> list[Action]:
        """Take what agents answered in a round."""
        search = self._open.get(message.key)
        if search is None:
            return []
        search.take_gathered(message)
        return self._go_on(message.key, search, now)

    def go_on_all(self, now: float) -> list[Action]:
        """Ask again, probe or give up where it is time to."""
        actions: list[Action] = []
        for key, search in tuple(self._open.items()):
            if now >= search.due_at:
                actions += self._go_on(key, search, now)
        return actions

    def _go_on(self, key: bytes, search: Search, now: float) -> list[Action]:
        actions = self._decide(key, search, now)
        search.plan(now, PROBE_SECONDS)
        return actions

    def _decide(self, key: bytes, search: Search, now: float) -> list[Action]:
        holder = search.find_holder(now, PROBE_SECONDS)
        if holder:
            return self._settle(key, search, holder, now)
        if asked := search.ask(now):
            return self._ask(search, asked, now)
        is_learning = self._known.is_learning(now)
        waits = is_learning or search.waits(self._known.targets, now)
        if not waits and (probed := search.start_probe(now, PROBE_SECONDS)):
            return self._probe(search, probed, now)
        if waits or search.has_maybe():
            cannot_probe = not waits and not search.has_packet
            if cannot_probe or now >= search.started_at + SEARCH_SECONDS:
                self._give_up(key, search, now)
            return []
        del self._open[key]
        self._counters.reset += 1
        self._state.tell_event(
            "flow_reset",
            flow=key.hex(),
            reason="held_by_nobody",
            **search.explain(now),
        )
        return [Reset(search.last, "held_by_nobody")]

    def _give_up(self, key: bytes, search: Search, now: float) -> None:
        """End a search that has proved nothing; the flow stays where it was believed.

        Forgotten, it would be looked for again with its caller's next packet.
        """
        del self._open[key]
        silent = search.silent()
        self._state.tell_event(
            "flow_not_found",
            flow=key.hex(),
            silent=len(silent),
            first=",".join(silent[:3]) or "-",
            learning=self._known.is_learning(now),
            **search.explain(now),
        )
        target = self._known.targets.get(search.cause.believed)
        if target is not None and search.may_be_at(target.address):
            self._state.note_found(search.last, target, now)

    def _ask(self, search: Search, asked: tuple[str, ...], now: float) -> list[Action]:
        """Ask agents, or let them probe at once.

        A balancer that starts with the whole fleet meets hundreds of flows that no
        agent knows: each would answer maybe and be told to probe, which is two
        messages more an agent and flow. As before a later probe, none may be silent.
        """
        is_fresh = search.rounds == 1 and search.has_packet and now < self._young_until
        if is_fresh and not self._known.is_learning(now) and not self._misses_any(now):
            search.is_asked_by_probe = True
            return self._probe(search, search.group(asked), now)
        question = Ask(search.key, search.last.acknowledgement)
        return self._spread(search, asked, question, now)

    def _misses_any(self, now: float) -> bool:
        return any(target.is_silent(now) for target in self._known.targets.values())

    def _probe(
        self, search: Search, probed: dict[int, tuple[str, ...]], now: float
    ) -> list[Action]:
        packet = search.held[0].raw
        actions: list[Action] = []
        for tag, addresses in probed.items():
            actions += self._spread(search, addresses, Probe(tag, packet), now)
        return actions

    def _spread(
        self, search: Search, to: tuple[str, ...], question: Ask | Probe, now: float
    ) -> list[Action]:
        """Send one question to many agents through one of them, which gathers answers.

        Sent to each agent from here, the questions about many lost flows keep a thin
        link full: no new flow gets through, callers repeat their packets, and each
        repeat asks again.
        """
        relay = self._draw_relay(now)
        if relay is None:
            return []
        self._round += 1
        search.relayed[self._round] = to
        message = Relay(pack_addresses(to), question, self._round)
        return [Send(relay.address, message)]

    def _draw_relay(self, now: float) -> Target | None:
        """Return an agent that was heard lately and stays, or else any, or None."""
        targets = list(self._known.targets.values())
        if not targets:
            return None
        for _ in range(RELAY_DRAWS):
            drawn = targets[int(self._state.draw() * len(targets))]
            if drawn.may_relay(now):
                return drawn
        return next((found for found in targets if found.may_relay(now)), drawn)

    def _settle(
        self, key: bytes, search: Search, holder: str, now: float
    ) -> list[Action]:
        target = self._known.targets.get(holder)
        if target is None:
            search.answers[holder] = Answer.NOT_HELD
            return []
        del self._open[key]
        self._counters.found += 1
        self._state.tell_event("flow_found", flow=key.hex(), peer=holder)
        self._state.note_found(search.last, target, now)
        service = target.status.service
        left = search.list_left(holder)
        return [deliver(holder, service, held) for held in left]
