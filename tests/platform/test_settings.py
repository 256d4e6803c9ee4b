"""The platform's settings file is read and validated, and errors name the field."""

import pytest
from hypothesis import given, strategies as st

from ibisshunt.exceptions import SettingsError
from ibisshunt.model.address import Address
from ibisshunt.platform.settings import get_settings_path, read_settings

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
    settings = read_settings(write(tmp_path, AGENT))
    assert settings.internal_address == Address("10.1.0.13", 7720)
    assert settings.internal_rpc_address == Address("10.1.0.13", 7721)
    assert settings.seeds == ("10.1.0.16", "10.2.0.45")
    assert settings.target == Address("10.1.0.13", 8165)
    assert settings.outbound_address == Address("10.1.0.13", 8162)
    assert (
        settings.fault_tolerance,
        settings.max_flow_seconds,
        settings.heartbeat_seconds,
    ) == (
        2,
        45.0,
        1.2,
    )
    assert settings.ready is None


@pytest.mark.parametrize(
    ("old", "new", "reported"),
    [
        ('Ip = "10.1.0.13"', "", "ip"),
        ('Ip = "10.1.0.13"', "Ip = 7", "ip"),
        ("[7720,7735]", "[7735,7735]", "InternalPortRange"),
        ("10.2.0.45:8166", "10.2.0.45", "Seeds"),
        ("10.1.0.13:8162", "here:8162", "outbound"),
        ("[Bounds]", "[Bounds", "line"),
    ],
)
def test_an_invalid_setting_is_named(tmp_path, old, new, reported):
    with pytest.raises(SettingsError) as caught:
        read_settings(write(tmp_path, AGENT.replace(old, new)))
    assert reported.lower() in str(caught.value).lower()


@given(st.text(max_size=60))
def test_any_text_that_is_not_valid_settings_raises_settings_error(
    tmp_path_factory, text
):
    path = tmp_path_factory.mktemp("settings") / "local.toml"
    path.write_text(text, encoding="utf-8", newline="")
    with pytest.raises(SettingsError):
        read_settings(path)


def test_a_missing_variable_is_named(monkeypatch):
    monkeypatch.delenv("IBISSHUNT_NODE_FILE", raising=False)
    with pytest.raises(SettingsError, match="IBISSHUNT_NODE_FILE"):
        get_settings_path()
