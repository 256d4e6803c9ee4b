"""Which sockets the settings let a program open before it is loaded."""

import pytest

from ibisshunt.helpers import early
from ibisshunt.platform.early import PATH_VARIABLE, open_early

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
    found = tmp_path / "node.toml"
    monkeypatch.setenv(PATH_VARIABLE, str(found))
    return found


def take_all():
    """Return which sockets were opened, and close them."""
    found = []
    for table in (early._datagram, early._stream):
        for pair in sorted(table):
            found.append(pair[1])
            table.pop(pair).close()
    return found


@pytest.mark.parametrize(
    ("program", "ports"),
    [
        ("balancer", [17520, 17572, 17567]),
        ("agent", [17520, 17562, 17566]),
        ("control", [17520]),
    ],
)
def test_each_program_opens_what_it_is_called_at(path, program, ports):
    path.write_text(SETTINGS)
    open_early(program)
    assert take_all() == ports


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
def test_wrong_settings_open_nothing_and_raise_nothing(path, text):
    # They are checked, and told, when the program reads them as a whole.
    path.write_text(text)
    open_early("agent")
    assert take_all() == []


def test_missing_settings_open_nothing(path):
    open_early("agent")
    assert take_all() == []
