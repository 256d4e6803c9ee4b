"""What an agent counts as load from the packets of its target's flows."""

from hypothesis import given, strategies as st
from msgspec.structs import replace

from ibisshunt.coordination.forwarding.segment import Segment
from ibisshunt.coordination.forwarding.target_tracking.request_tracker import (
    FAILURE_HALF_LIFE_SECONDS,
    OVERTAKEN_ROUNDS,
    UNANSWERED_SECONDS,
    RequestTracker,
    find_request_id,
)
from tests.forwarding_world import make_key

REQUEST = b"GET /x HTTP/1.1\r\nX-Request-Id: 3a77\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\n\r\n"


def make_tracker():
    return RequestTracker(lambda event, **fields: None)


def from_caller(port=1, sequence=100, data=REQUEST, **flags):
    return Segment(make_key(port), b"", data, sequence, 5, is_ack=True, **flags)


def from_target(port=1, data=ANSWER):
    return Segment(make_key(port), b"", data, 5, 100, is_ack=True)


def test_a_request_counts_until_its_answer_begins():
    tracker = make_tracker()
    tracker.record_caller_segment(from_caller(), 1.0)
    assert tracker.active_count == 1
    tracker.record_target_segment(from_target(data=b""), 1.01)
    assert tracker.active_count == 1
    tracker.record_target_segment(from_target(), 1.05)
    assert (tracker.active_count, tracker.answered_count) == (0, 1)
    assert abs(tracker.mean_service_seconds - 0.05) < 1e-9


def test_a_retransmission_does_not_count_as_a_second_request():
    # The acknowledgement of a request was lost: the caller retransmits it after it was
    # answered. Counted again, it would stay for ever, because no answer comes.
    tracker = make_tracker()
    tracker.record_caller_segment(from_caller(), 1.0)
    tracker.record_target_segment(from_target(), 1.05)
    tracker.record_caller_segment(from_caller(), 1.2)
    assert tracker.active_count == 0
    tracker.record_caller_segment(from_caller(sequence=100 + len(REQUEST)), 1.3)
    assert tracker.active_count == 1


def test_a_request_in_two_packets_counts_once():
    tracker = make_tracker()
    tracker.record_caller_segment(from_caller(), 1.0)
    tracker.record_caller_segment(
        from_caller(sequence=100 + len(REQUEST), data=b"more"), 1.0
    )
    assert tracker.active_count == 1


def test_a_request_that_its_caller_gave_up_does_not_count():
    # After a power loss callers in a long queue give up and close their flows; the
    # target never answers them. If they stayed in the count, an idle target would look
    # as if thirty requests waited, and every new flow would be delayed for nothing.
    for flag in ({"is_fin": True}, {"is_rst": True}):
        tracker = make_tracker()
        tracker.record_caller_segment(from_caller(), 1.0)
        tracker.record_caller_segment(
            from_caller(sequence=100 + len(REQUEST), data=b"", **flag), 1.5
        )
        assert tracker.active_count == 0


def test_a_request_that_is_never_answered_expires():
    tracker = make_tracker()
    tracker.record_caller_segment(from_caller(), 1.0)
    tracker.expire(1.0 + UNANSWERED_SECONDS - 0.1)
    assert tracker.active_count == 1
    tracker.expire(1.0 + UNANSWERED_SECONDS)
    assert tracker.active_count == 0
    tracker.record_target_segment(from_target(), 9.0)
    assert tracker.active_count == 0


def test_a_queued_request_does_not_count_for_the_mean_service_time():
    tracker = make_tracker()
    tracker.record_caller_segment(from_caller(port=1), 1.0)
    tracker.record_caller_segment(from_caller(port=2), 1.0)
    tracker.record_target_segment(from_target(port=1), 1.02)
    tracker.record_target_segment(from_target(port=2), 1.04)
    assert abs(tracker.mean_service_seconds - 0.02) < 1e-9


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
def test_the_load_is_never_negative_and_ends_at_zero(steps):
    tracker, now = make_tracker(), 1.0
    for kind, port, number in steps:
        now += 0.1
        packet = from_caller(port=port, sequence=100 + number * len(REQUEST))
        if kind == "in":
            tracker.record_caller_segment(packet, now)
        elif kind == "out":
            tracker.record_target_segment(from_target(port=port), now)
        elif kind == "fin":
            tracker.record_caller_segment(replace(packet, is_fin=True), now)
        elif kind == "end":
            tracker.remove_flow(packet.key)
        else:
            tracker.expire(now)
        assert 0 <= tracker.active_count <= 3
    tracker.expire(now + UNANSWERED_SECONDS + 0.01)
    assert tracker.active_count == 0


def test_an_overtaken_request_does_not_count():
    # A target drops a request whose caller has left, and serves the next ones. Counted
    # until its timeout, the request would make the idle target look full.
    tracker = make_tracker()
    tracker.record_caller_segment(from_caller(1), 1.0)
    for number in range(OVERTAKEN_ROUNDS):
        assert tracker.active_count == 1
        tracker.record_caller_segment(from_caller(2 + number), 1.1 + number)
        tracker.record_target_segment(from_target(2 + number), 1.15 + number)
    assert tracker.active_count == 0


def test_a_request_in_another_slot_counts_while_few_overtake_it():
    tracker = make_tracker()
    tracker.slots = 3
    tracker.record_caller_segment(from_caller(1), 1.0)
    for number in range(OVERTAKEN_ROUNDS * 3 - 1):
        tracker.record_caller_segment(from_caller(2 + number), 1.1)
        tracker.record_target_segment(from_target(2 + number), 1.15)
    assert tracker.active_count == 1


def test_a_request_expires_at_the_timeout_of_its_route():
    tracker = RequestTracker(lambda event, **fields: None, find_timeout=lambda key: 0.5)
    tracker.record_caller_segment(from_caller(), 1.0)
    tracker.expire(1.49)
    assert tracker.active_count == 1
    tracker.expire(1.5)
    assert tracker.active_count == 0


def test_the_failure_share_rises_at_once_and_decays_without_answers():
    # A target fails part of its requests although it looks healthy. Its agent sees the
    # failed answers; once excluded, the target is tried again some seconds later.
    tracker = make_tracker()
    for number in range(10):
        tracker.record_caller_segment(from_caller(number + 1), 1.0)
        tracker.record_target_segment(
            from_target(number + 1, b"HTTP/1.1 500 No\r\n\r\n"), 1.0
        )
    assert tracker.estimate_failure_share(1.0) > 0.6
    assert tracker.estimate_failure_share(1.0 + 3 * FAILURE_HALF_LIFE_SECONDS) < 0.1


def test_missing_answers_count_as_failures():
    tracker = make_tracker()
    for number in range(5):
        tracker.record_caller_segment(from_caller(number + 1), 1.0)
    tracker.expire(1.0 + UNANSWERED_SECONDS)
    assert tracker.estimate_failure_share(1.0 + UNANSWERED_SECONDS) > 0.4
