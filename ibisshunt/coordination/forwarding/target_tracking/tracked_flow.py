"""Track one flow of an agent's target by the packets that pass the agent."""

import msgspec

from ..segment import SEQUENCE_SPACE, Segment, is_sequence_after, is_sequence_between

# How far a caller's acknowledgement may be from the newest sequence number seen of the
# target when the agent has not seen the handshake: far more than is ever in flight, and
# so little of the sequence space that numbers of another flow rarely fall into it.
UNSEEN_WINDOW_BYTES = 1 << 20
# SYN-ACKs that are remembered for a flow: a caller sends its SYN three times, and may
# reuse its port.
MAX_SYN_ACKS = 8


class TrackedFlow(msgspec.Struct):
    """State of a flow as an agent saw it; times are in seconds.

    ``syn_ack_sequences`` are the sequence numbers of the target's SYN-ACKs: each copy
    of the SYN gets another one, and the caller accepts one of them by acknowledging it.
    ``sent_from`` and ``sent_to`` bound the sequence numbers that the target has sent in
    the flow that the caller accepted; until then ``sent_from`` is None. When the
    handshake was not seen, ``sent_from`` is estimated and ``is_estimated`` is set: the
    target may have sent later numbers already. ``is_confirmed`` tells that the caller's
    last packet acknowledges numbers that the target has sent, so the target holds the
    caller's current flow. Until then ``unconfirmed`` is that packet, which came from
    the balancer at the address ``balancer``. ``syn_ack_at`` is when the target answered
    the SYN, ``syn_sequence`` the sequence number of the last SYN that was delivered and
    ``accepted_syn_sequence`` that of the SYN whose SYN-ACK the caller accepted.
    ``opened_before_heartbeat`` tells that the flow may have opened before the first
    heartbeat of the target's current incarnation; ``is_incarnation_unknown`` tells that
    the target has sent nothing since, so either incarnation may have accepted it.
    """

    sent_from: int | None
    last_seen_at: float
    sent_to: int = 0
    is_estimated: bool = False
    is_confirmed: bool = False
    unconfirmed: Segment | None = None
    balancer: str = ""
    is_closed_by_caller: bool = False
    is_closed_by_target: bool = False
    closed_at: float = 0.0
    syn_ack_at: float = float("-inf")
    syn_sequence: int | None = None
    accepted_syn_sequence: int | None = None
    syn_ack_sequences: tuple[int, ...] = ()
    opened_before_heartbeat: bool = False
    is_incarnation_unknown: bool = False

    @property
    def is_open(self) -> bool:
        """Return whether the caller has accepted it and neither end has closed it."""
        is_closed = (
            self.is_closed_by_caller or self.is_closed_by_target or bool(self.closed_at)
        )
        return self.is_confirmed and not is_closed

    @property
    def has_target_sent(self) -> bool:
        """Return whether the target has sent anything in this flow."""
        return self.sent_from is not None or bool(self.syn_ack_sequences)

    def is_duplicate_syn(self, segment: Segment) -> bool:
        """Return whether a packet is a copy of the SYN that opened this flow.

        A target may answer a copy with another sequence number. Recorded for the open
        flow, that number makes the agent reject packets that belong to the flow.
        """
        is_syn = segment.is_syn and not segment.is_ack
        return is_syn and self.is_confirmed and segment.sequence == self.syn_sequence

    def record_syn(self, sequence: int, now: float) -> None:
        """Record a delivered SYN: a copy, or the first one of a reused port.

        Until the target answers it, the previous sequence numbers still show which
        packets belong to the target.
        """
        self.syn_sequence = sequence
        self.last_seen_at, self.closed_at = now, 0.0
        self.is_closed_by_caller = self.is_closed_by_target = False

    def record_caller_segment(
        self, balancer: str, segment: Segment, now: float
    ) -> None:
        """Record a caller's packet that is delivered to the target."""
        self.last_seen_at = now
        self.balancer, self.unconfirmed = balancer, segment
        self._accept_syn_ack(segment)
        self.is_closed_by_caller = self.is_closed_by_caller or segment.is_fin
        self._update_confirmation()

    def record_target_segment(self, segment: Segment, now: float) -> None:
        """Record a packet that the target sent."""
        self.last_seen_at = now
        self.is_incarnation_unknown = False
        if segment.is_rst:
            self.closed_at = now
            return
        if segment.is_syn:
            self._record_syn_ack(segment.sequence, now)
            return
        if self.sent_from is None and not self.syn_ack_sequences:
            self.sent_from = (segment.sequence - UNSEEN_WINDOW_BYTES) % SEQUENCE_SPACE
            self.sent_to = segment.sequence
            self.is_estimated = True
        end = segment.sequence + len(segment.data) + segment.is_fin
        if is_sequence_after(end, self.sent_to):
            self.sent_to = end % SEQUENCE_SPACE
        self._update_confirmation()
        self.is_closed_by_target = self.is_closed_by_target or segment.is_fin
        if self.is_closed_by_target and self.is_closed_by_caller and not self.closed_at:
            self.closed_at = now

    def _record_syn_ack(self, sequence: int, now: float) -> None:
        """Record the sequence number of a SYN-ACK.

        A SYN-ACK for a copy of the SYN that the caller's flow already uses opens no
        other flow. Recorded in place of the flow's number, it makes the agent reject
        packets that belong to the open flow.
        """
        if (
            self.accepted_syn_sequence is not None
            and self.accepted_syn_sequence == self.syn_sequence
        ):
            return
        self.syn_ack_sequences = (*self.syn_ack_sequences, sequence)[-MAX_SYN_ACKS:]
        self.closed_at = 0.0
        self.syn_ack_at = now

    def _accept_syn_ack(self, segment: Segment) -> None:
        """Record which SYN-ACK the caller has accepted, if this packet shows it."""
        if not segment.is_ack or not self._acknowledges_syn_ack(
            segment.acknowledgement
        ):
            return
        self.sent_to = segment.acknowledgement
        self.sent_from = (self.sent_to - 1) % SEQUENCE_SPACE
        self.is_estimated = False
        self.accepted_syn_sequence = self.syn_sequence
        self.syn_ack_sequences = ()

    def _acknowledges_syn_ack(self, acknowledgement: int) -> bool:
        """Return whether a caller acknowledges one of the target's SYN-ACKs."""
        return (acknowledgement - 1) % SEQUENCE_SPACE in self.syn_ack_sequences

    def _update_confirmation(self) -> None:
        if self.unconfirmed is None:
            return
        self.is_confirmed = self.unconfirmed.is_ack and self.has_sent(
            self.unconfirmed.acknowledgement
        )
        if self.is_confirmed:
            self.unconfirmed = None

    def has_sent(self, acknowledgement: int) -> bool:
        """Return whether the target has sent what a caller acknowledges.

        After a restart the first packet that the agent sees may be a retransmission of
        the target, older than what the caller has received and acknowledges.
        """
        if self._acknowledges_syn_ack(acknowledgement):
            return True
        if self.sent_from is None:
            return False
        margin = UNSEEN_WINDOW_BYTES if self.is_estimated else 0
        return is_sequence_between(
            self.sent_from, acknowledgement, self.sent_to + margin
        )

    def belongs_to_other_target(self, segment: Segment) -> bool:
        """Return whether the caller has accepted the SYN-ACK of another target.

        Two targets may answer copies of one SYN; the caller's acknowledgement shows
        which answer it accepted.
        """
        if not self.has_target_sent or not segment.is_ack:
            return False
        return not self.has_sent(segment.acknowledgement)
