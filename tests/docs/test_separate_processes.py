"""The system runs as separate processes, by the very commands of the pages."""

import fnmatch

import pytest

from .pages import Shell, read_commands, read_rows

# In the order in which a new operator reads them: each goes on where the last ended.
WALK = (
    "install.md",
    "first-business.md",
    "targets.md",
    "partition.md",
    "upgrade.md",
)


# A control host, the balancer and the agent that still run then.
ADMIN_PORTS = ("7401", "7411", "7502")


@pytest.fixture
def shell(tmp_path):
    shell = Shell(tmp_path)
    yield shell
    shell.stop()


def test_the_commands_of_the_pages_do_what_the_pages_say(shell):
    # A new operator copies each command of the pages. Three control hosts, a balancer
    # and two agents start as real processes; records, a drain, a frozen control host,
    # a second schema version and graceful stops follow. A page that has drifted from
    # the programs fails at the command that no longer does what it says.
    for page in WALK:
        for command in read_commands(page):
            shell.check(command)
        if page == "partition.md":
            check_metrics(shell)


def check_metrics(shell):
    """Check that the page names every metric that the running processes show."""
    named = read_rows("metrics-and-events.md")
    for port in ADMIN_PORTS:
        shown = shell.list_metrics(port)
        assert shown
        unnamed = {
            name
            for name in shown
            if not any(fnmatch.fnmatchcase(name, pattern) for pattern in named)
        }
        assert unnamed == set()


def test_a_host_with_certificates_and_tokens_refuses_strangers(shell):
    # A stranger without a certificate reads nothing; one with a certificate and a wrong
    # token changes nothing. The same commands with both are accepted.
    for command in read_commands("security.md"):
        shell.check(command)
