import pytest

from ibisshunt.coordination.records.history import MAX_ENTRIES_PER_BUSINESS
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


def test_two_operators_race_with_one_expected_revision_and_one_retries():
    # Hazard 12. Two operators write with the same expected revision. The first does not
    # receive its outcome and retries on another host, after a compaction. Only one
    # write may succeed, the other must be refused, and the retry must get the first
    # outcome although the record has changed since.
    driver = start_marea()
    expected = driver.store.revision
    first = change(
        service("marea", "booking", slots=2, expected_revision=expected), operation="a"
    )
    second = change(
        service("marea", "booking", slots=3, expected_revision=expected), operation="b"
    )
    accepted, refused = driver.apply(first), driver.apply(second)
    assert accepted.results[0].error == ""
    assert (
        f"found revision {accepted.revision}, expected {expected}"
        in refused.results[0].error
    )
    driver.put(service("marea", "booking", slots=4))
    successor = Driver(read_snapshot(take_snapshot(driver.store)).unwrap())
    successor.index = driver.index
    before = take_snapshot(successor.store)
    assert successor.apply(first) == accepted
    assert successor.apply(second) == refused
    assert take_snapshot(successor.store) == before


def test_an_operation_id_cannot_be_reused_for_another_request():
    driver = start_marea()
    driver.put(service("marea", "docs", 81), operation="x")
    errors = driver.errors(service("marea", "passes", 82), operation="x")
    assert "used for another request" in errors[0]


def test_versions_1_and_2_coexist_and_no_key_is_dropped():
    # Hazard 17. A business has records of both versions. An operator who uses only
    # version 1 overwrites a record with keys of version 2 that it cannot express. The
    # write would silently reset them to the defaults, so it is refused.
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


def test_one_refused_record_refuses_the_whole_request():
    driver = start_marea()
    before = driver.store.list_records()
    errors = driver.errors(service("marea", "docs", 81), service("none", "x", 82))
    assert "not applied: 1 of 2" in errors[0]
    assert "business 'none' does not exist" in errors[1]
    assert driver.store.list_records() == before
    errors = driver.errors(service("marea", "docs", 81), service("marea", "docs", 82))
    assert "stands twice" in errors[1]


@pytest.mark.parametrize(
    ("document", "expected_text"),
    [
        (delete("business", "marea", "marea"), "still owns 2 records"),
        (delete("service", "marea", "booking"), "still has 1 targets"),
        (delete("service", "marea", "docs"), "does not exist"),
    ],
)
def test_a_record_that_others_depend_on_is_not_deleted(document, expected_text):
    driver = start_marea()
    driver.put(drain("marea", "booking", "t1"))
    driver.apply(announce())
    assert expected_text in driver.errors(document)[0]
    driver.apply(set_state(1, None))
    assert (
        "drain 'booking.t1'" in driver.errors(delete("service", "marea", "booking"))[0]
    )
    driver.put(delete("drain", "marea", "booking.t1"))
    driver.put(delete("service", "marea", "booking"))
    assert driver.errors(delete("business", "marea", "marea")) == [""]
    assert driver.store.list_records() == ()


def test_a_service_number_is_never_reused():
    driver = start_marea()
    first = next(iter(driver.store.slices))
    driver.put(delete("service", "marea", "booking"))
    assert driver.store.slices == {}
    driver.put(service("marea", "booking"))
    assert next(iter(driver.store.slices)) > first


def test_an_operator_may_change_only_its_own_business():
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


def test_the_rate_limit_of_one_business_does_not_affect_others():
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
    # A new leader whose clock is a day behind must not refuse changes for a day.
    assert driver.errors(document, now=-86_400.0, token="a") == [""]


def test_a_drained_target_gets_no_new_work_until_the_drain_is_deleted():
    driver = start_marea()
    driver.apply(announce())
    driver.put(drain("marea", "booking", "t1"))
    assert driver.targets() == {1: TargetState.LEAVING}
    driver.put(delete("drain", "marea", "booking.t1"))
    assert driver.targets() == {1: TargetState.READY}


def test_targets_of_an_evacuated_domain_get_no_new_work_until_it_ends():
    driver = start_marea()
    driver.apply(announce())
    assert driver.errors(evacuation("moin-a")) == [""]
    assert driver.targets() == {1: TargetState.LEAVING}
    assert driver.store.list_evacuated_domains() == {"moin-a"}
    assert driver.errors(delete("evacuation", "", "moin-a")) == [""]
    assert driver.targets() == {1: TargetState.READY}


def test_a_target_that_starts_in_an_evacuated_domain_gets_no_new_work():
    # A service that scales up must not get new work in a drained domain.
    driver = start_marea()
    driver.apply(announce())
    driver.put(evacuation("moin-a"))
    driver.apply(announce(name="t2", session="s2", port=7101))
    assert set(driver.targets().values()) == {TargetState.LEAVING}
    restored = read_snapshot(take_snapshot(driver.store)).unwrap()
    assert restored.list_evacuated_domains() == {"moin-a"}
    assert set(Driver(restored).targets().values()) == {TargetState.LEAVING}


def test_an_evacuation_affects_only_services_with_targets_in_the_domain():
    driver = start_marea()
    driver.put(service("marea", "docs", 81))
    driver.apply(announce())
    before = dict(driver.store.slices)
    driver.put(evacuation("moin-a"))
    assert driver.store.slices[2] is before[2]
    assert driver.store.slices[1].revision == driver.index


def test_repeating_an_evacuation_or_its_end_changes_nothing():
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


def test_an_evacuation_of_an_unknown_domain_or_by_a_business_is_refused():
    driver = start_marea()
    driver.apply(announce())
    assert "expected one of: moin-a" in driver.errors(evacuation("moin-z"))[0]
    driver.put(grant("marea", "g", "a"))
    refused = driver.errors(evacuation("moin-a"), token="a")[0]
    assert "administrator" in refused
    assert driver.targets() == {1: TargetState.READY}


def test_a_change_rebuilds_only_the_affected_slices():
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
    for slots in range(1, MAX_ENTRIES_PER_BUSINESS + 20):
        driver.put(service("marea", "booking", slots=slots))
    entries = driver.store.history.list_entries("marea")
    assert len(entries) == MAX_ENTRIES_PER_BUSINESS
    assert entries[-1].before == entries[-2].after
    assert [entry.name for entry in driver.store.history.list_entries("heap")] == [
        "heap"
    ]
