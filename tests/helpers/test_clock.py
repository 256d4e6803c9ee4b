"""Clocks that go on when the time of day is set."""

from ibisshunt.helpers.clock import make_shared_clock


def test_a_step_of_the_time_of_day_does_not_move_the_shared_clock():
    # The time of day is set forward by an hour while leases and warm-ups run. They must
    # not end: three seconds have passed, and that is what the clock shows.
    wall, steady = [1_000.0], [50.0]
    read = make_shared_clock(lambda: wall[0], lambda: steady[0])
    assert read() == 1_000.0
    wall[0] += 3_600.0
    steady[0] += 3.0
    assert read() == 1_003.0
