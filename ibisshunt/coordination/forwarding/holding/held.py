"""Hold what an agent sees of one flow of its target."""

import msgspec

from ..segment import SEQUENCE_SPACE, Segment, is_later, lies_between

# How far from the newest number seen of the target a caller's acknowledgement may be
# when the flow's opening was not: far more than what is ever on its way, and so little
# of the number space that another flow's numbers hardly ever lie in it.
UNSEEN_SPAN_BYTES = 1 << 20
# Answers to opening packets that are remembered: a caller sends three copies, and may
# use its port again.
MAX_OFFERED = 8


class HeldFlow(msgspec.Struct):
    """Hold what an agent saw of a flow; times are in seconds.

    ``offered`` are the numbers with which the target answered opening packets, each
    copy with another one; the caller takes one of them by acknowledging it. ``first``
    and ``last`` are the ends of the numbers that the target has sent in the flow that
    the caller took, None before; ``first`` is estimated when the opening was not seen,
    and ``is_partial`` tells so: the target may have sent later numbers before, too.
    ``is_proved`` tells that the caller's last packet acknowledges numbers that the
    target has sent: it is the caller's present flow that the target holds. Until then
    ``asked`` is that packet, which came from the balancer at ``origin``.
    ``opened_at`` is when the target took its opening, ``opened_by`` the number of the
    opening packet that was handed over last and ``taken_by`` that of the one whose
    answer the caller took. ``is_early`` tells that the target took the flow between
    the last heartbeat of one incarnation and the first of the next; it is ``is_unsure``
    whose it is until the target sends something.
    """

    first: int | None
    seen_at: float
    last: int = 0
    is_partial: bool = False
    is_proved: bool = False
    asked: Segment | None = None
    origin: str = ""
    caller_ended: bool = False
    target_ended: bool = False
    ended_at: float = 0.0
    opened_at: float = float("-inf")
    opened_by: int | None = None
    taken_by: int | None = None
    offered: tuple[int, ...] = ()
    is_early: bool = False
    is_unsure: bool = False

    @property
    def is_open(self) -> bool:
        """Tell whether its caller has taken it and neither end has ended it."""
        has_ended = self.caller_ended or self.target_ended or bool(self.ended_at)
        return self.is_proved and not has_ended

    @property
    def is_answered(self) -> bool:
        """Tell whether the target has sent anything in this flow."""
        return self.first is not None or bool(self.offered)

    def is_late_copy(self, segment: Segment) -> bool:
        """Tell whether an opening packet is a copy of the one that opened this flow.

        Handed over, a target may answer it with other numbers: taken for the flow's
        own, these made the agent send back what belongs to the open flow.
        """
        is_opening = segment.opens and not segment.acknowledges
        return is_opening and self.is_proved and segment.sequence == self.opened_by

    def begin_again(self, sequence: int, now: float) -> None:
        """Take another opening packet of the caller, a copy or one on a used port.

        Until the target answers, its former numbers tell which packets belong to it.
        """
        self.opened_by = sequence
        self.seen_at, self.ended_at = now, 0.0
        self.caller_ended = self.target_ended = False

    def note_inward(self, origin: str, segment: Segment, now: float) -> None:
        """Take a caller's packet that goes to the target."""
        self.seen_at = now
        self.origin, self.asked = origin, segment
        self._take_offer(segment)
        self.caller_ended = self.caller_ended or segment.finishes
        self._prove()

    def note_outward(self, segment: Segment, now: float) -> None:
        """Take a packet that the target sent."""
        self.seen_at = now
        self.is_unsure = False
        if segment.resets:
            self.ended_at = now
            return
        if segment.opens:
            self._note_offer(segment.sequence, now)
            return
        if self.first is None and not self.offered:
            self.first = (segment.sequence - UNSEEN_SPAN_BYTES) % SEQUENCE_SPACE
            self.last = segment.sequence
            self.is_partial = True
        end = segment.sequence + len(segment.data) + segment.finishes
        if is_later(end, self.last):
            self.last = end % SEQUENCE_SPACE
        self._prove()
        self.target_ended = self.target_ended or segment.finishes
        if self.target_ended and self.caller_ended and not self.ended_at:
            self.ended_at = now

    def _note_offer(self, number: int, now: float) -> None:
        """Note with which number the target answered an opening packet.

        An answer to a copy of the opening that the caller has taken already opens no
        other flow: its number in place of the flow's made the agent send back what
        belongs to the open flow.
        """
        if self.taken_by is not None and self.taken_by == self.opened_by:
            return
        self.offered = (*self.offered, number)[-MAX_OFFERED:]
        self.ended_at = 0.0
        self.opened_at = now

    def _take_offer(self, segment: Segment) -> None:
        """Note which answer to its opening packets the caller has taken."""
        if not segment.acknowledges or not self._is_offered(segment.acknowledgement):
            return
        self.last = segment.acknowledgement
        self.first = (self.last - 1) % SEQUENCE_SPACE
        self.is_partial = False
        self.taken_by = self.opened_by
        self.offered = ()

    def _is_offered(self, acknowledgement: int) -> bool:
        """Tell whether a caller acknowledges an answer to one of its openings."""
        return (acknowledgement - 1) % SEQUENCE_SPACE in self.offered

    def _prove(self) -> None:
        if self.asked is None:
            return
        self.is_proved = self.asked.acknowledges and self.fits(
            self.asked.acknowledgement
        )
        if self.is_proved:
            self.asked = None

    def fits(self, acknowledgement: int) -> bool:
        """Tell whether a caller's acknowledgement is of what the target has sent.

        After a restart the first packet that an agent sees may be one that its target
        repeats, older than what the caller has and acknowledges.
        """
        if self._is_offered(acknowledgement):
            return True
        if self.first is None:
            return False
        ahead = UNSEEN_SPAN_BYTES if self.is_partial else 0
        return lies_between(self.first, acknowledgement, self.last + ahead)

    def is_foreign(self, segment: Segment) -> bool:
        """Tell whether the caller took the opening of another target.

        Two targets answered copies of one opening packet; the caller's acknowledgement
        names the one that it took.
        """
        if not self.is_answered or not segment.acknowledges:
            return False
        return not self.fits(segment.acknowledgement)
