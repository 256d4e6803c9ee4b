from dataclasses import replace

from ibisshunt.model.target import TargetState

from .factory import announce, set_state, start_marea


def test_a_target_thought_dead_that_is_alive_keeps_its_incarnation():
    # Hazard 7, control's side. A target's announcements are lost for a while, it is
    # held for dead and gets no new flow. Its flows go on, so it must stay in the
    # table, and when it is heard again it must be the same incarnation: a new one
    # would make its agent refuse all packets of its own flows.
    driver = start_marea()
    driver.apply(announce())
    for state in (TargetState.SUSPECT, TargetState.GONE):
        driver.apply(set_state(1, state))
        assert driver.targets() == {1: state}
    assert driver.apply(announce()).incarnation == 1
    assert driver.targets() == {1: TargetState.READY}


def test_a_restarted_target_is_a_new_incarnation_and_replaces_the_old():
    driver = start_marea()
    driver.apply(announce())
    assert driver.apply(announce(session="s2")).incarnation == 2
    assert list(driver.targets()) == [2]
    driver.apply(set_state(1, TargetState.GONE))
    assert driver.targets() == {2: TargetState.READY}


def test_a_replacement_elsewhere_leaves_the_leaving_target_its_flows():
    # A planned replacement on another host: the old target drains its flows while the
    # new one of the same name takes over. Both must be in the table.
    driver = start_marea()
    driver.apply(announce())
    assert (
        "held by 127.0.0.1:7001" in driver.apply(announce(session="s2", port=9)).error
    )
    driver.apply(announce(leaving=True))
    assert driver.apply(announce(session="s2", port=9)).incarnation == 2
    assert driver.targets() == {1: TargetState.LEAVING, 2: TargetState.READY}


def test_an_agent_that_comes_back_beside_a_living_target_keeps_its_incarnation():
    driver = start_marea()
    driver.apply(announce())
    driver.apply(announce(leaving=True))
    assert driver.apply(announce()).incarnation == 1
    assert driver.targets() == {1: TargetState.READY}


def test_announcements_that_fit_nothing_admit_nothing():
    driver = start_marea()
    assert driver.apply(announce(leaving=True)).incarnation == 0
    assert "does not exist" in driver.apply(announce(service="docs")).error
    assert driver.targets() == {}


def test_the_slice_tells_when_an_agent_was_last_lost():
    # A service that never lost an agent has no outcomes that nobody knows; one whose
    # agents restart or leave may have, and newcomers must learn of it.
    driver = start_marea()
    driver.apply(announce())
    driver.apply(announce(name="t2", session="s2", port=8001))
    (part,) = driver.store.slices.values()
    assert part.left_revision == 0
    again = announce()
    session = replace(again.announcement, agent_session="second")
    driver.apply(replace(again, announcement=session))
    (part,) = driver.store.slices.values()
    assert (part.left_revision, part.revision) == (driver.index, driver.index)
    driver.apply(set_state(2, TargetState.SUSPECT))
    lost = part.left_revision
    (part,) = driver.store.slices.values()
    assert part.left_revision == lost
    driver.apply(set_state(2, None))
    (part,) = driver.store.slices.values()
    assert part.left_revision == driver.index
