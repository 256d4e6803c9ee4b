"""Target in the simulation."""

from msgspec.structs import replace

from ibisshunt.coordination.forwarding.segment import Segment
from ibisshunt.coordination.forwarding.target_tracking.incarnations import Heartbeat
from tests.forwarding_world import SERVICE
from tests.races.timing import (
    FIRST_HEARTBEAT_SECONDS,
    HANDSHAKE_SECONDS,
    HEARTBEAT_DELAY_SECONDS,
    HEARTBEAT_SECONDS,
    MAX_QUEUE,
    SERVICE_SECONDS,
    UNHEARD_SECONDS,
)

ANSWER = (b"HTTP/1.1 200 OK\r\n\r\n" + bytes(980), bytes(1000))


class Target:
    """Target that holds flows, serves one request at a time, and may crash.

    Its heartbeats arrive seconds late if it ``is_unheard``, each on its own connection.
    """

    def __init__(self, world, address, name, is_unheard=False):
        self.world, self.address, self.name = world, address, name
        self.is_unheard = is_unheard
        self.agent = world.agents[address]
        # The next sequence number to send in each open flow, by key.
        self.next_sequences = {}
        # The sequence numbers of SYN-ACKs that no caller has accepted yet, by key.
        self.syn_ack_sequences = {}
        self.closed = set()
        self.accepted_requests = set()
        self.queue = []
        self.heartbeat_sequence = 0
        self.is_running = True
        first_delay = world.random.uniform(0.0005, FIRST_HEARTBEAT_SECONDS)
        world.call_later(first_delay, self.send_heartbeat)

    def send_heartbeat(self):
        """Send a heartbeat, and schedule the next one."""
        if not self.is_running:
            return
        self.heartbeat_sequence += 1
        heartbeat = Heartbeat(self.name, SERVICE, 1, False, 0, self.heartbeat_sequence)
        self.world.call_later(
            self._draw_heartbeat_delay(), self.agent.handle_heartbeat, heartbeat
        )
        self.world.call_later(HEARTBEAT_SECONDS, self.send_heartbeat)

    def crash(self):
        """Stop at once: the host closes all flows and bounces later packets."""
        self.is_running = False
        self.queue.clear()
        for key in tuple(self.next_sequences):
            self._close(key)

    def handle_packet(self, segment, balancer):
        """Handle a packet that the agent delivers."""
        if segment.is_syn:
            self._handle_syn(segment, balancer)
            return
        key = segment.key
        first_sequence = segment.acknowledgement - 1
        if (
            key not in self.next_sequences
            and first_sequence in self.syn_ack_sequences.get(key, ())
        ):
            del self.syn_ack_sequences[key]
            self.next_sequences[key] = first_sequence + 1
            self.closed.discard(key)
            self.world.trace(key, "accepted", self.name, first_sequence)
        if key in self.closed:
            self._answer_closed(segment)
        elif key not in self.next_sequences:
            self.agent.receive_from_target(
                replace(segment, is_bounced=True, balancer=balancer)
            )
        elif segment.is_fin:
            self.send(acknowledge(key, self.next_sequences[key]))
            self._close(key)
        elif segment.data:
            self._handle_request(segment)

    def send(self, segment):
        """Send a packet through the agent."""
        self.agent.receive_from_target(segment)

    def _draw_heartbeat_delay(self):
        if self.is_unheard:
            return self.world.random.uniform(*UNHEARD_SECONDS)
        late_share = self.world.late_heartbeats
        if late_share and self.world.random.random() < late_share:
            return self.world.random.uniform(0, self.world.max_late_seconds)
        return HEARTBEAT_DELAY_SECONDS

    def _handle_syn(self, segment, balancer):
        if not self.is_running or len(self.queue) > MAX_QUEUE:
            self.agent.receive_from_target(
                replace(segment, is_bounced=True, balancer=balancer)
            )
            return
        # Each SYN copy gets another sequence number; the caller accepts one of them.
        first_sequence = self.world.make_first_sequence()
        self.syn_ack_sequences.setdefault(segment.key, set()).add(first_sequence)
        answer = Segment(
            segment.key, b"", b"", first_sequence, 1, is_syn=True, is_ack=True
        )
        self.world.call_later(HANDSHAKE_SECONDS, self.send, answer)

    def _handle_request(self, segment):
        if (segment.key, segment.sequence) in self.accepted_requests:
            return
        self.accepted_requests.add((segment.key, segment.sequence))
        self.queue.append(segment.key)
        if len(self.queue) == 1:
            self._serve_next()

    def _serve_next(self):
        self.world.call_later(
            self.world.random.expovariate(1 / SERVICE_SECONDS), self._answer
        )

    def _answer(self):
        if not self.is_running:
            return
        key = self.queue.pop(0)
        if key in self.next_sequences:
            for data in ANSWER:
                sequence = self.next_sequences[key]
                self.send(Segment(key, b"", data, sequence, 1, is_ack=True))
                self.next_sequences[key] = sequence + len(data)
        if self.queue:
            self._serve_next()

    def _close(self, key):
        sequence = self.next_sequences.pop(key)
        self.closed.add(key)
        self.send(replace(acknowledge(key, sequence), is_fin=True))

    def _answer_closed(self, segment):
        if segment.is_fin:
            self.send(acknowledge(segment.key, segment.acknowledgement))
        elif segment.data:
            self.send(Segment(segment.key, b"", b"", 0, 0, is_rst=True))


def acknowledge(key, sequence):
    """Return a target's packet without data."""
    return Segment(key, b"", b"", sequence, 1, is_ack=True)
