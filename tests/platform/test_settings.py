"""The platform's settings file is read, checked and explained."""

import pytest
from hypothesis import given, strategies as st

from ibisshunt.exceptions import SettingsError
from ibisshunt.model.address import Address
from ibisshunt.platform.settings import find_path, read_settings

AGENT = """
NodeName = "side-a-1"
Ip = "10.1.0.13"
Zone = "a"
InternalPortRange = [7720,7735]
Seeds = ["10.1.0.16:8166","10.2.0.45:8166"]
Bootstrap = true
HeartbeatMs = 1200
app = "10.1.0.13:8165"
Service = "huvo11a"
NewField = { x = 1 }
[ListenAddrs]
UdpAddr = "10.1.0.13:8172"
outbound = "10.1.0.13:8162"
Control = "10.1.0.13:8166"
[FaultTolerance]
Machines = 2
[Bounds]
MaxFlowS = 45
"""


def write(tmp_path, text):
    path = tmp_path / "local.toml"
    path.write_text(text)
    return path


def test_the_settings_are_translated(tmp_path):
    found = read_settings(write(tmp_path, AGENT))
    assert found.inner == Address("10.1.0.13", 7720)
    assert found.inner_calls == Address("10.1.0.13", 7721)
    assert found.seeds == ("10.1.0.16", "10.2.0.45")
    assert found.target == Address("10.1.0.13", 8165)
    assert found.outward == Address("10.1.0.13", 8162)
    assert (found.losses, found.max_flow, found.heartbeat) == (2, 45.0, 1.2)
    assert found.ready is None


@pytest.mark.parametrize(
    ("old", "new", "told"),
    [
        ('Ip = "10.1.0.13"', "", "ip"),
        ('Ip = "10.1.0.13"', "Ip = 7", "ip"),
        ("[7720,7735]", "[7735,7735]", "InternalPortRange"),
        ("10.2.0.45:8166", "10.2.0.45", "Seeds"),
        ("10.1.0.13:8162", "here:8162", "outbound"),
        ("[Bounds]", "[Bounds", "line"),
    ],
)
def test_a_wrong_setting_is_named(tmp_path, old, new, told):
    with pytest.raises(SettingsError) as caught:
        read_settings(write(tmp_path, AGENT.replace(old, new)))
    assert told.lower() in str(caught.value).lower()


@given(st.text(max_size=60))
def test_any_text_is_read_or_explained(tmp_path_factory, text):
    path = tmp_path_factory.mktemp("settings") / "local.toml"
    path.write_text(text, encoding="utf-8", newline="")
    with pytest.raises(SettingsError):
        read_settings(path)


def test_a_missing_variable_is_named(monkeypatch):
    monkeypatch.delenv("IBISSHUNT_NODE_FILE", raising=False)
    with pytest.raises(SettingsError, match="IBISSHUNT_NODE_FILE"):
        find_path()
