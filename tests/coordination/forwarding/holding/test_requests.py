"""What an agent counts as load from the packets of its target's flows."""

from hypothesis import given, strategies as st
from msgspec.structs import replace

from ibisshunt.coordination.forwarding.holding.requests import (
    FAILING_HALF_LIFE,
    OVERTAKEN_ROUNDS,
    UNANSWERED_SECONDS,
    RequestLog,
    find_request_id,
)
from ibisshunt.coordination.forwarding.segment import Segment
from tests.forwarding_world import make_key

REQUEST = b"GET /x HTTP/1.1\r\nX-Request-Id: 3a77\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\n\r\n"


def make_log():
    return RequestLog(lambda event, **fields: None)


def inward(port=1, sequence=100, data=REQUEST, **flags):
    return Segment(make_key(port), b"", data, sequence, 5, acknowledges=True, **flags)


def outward(port=1, data=ANSWER):
    return Segment(make_key(port), b"", data, 5, 100, acknowledges=True)


def test_a_request_counts_until_its_answer_begins():
    log = make_log()
    log.note_inward(inward(), 1.0)
    assert log.active == 1
    log.note_outward(outward(data=b""), 1.01)
    assert log.active == 1
    log.note_outward(outward(), 1.05)
    assert (log.active, log.finished) == (0, 1)
    assert abs(log.mean_seconds - 0.05) < 1e-9


def test_a_packet_sent_again_is_no_second_request():
    # The acknowledgement of a request got lost: the caller sends it again after it was
    # answered. Counted again it would stay for ever, since no answer comes.
    log = make_log()
    log.note_inward(inward(), 1.0)
    log.note_outward(outward(), 1.05)
    log.note_inward(inward(), 1.2)
    assert log.active == 0
    log.note_inward(inward(sequence=100 + len(REQUEST)), 1.3)
    assert log.active == 1


def test_a_request_in_two_packets_is_one():
    log = make_log()
    log.note_inward(inward(), 1.0)
    log.note_inward(inward(sequence=100 + len(REQUEST), data=b"more"), 1.0)
    assert log.active == 1


def test_a_request_that_its_caller_gave_up_is_no_load():
    # After a power loss callers give up behind a long queue and end their flows; the
    # target never answers them. Counted on, an idle target looks as if thirty requests
    # waited, and every new flow is held back for nothing.
    for flag in ({"finishes": True}, {"resets": True}):
        log = make_log()
        log.note_inward(inward(), 1.0)
        log.note_inward(inward(sequence=100 + len(REQUEST), data=b"", **flag), 1.5)
        assert log.active == 0


def test_a_request_that_is_never_answered_stops_to_count():
    log = make_log()
    log.note_inward(inward(), 1.0)
    log.sweep(1.0 + UNANSWERED_SECONDS - 0.1)
    assert log.active == 1
    log.sweep(1.0 + UNANSWERED_SECONDS)
    assert log.active == 0
    log.note_outward(outward(), 9.0)
    assert log.active == 0


def test_a_request_that_waited_does_not_tell_how_fast_its_target_is():
    log = make_log()
    log.note_inward(inward(port=1), 1.0)
    log.note_inward(inward(port=2), 1.0)
    log.note_outward(outward(port=1), 1.02)
    log.note_outward(outward(port=2), 1.04)
    assert abs(log.mean_seconds - 0.02) < 1e-9


def test_the_request_id_is_found():
    assert find_request_id(REQUEST) == "3a77"
    assert find_request_id(b"POST / HTTP/1.1\r\n\r\n") == ""


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["in", "out", "fin", "end", "sweep"]),
            st.integers(1, 3),
            st.integers(0, 3),
        ),
        max_size=40,
    )
)
def test_the_load_is_never_negative_and_ends_at_nothing(steps):
    log, now = make_log(), 1.0
    for kind, port, number in steps:
        now += 0.1
        packet = inward(port=port, sequence=100 + number * len(REQUEST))
        if kind == "in":
            log.note_inward(packet, now)
        elif kind == "out":
            log.note_outward(outward(port=port), now)
        elif kind == "fin":
            log.note_inward(replace(packet, finishes=True), now)
        elif kind == "end":
            log.end(packet.key)
        else:
            log.sweep(now)
        assert 0 <= log.active <= 3
    log.sweep(now + UNANSWERED_SECONDS + 0.01)
    assert log.active == 0


def test_a_request_that_later_ones_overtake_is_no_load():
    # A target drops a request whose caller has left, and goes on with those behind it.
    # Counted until a timeout, it would make the idle target look full.
    log = make_log()
    log.note_inward(inward(1), 1.0)
    for number in range(OVERTAKEN_ROUNDS):
        assert log.active == 1
        log.note_inward(inward(2 + number), 1.1 + number)
        log.note_outward(outward(2 + number), 1.15 + number)
    assert log.active == 0


def test_a_request_on_another_slot_is_still_at_work_while_some_overtake_it():
    log = make_log()
    log.slots = 3
    log.note_inward(inward(1), 1.0)
    for number in range(OVERTAKEN_ROUNDS * 3 - 1):
        log.note_inward(inward(2 + number), 1.1)
        log.note_outward(outward(2 + number), 1.15)
    assert log.active == 1


def test_a_request_stops_to_count_when_its_route_times_out():
    log = RequestLog(lambda event, **fields: None, find_timeout=lambda key: 0.5)
    log.note_inward(inward(), 1.0)
    log.sweep(1.49)
    assert log.active == 1
    log.sweep(1.5)
    assert log.active == 0


def test_failures_show_at_once_and_fade_while_nothing_is_answered():
    # A grey target fails part of its requests while its health is good. Its agent sees
    # the answers; left out, the target is tried again some seconds later.
    log = make_log()
    for number in range(10):
        log.note_inward(inward(number + 1), 1.0)
        log.note_outward(outward(number + 1, b"HTTP/1.1 500 No\r\n\r\n"), 1.0)
    assert log.estimate_failing(1.0) > 0.6
    assert log.estimate_failing(1.0 + 3 * FAILING_HALF_LIFE) < 0.1


def test_answers_that_never_come_are_failures():
    log = make_log()
    for number in range(5):
        log.note_inward(inward(number + 1), 1.0)
    log.sweep(1.0 + UNANSWERED_SECONDS)
    assert log.estimate_failing(1.0 + UNANSWERED_SECONDS) > 0.4
