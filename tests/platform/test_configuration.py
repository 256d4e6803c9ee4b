"""A configuration is accepted as a whole or rejected."""

import copy
import json

import pytest
from hypothesis import given, strategies as st

from ibisshunt.coordination.forwarding.routes import WeightedService, choose_service
from ibisshunt.exceptions import ConfigurationError
from ibisshunt.platform.configuration import read_configuration

VIP = bytes((198, 18, 0, 1)) + (8080).to_bytes(2, "big")
SPLIT_VIP = bytes((198, 18, 0, 1)) + (8443).to_bytes(2, "big")
VALID = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r-1",
            "Hostname": "198.18.0.1",
            "PathPrefix": "/8080/",
            "Type": "non_idempotent",
            "TimeoutMs": 2500,
            "TargetLatencyMs": 283,
            "Priority": 1,
            "Service": "huvo11a",
            "MaxAttempts": 2,
        },
        {
            "Name": "r-2",
            "Hostname": "198.18.0.1",
            "PathPrefix": "/8443/",
            "Type": "idempotent",
            "TimeoutMs": 2000,
            "TrafficSplit": [
                {"Service": "huvo11a", "Weight": 90},
                {"Service": "wuno96b", "Weight": 10},
            ],
        },
    ],
    "Services": [{"Name": "huvo11a"}, {"Name": "wuno96b"}],
    "Limits": {"IdleTimeoutMs": 15000},
}


def change(path, value):
    """Return the valid body with one field changed, or removed if ``...`` is given."""
    document = copy.deepcopy(VALID)
    parent = document
    for part in path[:-1]:
        parent = parent[part]
    if value is ...:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    return json.dumps(document).encode()


def test_a_valid_configuration_is_read():
    table = read_configuration(json.dumps(VALID).encode())
    assert table.version == 7
    route = table.find(VIP)
    assert route.weighted_services == (WeightedService("huvo11a", 1),)
    assert not route.retryable
    assert table.find(SPLIT_VIP).retryable
    assert table.find(bytes(6)) is None


def test_a_traffic_split_gives_each_service_its_share():
    table = read_configuration(json.dumps(VALID).encode())
    route = table.find(SPLIT_VIP)
    chosen = [
        choose_service(route, number.to_bytes(12, "big")) for number in range(2000)
    ]
    assert 0.07 < chosen.count("wuno96b") / 2000 < 0.13


@pytest.mark.parametrize(
    "body",
    [
        json.dumps(VALID).encode()[:-20],
        b"",
        b"[]",
        change(("Version",), 0),
        change(("Version",), ...),
        change(("Version",), "7"),
        change(("Routes",), ...),
        change(("Services",), ...),
        change(("Routes", 0, "Service"), "unknown"),
        change(("Routes", 1, "TrafficSplit", 0, "Service"), "unknown"),
        change(("Routes", 0, "TimeoutMs"), 0),
        change(("Routes", 0, "TimeoutMs"), ...),
        change(("Routes", 0, "PathPrefix"), "/8443/"),
        change(("Routes", 0, "PathPrefix"), "/x/"),
        change(("Routes", 0, "Hostname"), "name.example"),
        change(("Routes", 0, "Service"), ...),
        change(("Routes", 1, "TrafficSplit", 0, "Weight"), ...),
        change(("Routes", 1, "TrafficSplit", 0, "Weight"), -1),
        change(
            ("Routes", 1, "TrafficSplit"),
            [{"Service": "huvo11a", "Weight": 0}, {"Service": "wuno96b", "Weight": 0}],
        ),
    ],
)
def test_an_invalid_configuration_is_rejected(body):
    with pytest.raises(ConfigurationError):
        read_configuration(body)


@given(st.binary(max_size=200))
def test_random_bytes_are_rejected(body):
    with pytest.raises(ConfigurationError):
        read_configuration(body)


@given(st.data())
def test_a_truncated_configuration_is_rejected(data):
    body = json.dumps(VALID).encode()
    size = data.draw(st.integers(0, len(body) - 1))
    with pytest.raises(ConfigurationError):
        read_configuration(body[:size])
