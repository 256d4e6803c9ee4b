import pytest
from hypothesis import given, strategies as st

from ibisshunt.const import LEASE_SECONDS
from ibisshunt.coordination.membership.damping import Flaps, note_change
from ibisshunt.coordination.membership.leases import (
    GONE_SECONDS,
    REMOVE_SECONDS,
    SEARCH_SECONDS,
    LeaseBook,
)
from ibisshunt.model.address import Address
from ibisshunt.model.target import Announcement, Target, TargetState

PLACE = Address("127.0.0.1", 7000)
READY, SUSPECT, GONE = TargetState.READY, TargetState.SUSPECT, TargetState.GONE


def make_target(number, state=READY, domain="moin-a", service="booking"):
    announced = Announcement(
        "marea", service, f"t{number}", "s", "h", domain, PLACE, PLACE, PLACE
    )
    return Target(announced, number, state, 0.0)


class Clock:
    """Drive a lease book second by second and put its changes into force."""

    def __init__(self, *targets):
        self.targets = {target.incarnation: target for target in targets}
        self.book = LeaseBook()
        self.now = 100.0
        self.book.restart(self.targets.values(), self.now)

    def run(self, seconds, heard=(), flows=0):
        for _ in range(int(seconds)):
            self.now += 1.0
            for number in heard:
                self.book.renew(number, flows, self.now)
            self.sweep()

    def sweep(self):
        changes = self.book.sweep(self.now)
        for change in changes:
            target = self.targets.pop(change.incarnation)
            if change.state is not None:
                found = Target(target.announcement, target.incarnation, change.state, 0)
                self.targets[change.incarnation] = found
        self.book.track(self.targets.values(), self.now)
        return changes

    def states(self):
        return {number: target.state for number, target in self.targets.items()}


FIRST = SEARCH_SECONDS + LEASE_SECONDS


def test_a_silent_target_is_suspect_then_gone_then_removed():
    clock = Clock(*(make_target(number) for number in range(1, 5)))
    clock.run(FIRST - 1, heard=(2, 3, 4))
    assert clock.states()[1] == READY
    clock.run(1, heard=(2, 3, 4))
    assert clock.states()[1] == SUSPECT
    clock.run(GONE_SECONDS, heard=(2, 3, 4))
    assert clock.states()[1] == GONE
    clock.run(REMOVE_SECONDS, heard=(2, 3, 4))
    assert clock.states() == {2: READY, 3: READY, 4: READY}


def test_targets_do_not_vanish_in_a_crowd_when_control_is_cut_off():
    # The leader loses the way to most agents while all targets serve on. Their leases
    # run out together. Emptying the tables would turn a lost control network into an
    # outage of every service.
    clock = Clock(*(make_target(number) for number in range(1, 9)))
    clock.run(REMOVE_SECONDS * 2, heard=(1, 2))
    assert clock.states() == dict.fromkeys(range(1, 9), READY)


def test_a_failure_domain_cut_off_from_control_keeps_half_of_each_service():
    # One domain holds most targets of docs, and control hears nothing from it. The
    # system as a whole is well, so the crowd rule says nothing; the service must keep
    # half of its targets all the same, and those cut off must stay in the table.
    docs = [make_target(number, service="docs") for number in (1, 2, 3)]
    docs.append(make_target(4, domain="moin-b", service="docs"))
    others = [make_target(number, domain="moin-b") for number in range(5, 11)]
    clock = Clock(*docs, *others)
    clock.run(REMOVE_SECONDS * 2, heard=range(4, 11))
    states = clock.states()
    assert sum(1 for number in range(1, 5) if states[number] == READY) >= 2
    assert set(states) == set(range(1, 11))


def test_a_leader_that_stood_still_does_not_take_its_own_silence_for_theirs():
    # The leader's process is stopped for a minute. At its first sweep every lease is
    # long past, though each agent tried to renew. Some agents get through first, so
    # the crowd rule alone would not save the rest.
    clock = Clock(*(make_target(number) for number in range(1, 9)))
    clock.run(20, heard=range(1, 9))
    clock.now += 60
    for number in range(1, 6):
        clock.book.renew(number, 0, clock.now)
    assert clock.sweep() == ()
    clock.run(1, heard=range(1, 6))
    assert set(clock.states().values()) == {READY}


def test_a_new_leader_gives_fresh_leases():
    clock = Clock(*(make_target(number) for number in range(1, 4)))
    clock.run(4)
    clock.book.restart(clock.targets.values(), clock.now)
    clock.run(FIRST - 1)
    assert set(clock.states().values()) == {READY}


def test_the_only_target_of_a_service_is_held_and_said_to_be():
    clock = Clock(make_target(1))
    clock.run(FIRST + GONE_SECONDS)
    assert clock.states() == {1: READY}
    assert clock.book.is_held(1, clock.now)


def test_a_leaving_target_is_removed_when_its_flows_are_over():
    leaving = [make_target(number, TargetState.LEAVING) for number in (1, 2)]
    clock = Clock(*leaving, make_target(3), make_target(4))
    clock.book.renew(1, 0, clock.now)
    clock.book.renew(2, 7, clock.now)
    clock.run(FIRST + GONE_SECONDS, heard=(3, 4))
    assert set(clock.states()) == {2, 3, 4}
    clock.run(REMOVE_SECONDS, heard=(3, 4))
    assert clock.states() == {3: READY, 4: READY}


def test_a_delayed_announcement_does_not_undo_leaving():
    # A target says that it leaves; an announcement that it sent before is still on
    # its way and arrives later, perhaps at a new leader. Taken as a return it would
    # bring new work to a target that is about to go. No call is older than 5 s.
    book, target = LeaseBook(), make_target(1, TargetState.LEAVING)
    book.restart([target], 10.0)
    assert book.find_hold(target.announcement, 1, 14.9) > 0
    book.note_leaving(1, 14.0)
    assert book.find_hold(target.announcement, 1, 18.9) > 0
    assert book.find_hold(target.announcement, 1, 19.0) == 0.0


def test_a_flapping_target_is_held_back_longer_each_time():
    flaps, now, holds = Flaps(), 0.0, []
    for _ in range(9):
        flaps = note_change(flaps, now)
        holds.append(flaps.hold_deadline - now)
        now = flaps.hold_deadline + 1
    assert holds == [0, 0, 0, 4, 8, 16, 32, 60, 60]
    assert (
        note_change(flaps, flaps.quiet_deadline).hold_deadline == flaps.quiet_deadline
    )


def test_a_target_that_restarts_again_and_again_waits_to_be_admitted():
    book, announced = LeaseBook(), make_target(1).announcement
    for _ in range(4):
        assert book.find_hold(announced, 0, 10.0) == 0.0
        book.note_restart(announced, 10.0)
    assert book.find_hold(announced, 0, 11.0) == pytest.approx(3.0)
    assert book.find_hold(announced, 0, 14.0) == 0.0


@given(st.lists(st.tuples(st.integers(1, 20), st.sets(st.integers(1, 8))), max_size=30))
def test_a_service_never_loses_more_than_half_of_its_ready_targets(steps):
    clock = Clock(
        *(
            make_target(number, domain=f"d{number % 3}", service=f"s{number % 2}")
            for number in range(1, 9)
        )
    )
    for seconds, heard in steps:
        clock.run(seconds, heard)
        for service in ("s0", "s1"):
            states = [
                target.state
                for target in clock.targets.values()
                if target.announcement.service == service
            ]
            assert states.count(READY) >= 1
