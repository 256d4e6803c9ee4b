"""Hold what one agent knows of its flows, its service and its peers."""

from dataclasses import dataclass, replace
from typing import Any, Final

from ...model.target import Target
from ...protocol.datagram import (
    PASSED,
    SEEKING,
    SOUGHT,
    DatagramKind,
    Header,
    PointerList,
    pack_pointers,
)
from ...protocol.packet import OPENS, TCP
from .actions import DELIVER, Action, ActionKind, Notice
from .callers import make_caller_check
from .hunting import PeerLoads
from .ranking import BUCKETS, find_bucket, identify_place
from .recall import PlaceMemory, Recall
from .store import DeadlineStore, FlowStore, Owner, PointerStore
from .table import ServiceTable

MAX_WAITING_KEYS: Final = 20_000
MAX_OUTBOX: Final = 10_000


@dataclass(frozen=True, slots=True)
class Arrival:
    """Describe a packet of a flow that the agent does not own.

    ``now`` is monotonic seconds.
    """

    header: Header
    key: bytes
    bits: int
    now: float

    @property
    def opens_tcp(self) -> bool:
        """Tell whether the packet is a SYN."""
        return bool(self.bits & OPENS and self.bits & TCP)

    def with_header(self, **changes: Any) -> "Arrival":
        """Return the arrival with a changed header."""
        return replace(self, header=replace(self.header, **changes))


class OwnerState:
    """Hold the flows, pointers and table of one agent."""

    def __init__(self, max_flows: int, now: float) -> None:
        self.flows = FlowStore(max_flows)
        self.pointers = PointerStore(max_flows)
        self.loads = PeerLoads()
        self.sought = DeadlineStore(MAX_WAITING_KEYS)
        self.lost = DeadlineStore(MAX_WAITING_KEYS)
        self.outbox: list[Notice] = []
        # Flows taken since the last report to the peers.
        self.untold: list[bytes] = []
        self.leaving = False
        self.incarnation = 0
        self.wanted_revision = 0
        self.recall = Recall()
        self.places = PlaceMemory()
        self.table: ServiceTable | None = None
        self.idle = 0.0
        self.admit = make_caller_check(())
        self.place = 0
        self.start = int(now * 1e6) & 0xFFFF_FFFF_FFFF_FFFF
        self._started = now
        self._changed = [now] * BUCKETS
        self._firsts: list[int] = []

    def update(self, table: ServiceTable, incarnation: int, now: float) -> None:
        """Take a table and the agent's own incarnation into force."""
        self.table = table
        self.incarnation = incarnation
        self.idle = table.slice.service.idle_timeout_ms / 1000
        self.admit = make_caller_check(table.slice.service.callers)
        if self.own is not None:
            self.place = identify_place(self.own)
        self.places.note(table.targets)
        self.loads.keep_only(set(table.by_incarnation))
        firsts = table.list_firsts()
        known = self._firsts or firsts
        for bucket, (first, former) in enumerate(zip(firsts, known, strict=True)):
            if first != former:
                self._changed[bucket] = now
        self._firsts = firsts

    @property
    def own(self) -> Target | None:
        """Return this agent's target as the table holds it."""
        return self.table.by_incarnation.get(self.incarnation)

    def takes_new_work(self) -> bool:
        """Tell whether this agent may take new flows."""
        own = self.own
        return own is not None and self.table.is_taker(own) and not self.leaving

    def is_recovering(self, now: float) -> bool:
        """Tell whether flows of a former agent of this target may be unknown.

        Each of them sends a packet within the idle timeout or is expired anyway.
        """
        return now < self._started + self.idle and not self.recall.is_fresh()

    def has_moved(self, key: bytes, now: float) -> bool:
        """Tell whether older flows of the bucket may be owned elsewhere.

        After a move, each of them shows itself within the idle timeout or expires.
        """
        return now < self._changed[find_bucket(key)] + self.idle

    def list_choices(self, key: bytes) -> list[Target]:
        """Return who takes the flow if it is new; not this target when it leaves."""
        choices = self.table.find_choices(find_bucket(key))
        if not self.leaving:
            return list(choices)
        return [one for one in choices if one.incarnation != self.incarnation]

    def has_seen(self, header: Header, target: Target) -> bool:
        """Tell whether the packet has been at a target already."""
        incarnation = target.incarnation
        return incarnation == self.incarnation or incarnation in header.visited

    def find_next(self, arrival: Arrival, suspects: bool) -> Target | None:
        """Return the next target of the chain that has not seen the packet."""
        for target in self.table.find_chain(find_bucket(arrival.key)):
            if target.is_suspect and not suspects:
                continue
            if not self.has_seen(arrival.header, target):
                return target
        return None

    def take(self, arrival: Arrival) -> Action:
        """Own a flow from now on and deliver its packet."""
        key, header = arrival.key, arrival.header
        if not self.flows.has_room():
            return refuse(arrival)
        self.flows.touch(key, arrival.bits, arrival.now, self.idle)
        if len(self.untold) < MAX_WAITING_KEYS:
            self.untold.append(key)
        self.pointers.remove(key)
        self.sought.remove(key)
        disagreed = header.visited and not header.flags & PASSED
        if disagreed or self.has_moved(key, arrival.now):
            # Agents with another table may be asked for this flow first: tell them
            # now, because the chain that they see need not lead here.
            for target in self.table.find_chain(find_bucket(key)):
                self.tell(target, [key])
            return DELIVER
        # Whoever passed the flow to one that passed it on guessed wrong.
        for incarnation in header.visited[:-1]:
            self.tell(self.table.by_incarnation.get(incarnation), [key])
        return DELIVER

    def adopt(self, arrival: Arrival) -> Action:
        """Take a flow that nobody else claims and that this target may hold."""
        action = self.take(arrival)
        if arrival.key in self.flows:
            self.flows.adopt(arrival.key, arrival.now, self.idle)
        return action

    def point(self, key: bytes, target: Target, now: float) -> None:
        """Remember whom a flow was passed to."""
        pair = target.announcement.packets.as_pair()
        place = identify_place(target)
        owner = Owner(target.incarnation, place, pair, self.table.revision)
        self.pointers.add(key, owner, now + self.idle, guessed=True)

    def forward_to(self, arrival: Arrival, target: Target, flags: int) -> Action:
        """Send a packet on to another target's agent."""
        pair = target.announcement.packets.as_pair()
        return self.forward(arrival, pair, target.incarnation, flags)

    def forward(
        self, arrival: Arrival, pair: tuple[str, int], incarnation: int, flags: int
    ) -> Action:
        """Send a packet on to an address, with this agent among the visited."""
        header = arrival.header
        forwarded = Header(
            DatagramKind.PACKET,
            flags,
            header.service,
            max(header.revision, self.table.revision),
            incarnation,
            header.origin,
            header.reply_to,
            self._add_visit(header),
        )
        return Action(ActionKind.FORWARD, header=forwarded, pair=pair)

    def ask_from_here(self, arrival: Arrival) -> Arrival:
        """Return the arrival as one that this agent wants to hear about again."""
        own = self.own
        if own is None:
            return arrival
        reply_to = own.announcement.packets.as_pair()
        return arrival.with_header(origin=self.incarnation, reply_to=reply_to)

    def return_to_origin(self, arrival: Arrival) -> Action:
        """Send a packet back to the agent that asked: nobody else owns its flow."""
        header = arrival.header
        flags = header.flags & ~SEEKING | SOUGHT
        return self.forward(arrival, header.reply_to, header.origin, flags)

    def _add_visit(self, header: Header) -> tuple[int, ...]:
        """Return the visited targets with this one, and with the one meant.

        The sender may have meant a former incarnation that had this address: it must
        not be asked again either.
        """
        visited = header.visited
        for incarnation in (self.incarnation, header.target):
            if incarnation not in visited:
                visited = (*visited, incarnation)
        return visited

    def tell(self, target: Target | None, keys: list[bytes]) -> None:
        """Tell a peer that this target owns some flows."""
        own = self.own
        if target is None or own is None or target.incarnation == self.incarnation:
            return
        pair = own.announcement.packets.as_pair()
        pointers = PointerList(self.incarnation, self.place, pair, tuple(keys))
        self.send(target, pack_pointers(self.make_head(target), pointers))

    def make_head(self, target: Target) -> Header:
        """Return the header of a notice to a peer."""
        number, revision = self.table.number, self.table.revision
        return Header(DatagramKind.POINTER, 0, number, revision, target.incarnation)

    def send(self, target: Target, data: bytes) -> None:
        """Put a notice for a target's agent into the outbox."""
        self.send_to(target.announcement.packets.as_pair(), data)

    def send_to(self, pair: tuple[str, int], data: bytes) -> None:
        """Put a notice into the outbox; a full outbox loses it.

        Notices save hops. Without them packets walk the chain.
        """
        if len(self.outbox) < MAX_OUTBOX:
            self.outbox.append(Notice(pair, data))


def drop(reason: str) -> Action:
    """Return the action that drops a packet."""
    return Action(ActionKind.DROP, reason)


def refuse(arrival: Arrival) -> Action:
    """Return the action that tells a caller at once that nobody takes its flow."""
    if arrival.opens_tcp:
        return Action(ActionKind.RESET, "refused")
    return drop("refused")
