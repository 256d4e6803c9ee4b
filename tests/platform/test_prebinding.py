"""Each program binds the sockets that its settings name before its imports."""

import pytest

from ibisshunt.helpers import prebound_sockets
from ibisshunt.platform.prebinding import SETTINGS_PATH_VARIABLE, prebind_sockets

SETTINGS = """
Ip = "127.7.6.1"
InternalPortRange = [17520, 17530]
[ListenAddrs]
UdpAddr = "127.7.6.1:17572"
ReadyAddr = "127.7.6.1:17567"
outbound = "127.7.6.1:17562"
Control = "127.7.6.1:17566"
"""


@pytest.fixture
def path(tmp_path, monkeypatch):
    settings_path = tmp_path / "node.toml"
    monkeypatch.setenv(SETTINGS_PATH_VARIABLE, str(settings_path))
    return settings_path


def pop_prebound_ports():
    """Return the ports of the sockets that were bound, and close the sockets."""
    ports = []
    for sockets in (
        prebound_sockets._datagram_sockets,
        prebound_sockets._stream_listeners,
    ):
        for address in sorted(sockets):
            ports.append(address[1])
            sockets.pop(address).close()
    return ports


@pytest.mark.parametrize(
    ("program", "ports"),
    [
        ("balancer", [17520, 17572, 17567]),
        ("agent", [17520, 17562, 17566]),
        ("control", [17520]),
    ],
)
def test_each_program_binds_its_own_listen_addresses(path, program, ports):
    path.write_text(SETTINGS)
    prebind_sockets(program)
    assert pop_prebound_ports() == ports


@pytest.mark.parametrize(
    "text",
    [
        "",
        "Ip = 3",
        'Ip = "127.7.6.1"\nInternalPortRange = []',
        'Ip = "127.7.6.1"\nInternalPortRange = ["a", "b"]',
        'Ip = "127.7.6.1"\nInternalPortRange = [99999999, 1]',
        '[ListenAddrs\nbroken = "',
    ],
)
def test_invalid_settings_bind_nothing_and_raise_nothing(path, text):
    # They are validated, and errors reported, when the program reads them as a whole.
    path.write_text(text)
    prebind_sockets("agent")
    assert pop_prebound_ports() == []


def test_missing_settings_bind_nothing(path):
    prebind_sockets("agent")
    assert pop_prebound_ports() == []
