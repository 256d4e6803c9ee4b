import pytest
from hypothesis import given, strategies as st

from ibisshunt.const import LEASE_SECONDS
from ibisshunt.coordination.membership.damping import FlapHistory, record_change
from ibisshunt.coordination.membership.leases import (
    GONE_SECONDS,
    LEADER_SEARCH_SECONDS,
    REMOVE_SECONDS,
    LeaseBook,
)
from ibisshunt.model.address import Address
from ibisshunt.model.target import Announcement, Target, TargetState

ADDRESS = Address("127.0.0.1", 7000)
READY, SUSPECT, GONE = TargetState.READY, TargetState.SUSPECT, TargetState.GONE


def make_target(number, state=READY, domain="moin-a", service="booking"):
    announcement = Announcement(
        "marea", service, f"t{number}", "s", "h", domain, ADDRESS, ADDRESS, ADDRESS
    )
    return Target(announcement, number, state, 0.0)


class LeaseSimulation:
    """Sweep a lease book every second and apply its changes to the targets."""

    def __init__(self, *targets):
        self.targets = {target.incarnation: target for target in targets}
        self.book = LeaseBook()
        self.now = 100.0
        self.book.reset(self.targets.values(), self.now)

    def run(self, seconds, renewing=(), flows=0):
        for _ in range(int(seconds)):
            self.now += 1.0
            for number in renewing:
                self.book.renew(number, flows, self.now)
            self.sweep()

    def sweep(self):
        changes = self.book.sweep(self.now)
        for change in changes:
            target = self.targets.pop(change.incarnation)
            if change.state is not None:
                updated = Target(
                    target.announcement, target.incarnation, change.state, 0
                )
                self.targets[change.incarnation] = updated
        self.book.track(self.targets.values(), self.now)
        return changes

    def states(self):
        return {number: target.state for number, target in self.targets.items()}


FIRST_LEASE_SECONDS = LEADER_SEARCH_SECONDS + LEASE_SECONDS


def test_a_silent_target_is_suspect_then_gone_then_removed():
    simulation = LeaseSimulation(*(make_target(number) for number in range(1, 5)))
    simulation.run(FIRST_LEASE_SECONDS - 1, renewing=(2, 3, 4))
    assert simulation.states()[1] == READY
    simulation.run(1, renewing=(2, 3, 4))
    assert simulation.states()[1] == SUSPECT
    simulation.run(GONE_SECONDS, renewing=(2, 3, 4))
    assert simulation.states()[1] == GONE
    simulation.run(REMOVE_SECONDS, renewing=(2, 3, 4))
    assert simulation.states() == {2: READY, 3: READY, 4: READY}


def test_no_target_expires_when_the_leader_is_isolated_from_most_agents():
    # The leader loses the connection to most agents while all targets still serve.
    # Their leases expire at once. Empty tables would turn a failure of the control
    # network into an outage of every service.
    simulation = LeaseSimulation(*(make_target(number) for number in range(1, 9)))
    simulation.run(REMOVE_SECONDS * 2, renewing=(1, 2))
    assert simulation.states() == dict.fromkeys(range(1, 9), READY)


def test_a_failure_domain_cut_off_from_control_keeps_half_of_each_service():
    # One domain has most targets of docs, and the control hosts cannot reach it. Most
    # leases of the system are valid, so the majority rule does not apply; the service
    # must still keep half of its targets ready, and the isolated ones in the table.
    docs = [make_target(number, service="docs") for number in (1, 2, 3)]
    docs.append(make_target(4, domain="moin-b", service="docs"))
    others = [make_target(number, domain="moin-b") for number in range(5, 11)]
    simulation = LeaseSimulation(*docs, *others)
    simulation.run(REMOVE_SECONDS * 2, renewing=range(4, 11))
    states = simulation.states()
    assert sum(1 for number in range(1, 5) if states[number] == READY) >= 2
    assert set(states) == set(range(1, 11))


def test_no_target_expires_after_the_leader_process_was_suspended():
    # The leader's process is suspended for a minute. At its next sweep every lease has
    # expired, although all agents tried to renew. Some renewals arrive before the
    # sweep, so the majority rule alone would not protect the other targets.
    simulation = LeaseSimulation(*(make_target(number) for number in range(1, 9)))
    simulation.run(20, renewing=range(1, 9))
    simulation.now += 60
    for number in range(1, 6):
        simulation.book.renew(number, 0, simulation.now)
    assert simulation.sweep() == ()
    simulation.run(1, renewing=range(1, 6))
    assert set(simulation.states().values()) == {READY}


def test_a_new_leader_grants_new_leases():
    simulation = LeaseSimulation(*(make_target(number) for number in range(1, 4)))
    simulation.run(4)
    simulation.book.reset(simulation.targets.values(), simulation.now)
    simulation.run(FIRST_LEASE_SECONDS - 1)
    assert set(simulation.states().values()) == {READY}


def test_the_only_target_of_a_service_is_kept_ready_and_reported_as_such():
    simulation = LeaseSimulation(make_target(1))
    simulation.run(FIRST_LEASE_SECONDS + GONE_SECONDS)
    assert simulation.states() == {1: READY}
    assert simulation.book.is_kept_ready(1, simulation.now)


def test_a_leaving_target_is_removed_when_its_flows_are_over():
    leaving = [make_target(number, TargetState.LEAVING) for number in (1, 2)]
    simulation = LeaseSimulation(*leaving, make_target(3), make_target(4))
    simulation.book.renew(1, 0, simulation.now)
    simulation.book.renew(2, 7, simulation.now)
    simulation.run(FIRST_LEASE_SECONDS + GONE_SECONDS, renewing=(3, 4))
    assert set(simulation.states()) == {2, 3, 4}
    simulation.run(REMOVE_SECONDS, renewing=(3, 4))
    assert simulation.states() == {3: READY, 4: READY}


def test_a_delayed_announcement_does_not_undo_leaving():
    # A target announces that it is leaving. An earlier announcement is still in transit
    # and arrives later, perhaps at a new leader. If it made the target ready again, a
    # target that is about to stop would get new flows. No call is older than 5 s.
    book, target = LeaseBook(), make_target(1, TargetState.LEAVING)
    book.reset([target], 10.0)
    assert book.find_hold_down(target.announcement, 1, 14.9) > 0
    book.record_leaving(1, 14.0)
    assert book.find_hold_down(target.announcement, 1, 18.9) > 0
    assert book.find_hold_down(target.announcement, 1, 19.0) == 0.0


def test_the_hold_down_of_a_flapping_target_grows_each_time():
    history, now, hold_downs = FlapHistory(), 0.0, []
    for _ in range(9):
        history = record_change(history, now)
        hold_downs.append(history.hold_down_deadline - now)
        now = history.hold_down_deadline + 1
    assert hold_downs == [0, 0, 0, 4, 8, 16, 32, 60, 60]
    assert (
        record_change(history, history.stable_deadline).hold_down_deadline
        == history.stable_deadline
    )


def test_a_target_that_restarts_repeatedly_has_to_wait_for_admission():
    book, announcement = LeaseBook(), make_target(1).announcement
    for _ in range(4):
        assert book.find_hold_down(announcement, 0, 10.0) == 0.0
        book.record_restart(announcement, 10.0)
    assert book.find_hold_down(announcement, 0, 11.0) == pytest.approx(3.0)
    assert book.find_hold_down(announcement, 0, 14.0) == 0.0


@given(st.lists(st.tuples(st.integers(1, 20), st.sets(st.integers(1, 8))), max_size=30))
def test_a_service_never_loses_more_than_half_of_its_ready_targets(steps):
    simulation = LeaseSimulation(
        *(
            make_target(number, domain=f"d{number % 3}", service=f"s{number % 2}")
            for number in range(1, 9)
        )
    )
    for seconds, renewing in steps:
        simulation.run(seconds, renewing)
        for service in ("s0", "s1"):
            states = [
                target.state
                for target in simulation.targets.values()
                if target.announcement.service == service
            ]
            assert states.count(READY) >= 1
