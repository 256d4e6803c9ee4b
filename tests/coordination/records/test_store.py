import pytest

from ibisshunt.coordination.records.history import MAX_ENTRIES
from ibisshunt.coordination.records.snapshot import read_snapshot, take_snapshot
from ibisshunt.model.target import TargetState

from .factory import (
    Driver,
    announce,
    business,
    change,
    delete,
    drain,
    evacuation,
    grant,
    service,
    service_2,
    set_state,
    start_marea,
)


def test_two_operators_race_under_one_expected_revision_and_one_resends():
    # Hazard 12. Two operators write under the same expected revision; the first loses
    # its answer and sends again to another host, after a compaction. One write may
    # win, the loser must be told, and the resend must get the first answer although
    # the record has moved on since.
    driver = start_marea()
    seen = driver.store.revision
    first = change(
        service("marea", "booking", slots=2, expected_revision=seen), operation="a"
    )
    second = change(
        service("marea", "booking", slots=3, expected_revision=seen), operation="b"
    )
    won, lost = driver.apply(first), driver.apply(second)
    assert won.results[0].error == ""
    assert f"found revision {won.revision}, expected {seen}" in lost.results[0].error
    driver.put(service("marea", "booking", slots=4))
    successor = Driver(read_snapshot(take_snapshot(driver.store)).unwrap())
    successor.index = driver.index
    before = take_snapshot(successor.store)
    assert successor.apply(first) == won
    assert successor.apply(second) == lost
    assert take_snapshot(successor.store) == before


def test_an_operation_id_is_not_taken_for_another_request():
    driver = start_marea()
    driver.put(service("marea", "docs", 81), operation="x")
    errors = driver.errors(service("marea", "passes", 82), operation="x")
    assert "used for another request" in errors[0]


def test_versions_1_and_2_stand_side_by_side_and_nothing_is_dropped():
    # Hazard 17. Records of both versions live in one business. An operator who knows
    # only version 1 writes over a record whose version 2 keys it cannot express: the
    # write would set them back to the defaults without a word, so it is refused.
    driver = start_marea()
    requests = {"timeout_ms": 2_500}
    assert driver.errors(service_2("marea", "docs", 81, requests=requests)) == [""]
    versions = {
        stored.record.name: stored.record.schema_version
        for stored in driver.store.list_records("marea")
    }
    assert versions == {"marea": 1, "booking": 1, "docs": 2}
    assert "key requests" in driver.errors(service("marea", "docs", 81))[0]
    assert driver.errors(service_2("marea", "docs", 81)) == [""]
    assert driver.errors(service("marea", "docs", 81)) == [""]


def test_two_services_never_share_address_port_and_protocol():
    driver = start_marea()
    driver.put(business("heap"))
    assert "is taken" in driver.errors(service("heap", "gatepass", 80))[0]
    assert "booking" not in driver.errors(service("heap", "gatepass", 80))[0]
    assert driver.errors(service("heap", "gatepass", 80, protocol="udp")) == [""]
    assert driver.errors(service("marea", "booking", 82)) == [""]
    assert driver.errors(service("heap", "reportery", 80)) == [""]


def test_one_refused_record_leaves_the_whole_request_undone():
    driver = start_marea()
    before = driver.store.list_records()
    errors = driver.errors(service("marea", "docs", 81), service("none", "x", 82))
    assert "not applied: 1 of 2" in errors[0]
    assert "business 'none' does not exist" in errors[1]
    assert driver.store.list_records() == before
    errors = driver.errors(service("marea", "docs", 81), service("marea", "docs", 82))
    assert "stands twice" in errors[1]


@pytest.mark.parametrize(
    ("document", "part"),
    [
        (delete("business", "marea", "marea"), "still owns 2 records"),
        (delete("service", "marea", "booking"), "still has 1 targets"),
        (delete("service", "marea", "docs"), "does not exist"),
    ],
)
def test_what_others_depend_on_is_not_deleted(document, part):
    driver = start_marea()
    driver.put(drain("marea", "booking", "t1"))
    driver.apply(announce())
    assert part in driver.errors(document)[0]
    driver.apply(set_state(1, None))
    assert (
        "drain 'booking.t1'" in driver.errors(delete("service", "marea", "booking"))[0]
    )
    driver.put(delete("drain", "marea", "booking.t1"))
    driver.put(delete("service", "marea", "booking"))
    assert driver.errors(delete("business", "marea", "marea")) == [""]
    assert driver.store.list_records() == ()


def test_a_number_is_never_used_twice():
    driver = start_marea()
    first = next(iter(driver.store.slices))
    driver.put(delete("service", "marea", "booking"))
    assert driver.store.slices == {}
    driver.put(service("marea", "booking"))
    assert next(iter(driver.store.slices)) > first


def test_an_operator_touches_only_its_own_business():
    driver = start_marea()
    driver.put(business("heap"), grant("marea", "desk", "a"))
    assert driver.errors(service("marea", "docs", 81), token="a") == [""]
    assert "denied" in driver.errors(service("heap", "docs", 82), token="a")[0]
    assert "denied" in driver.errors(business("marea"), token="a")[0]
    assert "denied" in driver.errors(grant("marea", "x", "b"), token="a")[0]
    assert "matches no grant" in driver.errors(drain("marea", "x", "t"), token="c")[0]
    assert "in use by another" in driver.errors(grant("heap", "x", "a"))[0]
    driver.put(delete("grant", "marea", "desk"))
    assert "denied" in driver.errors(service("marea", "docs", 83), token="a")[0]


def test_a_busy_business_is_limited_and_the_others_are_not():
    driver = start_marea()
    driver.put(
        business("marea", changes_per_minute=3),
        business("heap", changes_per_minute=3),
        grant("marea", "desk", "a"),
        grant("heap", "desk", "b"),
    )
    for slots in (1, 2, 3):
        document = service("marea", "docs", 81, slots=slots)
        assert driver.errors(document, token="a") == [""]
    error = driver.errors(document, token="a")[0]
    assert "3 changes a minute, try again in 20.0 s" in error
    assert driver.errors(service("heap", "gatepass", 82), token="b") == [""]
    assert driver.errors(document, now=1021.0, token="a") == [""]
    # A successor whose clock is a day behind must not refuse for a day.
    assert driver.errors(document, now=-86_400.0, token="a") == [""]


def test_a_drained_target_gets_no_new_work_until_the_drain_is_deleted():
    driver = start_marea()
    driver.apply(announce())
    driver.put(drain("marea", "booking", "t1"))
    assert driver.targets() == {1: TargetState.LEAVING}
    driver.put(delete("drain", "marea", "booking.t1"))
    assert driver.targets() == {1: TargetState.READY}


def test_targets_of_an_evacuated_domain_get_no_new_work_until_its_end():
    driver = start_marea()
    driver.apply(announce())
    assert driver.errors(evacuation("moin-a")) == [""]
    assert driver.targets() == {1: TargetState.LEAVING}
    assert driver.store.list_evacuated() == {"moin-a"}
    assert driver.errors(delete("evacuation", "", "moin-a")) == [""]
    assert driver.targets() == {1: TargetState.READY}


def test_a_target_that_starts_in_an_evacuated_domain_gets_no_new_work():
    # Guards against new work in a domain that is drained, from a service that scales.
    driver = start_marea()
    driver.apply(announce())
    driver.put(evacuation("moin-a"))
    driver.apply(announce(name="t2", session="s2", port=7101))
    assert set(driver.targets().values()) == {TargetState.LEAVING}
    restored = read_snapshot(take_snapshot(driver.store)).unwrap()
    assert restored.list_evacuated() == {"moin-a"}
    assert set(Driver(restored).targets().values()) == {TargetState.LEAVING}


def test_an_evacuation_touches_the_services_of_its_domain_alone():
    driver = start_marea()
    driver.put(service("marea", "docs", 81))
    driver.apply(announce())
    before = dict(driver.store.slices)
    driver.put(evacuation("moin-a"))
    assert driver.store.slices[2] is before[2]
    assert driver.store.slices[1].revision == driver.index


def test_the_same_order_for_a_domain_again_changes_nothing():
    driver = start_marea()
    driver.apply(announce())
    driver.put(evacuation("moin-a"))
    revision = driver.store.revision
    assert driver.errors(evacuation("moin-a")) == [""]
    assert driver.store.revision == revision
    driver.put(delete("evacuation", "", "moin-a"))
    revision = driver.store.revision
    assert driver.errors(delete("evacuation", "", "moin-a")) == [""]
    assert driver.store.revision == revision


def test_an_unknown_failure_domain_and_a_business_are_refused():
    driver = start_marea()
    driver.apply(announce())
    assert "expected one of: moin-a" in driver.errors(evacuation("moin-z"))[0]
    driver.put(grant("marea", "g", "a"))
    refused = driver.errors(evacuation("moin-a"), token="a")[0]
    assert "administrator" in refused
    assert driver.targets() == {1: TargetState.READY}


def test_a_change_renews_only_the_slices_it_touches():
    driver = start_marea()
    driver.put(service("marea", "docs", 81))
    before = dict(driver.store.slices)
    driver.put(service("marea", "docs", 81, slots=5))
    assert driver.store.slices[1] is before[1]
    assert driver.store.slices[2].revision == driver.store.revision
    driver.put(service("marea", "docs", 81, slots=5))
    assert driver.store.slices[2].revision == driver.index - 1


def test_history_is_bounded_for_each_business():
    driver = start_marea()
    driver.put(business("heap"))
    for slots in range(1, MAX_ENTRIES + 20):
        driver.put(service("marea", "booking", slots=slots))
    entries = driver.store.history.list_entries("marea")
    assert len(entries) == MAX_ENTRIES
    assert entries[-1].before == entries[-2].after
    assert [found.name for found in driver.store.history.list_entries("heap")] == [
        "heap"
    ]
