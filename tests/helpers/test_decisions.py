"""The rate of decision lines is limited, and a burst leaves lines for later events."""

from collections import Counter

import pytest

from ibisshunt.helpers import decisions
from ibisshunt.helpers.decisions import RARE_LINE_BURST, SUMMARY_SECONDS, DecisionLog


@pytest.fixture
def lines(monkeypatch):
    logged = []
    monkeypatch.setattr(decisions, "log_line", logged.append)
    monkeypatch.setattr(
        decisions, "log_event", lambda event, **fields: logged.append((event, fields))
    )
    return logged


class FakeClock:
    """A clock that advances only when a test sets it."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def log_events(log, event, count):
    for number in range(count):
        log.log_event(event, number=number)


def test_a_burst_leaves_lines_for_later_events_in_the_same_second(lines):
    # After a power loss a balancer places hundreds of flows at once. A flow that it
    # refuses half a second later must be logged as well.
    clock = FakeClock()
    log = DecisionLog(per_second=40, burst=10, read_now=clock)
    log_events(log, "flow_placed", 300)
    clock.now += 0.5
    log_events(log, "flow_refused", 1)
    assert len([line for line in lines if "flow_placed" in line]) == 10
    assert any("flow_refused" in line for line in lines)
    assert log.suppressed_count == 290


def test_the_number_of_lines_per_second_is_limited(lines):
    clock = FakeClock()
    log = DecisionLog(per_second=40, burst=10, read_now=clock)
    for _ in range(1000):
        clock.now += 0.01
        log_events(log, "flow_placed", 3)
    written = [line for line in lines if isinstance(line, str)]
    assert 400 <= len(written) <= 410
    assert log.suppressed_count == 3000 - len(written)


def test_the_summary_counts_suppressed_lines_by_event(lines):
    clock = FakeClock()
    log = DecisionLog(per_second=40, burst=1, read_now=clock)
    log_events(log, "flow_placed", 4)
    log_events(log, "flow_refused", 2)
    clock.now += SUMMARY_SECONDS
    log_events(log, "flow_placed", 1)
    summary = Counter()
    for event, fields in (line for line in lines if isinstance(line, tuple)):
        assert event == "lines_left_out"
        summary.update(fields)
    assert summary == {"count": 5, "flow_placed": 3, "flow_refused": 2}


def test_an_idle_hour_does_not_increase_the_burst(lines):
    clock = FakeClock()
    log = DecisionLog(per_second=40, burst=10, read_now=clock)
    clock.now += 3600
    log_events(log, "flow_placed", 300)
    assert len([line for line in lines if isinstance(line, str)]) == 10


def test_rare_events_are_logged_while_others_are_suppressed(lines):
    # Guards against an unexplained reset: the line about a target's restart was
    # suppressed because of hundreds of placements.
    clock = FakeClock()
    log = DecisionLog(read_now=clock, rare_events=frozenset(("target_learned",)))
    log_events(log, "flow_placed", 300)
    log_events(log, "target_learned", 1)
    assert any("target_learned" in line for line in lines)
    log_events(log, "target_learned", 300)
    learned = [line for line in lines if "target_learned" in line]
    assert len(learned) == RARE_LINE_BURST
