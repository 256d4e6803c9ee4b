"""Forward packets to and from the target beside one agent."""

from collections.abc import Callable, Iterator
from typing import Any

import gevent
from gevent.event import Event

from ...coordination.forwarding.addresses import unpack_addresses
from ...coordination.forwarding.agent import Action, Agent
from ...coordination.forwarding.holding.incarnations import Announcement, Word
from ...coordination.forwarding.messages import (
    Ask,
    Deliver,
    OnBehalf,
    Ping,
    Pong,
    Probe,
    Relay,
    Send,
    TargetState,
    Told,
    ToTarget,
)
from ...coordination.forwarding.searching.gathering import Gatherings
from ...coordination.forwarding.segment import Segment
from ...helpers.clock import read_clock
from ...helpers.datagrams import DatagramSocket
from ...helpers.decisions import DecisionLog
from ...helpers.logging import warn_event
from ...helpers.samples import LatencyHistogram, Sample
from ...model.domains import DrainedDomains
from ...model.node import NodeSettings
from ...protocol.segments import SegmentCodec
from ..directory.inner import InnerSocket
from .agent_samples import list_agent_samples

# How often balancers hear of the target.
STATUS_SECONDS = 0.4
# How soon balancers hear that the requests at work have changed by a slot or more. The
# part for each balancer bounds what all agents together send to a thin one.
CHANGE_SECONDS = 0.08
CHANGE_SECONDS_EACH = 0.008
TICK_SECONDS = 0.04
# How often gathered answers are looked at while any are gathered.
GATHER_TICK_SECONDS = 0.01
# How long a stop waits for the requests at work.
STOP_SECONDS = 2.0


# What changes an agent's belief in its target, or contradicts it.
RARE_EVENTS = frozenset(
    (
        "target_state",
        "target_replaced",
        "target_left",
        "target_silent",
        "target_dead",
        "own_domain_state",
        "open_flow_denied",
        "reset_kept_back",
    )
)


class AgentTask:
    """Own the sockets and the decisions of one agent."""

    def __init__(
        self,
        settings: NodeSettings,
        codec: SegmentCodec,
        inner: InnerSocket,
        list_balancers: Callable[[], list[str]],
    ) -> None:
        if settings.outward is None or settings.target is None:
            raise ValueError("an agent needs its outward address and its target's")
        if settings.packets is None:
            raise ValueError("an agent needs the port at which callers are reached")
        now = read_clock()
        self.log = DecisionLog(rare=RARE_EVENTS)
        self.service = LatencyHistogram("ibisshunt_answer_seconds")
        self.agent = Agent(
            settings.service,
            int(now * 1000),
            settings.heartbeat,
            now,
            self.log.tell_event,
            settings.max_flow,
            self.service.observe,
            settings.failure_domain,
            settings.cold_overage,
            settings.cold_slack,
        )
        self.unreadable = 0
        # Heartbeats and last words that were refused.
        self.refused_words = 0
        self._codec = codec
        self._inner = inner
        self._list_balancers = list_balancers
        self._address = settings.address
        self._caller_port = settings.packets.port
        self._target = settings.target.as_pair()
        self._socket = DatagramSocket(settings.outward)
        self._gatherings = Gatherings()
        self._gathers = Event()
        self._status_at = 0.0
        self._told_at = 0.0
        self._told_load = 0
        inner.handle(Deliver, self._take_delivery)
        inner.handle(Relay, self._take_relay)
        inner.handle(OnBehalf, self._take_relayed)
        inner.handle(Told, self._take_told)
        inner.handle(Ping, self._take_ping)

    def run(self) -> None:
        """Serve the target until killed."""
        self._socket.serve(self._take_outward)

    def run_status(self) -> None:
        """Tell balancers of the target until killed."""
        while True:
            now = read_clock()
            if self.agent.sweep(now):
                self.tell_all()
            if now >= self._status_at or self._has_changed(now):
                self.tell_all()
            gevent.sleep(TICK_SECONDS)

    def run_gathering(self) -> None:
        """Send on the answers that were gathered until killed."""
        while True:
            self._gathers.wait()
            gevent.sleep(GATHER_TICK_SECONDS)
            for action in self._gatherings.sweep(read_clock()):
                self._carry_out(action)
            if not self._gatherings:
                self._gathers.clear()

    def _has_changed(self, now: float) -> bool:
        balancers = len(self._list_balancers())
        if now < self._told_at + CHANGE_SECONDS + CHANGE_SECONDS_EACH * balancers:
            return False
        change = abs(self.agent.count_load(now) - self._told_load)
        return change >= self.agent.requests.slots

    def tell_all(self) -> None:
        """Send the present status to all balancers."""
        now = read_clock()
        self._status_at = now + STATUS_SECONDS
        self._told_at = now
        self._told_load = self.agent.count_load(now)
        status = self.agent.report(now)
        self._inner.send_all(self._list_balancers(), status)

    def meet(self, peer: str) -> None:
        """Tell a balancer that has just come of the target."""
        for message in self.agent.introduce(self._address, read_clock()):
            self._inner.send(peer, message)

    def announce(self, found: Announcement) -> Word:
        """Take a heartbeat of the target; balancers hear of a change at once."""
        before = self.agent.state
        word = self.agent.announce(found, read_clock())
        if word == Word.SUCCESSOR or self.agent.state != before:
            self.tell_all()
        return word

    def leave(self, name: str, born: int | None) -> None:
        """Take the target's last word."""
        if self.agent.leave(name, born):
            self.tell_all()

    def note_refused(self, name: str, reason: str) -> None:
        """Count and log a word that was damaged, or not of the target here."""
        self.refused_words += 1
        self.log.tell_event("word_refused", target=name, reason=reason)

    def take_drained(self, drained: DrainedDomains) -> None:
        """Take the drained domains; balancers hear of a change at once."""
        if self.agent.take_drained(drained):
            self.tell_all()

    def has_lost_target(self) -> bool:
        """Tell whether the target has gone for good: it said so, or was long silent."""
        return self.agent.state == TargetState.GONE

    def stop(self) -> None:
        """Take no more flows, and wait for the requests at work, 2 s at most."""
        self.agent.pause(read_clock())
        self.tell_all()
        deadline = read_clock() + STOP_SECONDS
        while read_clock() < deadline and self.agent.requests.active:
            gevent.sleep(TICK_SECONDS)
        self.tell_all()

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def list_samples(self) -> Iterator[Sample]:
        """Yield the samples of the metrics page."""
        return list_agent_samples(
            self.agent, self.log, self.service, self.refused_words
        )

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        agent = self.agent
        return {
            "service": agent.service,
            "state": agent.state.name,
            "domain": agent.domain,
            "domain_drained": agent.target.is_drained,
            "flows": len(agent.flows),
            "active": agent.requests.active,
            "finished": agent.requests.finished,
            "mean_seconds": agent.requests.mean_seconds,
        }

    def _take_delivery(self, peer: str, message: Deliver) -> None:
        segment = self._read(message.packet)
        if segment is None:
            return
        action = self.agent.take(peer, message, segment, read_clock())
        if action is not None:
            self._carry_out(action)

    def _read(self, packet: bytes) -> Segment | None:
        """Return a caller's packet, or count it when it cannot be read."""
        segment = self._codec.parse_inward(packet)
        if segment is None:
            self.unreadable += 1
        return segment

    def _take_relay(self, peer: str, message: Relay) -> None:
        key = self._find_key(message.question)
        if key is None:
            return
        asked = unpack_addresses(message.to)
        self._gatherings.begin(peer, message.number, key, asked, read_clock())
        self._gathers.set()
        self._inner.send_all(asked, OnBehalf(message.question))

    def _find_key(self, question: Ask | Probe) -> bytes | None:
        if isinstance(question, Ask):
            return question.key
        segment = self._read(question.packet)
        return segment.key if segment else None

    def _take_relayed(self, peer: str, message: OnBehalf) -> None:
        question, now = message.question, read_clock()
        if isinstance(question, Ask):
            self._inner.send(peer, self.agent.tell(question, now))
            return
        if segment := self._read(question.packet):
            self._carry_out(self.agent.take_probe(peer, question, segment, now))

    def _take_ping(self, peer: str, message: Ping) -> None:
        self._inner.send(peer, Pong(message.number))

    def _take_told(self, peer: str, told: Told) -> None:
        for action in self._gatherings.take(peer, told, read_clock()):
            self._carry_out(action)

    def _take_outward(self, data: bytes, sender: tuple[str, int]) -> None:
        segment = self._codec.parse_outward(data)
        if segment is None:
            self.unreadable += 1
            return
        now = read_clock()
        for action in self.agent.take_outward(segment, now):
            self._carry_out(action)
        if waiting := self.agent.take_waiting(now):
            self._inner.send(waiting, self.agent.report(now))

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, Send):
            self._inner.send(action.peer, action.message)
            return
        segment = action.segment
        if isinstance(action, ToTarget):
            origin = bytes(int(part) for part in action.origin.split("."))
            packet, where = self._codec.mark(segment, origin), self._target
        else:
            caller = self._codec.find_caller(segment)
            packet, where = segment.raw, (caller, self._caller_port)
        try:
            self._socket.send_to(packet, where)
        except OSError as error:
            # Both ends send again what is lost; a target that is gone shows in its
            # heartbeats.
            warn_event("packet_unsent", peer=where[0], error=error)
