"""The wall clock is not affected when the time of day is set."""

from ibisshunt.helpers.clock import make_wall_clock


def test_a_step_of_the_time_of_day_does_not_change_the_wall_clock():
    # The time of day is set forward by an hour while leases and warm-ups run. They must
    # not end: the clock advances by the three seconds that have passed.
    time_of_day, monotonic = [1_000.0], [50.0]
    read = make_wall_clock(lambda: time_of_day[0], lambda: monotonic[0])
    assert read() == 1_000.0
    time_of_day[0] += 3_600.0
    monotonic[0] += 3.0
    assert read() == 1_003.0
