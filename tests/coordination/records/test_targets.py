from dataclasses import replace

from ibisshunt.model.target import TargetState

from .factory import announce, set_state, start_marea


def test_a_live_target_declared_gone_keeps_its_incarnation():
    # Hazard 7, in control. The announcements of a target are lost for a while, so it is
    # declared gone and gets no new flows. Its open flows continue, so it must stay in
    # the table and keep its incarnation when it is announced again: with a new one its
    # agent would refuse all packets of these flows.
    driver = start_marea()
    driver.apply(announce())
    for state in (TargetState.SUSPECT, TargetState.GONE):
        driver.apply(set_state(1, state))
        assert driver.targets() == {1: state}
    assert driver.apply(announce()).incarnation == 1
    assert driver.targets() == {1: TargetState.READY}


def test_a_restarted_target_is_a_new_incarnation_and_replaces_the_old_one():
    driver = start_marea()
    driver.apply(announce())
    assert driver.apply(announce(session="s2")).incarnation == 2
    assert list(driver.targets()) == [2]
    driver.apply(set_state(1, TargetState.GONE))
    assert driver.targets() == {2: TargetState.READY}


def test_a_replacement_on_another_host_keeps_the_leaving_target():
    # In a planned replacement the old target completes its flows while a new one of the
    # same name on another host gets the new flows. Both must be in the table.
    driver = start_marea()
    driver.apply(announce())
    assert (
        "held by 127.0.0.1:7001" in driver.apply(announce(session="s2", port=9)).error
    )
    driver.apply(announce(leaving=True))
    assert driver.apply(announce(session="s2", port=9)).incarnation == 2
    assert driver.targets() == {1: TargetState.LEAVING, 2: TargetState.READY}


def test_a_target_that_leaves_and_returns_keeps_its_incarnation():
    driver = start_marea()
    driver.apply(announce())
    driver.apply(announce(leaving=True))
    assert driver.apply(announce()).incarnation == 1
    assert driver.targets() == {1: TargetState.READY}


def test_announcements_that_match_nothing_register_no_target():
    driver = start_marea()
    assert driver.apply(announce(leaving=True)).incarnation == 0
    assert "does not exist" in driver.apply(announce(service="docs")).error
    assert driver.targets() == {}


def test_the_slice_contains_the_revision_at_which_an_agent_last_left():
    # In a service that never lost an agent, all outcomes are known. If agents restarted
    # or left, outcomes may be lost, and new agents must know that.
    driver = start_marea()
    driver.apply(announce())
    driver.apply(announce(name="t2", session="s2", port=8001))
    (service_slice,) = driver.store.slices.values()
    assert service_slice.left_revision == 0
    again = announce()
    session = replace(again.announcement, agent_session="second")
    driver.apply(replace(again, announcement=session))
    (service_slice,) = driver.store.slices.values()
    assert (service_slice.left_revision, service_slice.revision) == (
        driver.index,
        driver.index,
    )
    driver.apply(set_state(2, TargetState.SUSPECT))
    left_revision = service_slice.left_revision
    (service_slice,) = driver.store.slices.values()
    assert service_slice.left_revision == left_revision
    driver.apply(set_state(2, None))
    (service_slice,) = driver.store.slices.values()
    assert service_slice.left_revision == driver.index
