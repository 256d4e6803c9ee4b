import json

import pytest
from click.testing import CliRunner

from ibisshunt.cli.operator import main
from ibisshunt.components.consensus import ReplicatedLogOptions
from ibisshunt.components.control import setup
from ibisshunt.core import Kernel
from ibisshunt.model.address import Address
from ibisshunt.model.target import Announcement
from ibisshunt.protocol.messages import (
    ANNOUNCE,
    REPORT,
    AnnounceRequest,
    ReportRequest,
)
from ibisshunt.protocol.rpc import Channel
from ibisshunt.settings import ControlSettings
from tests.builders import BUSINESS_DOCUMENT, SERVICE_DOCUMENT


class Operator:
    """Run the operator's command against a control host of its own."""

    def __init__(self, folder):
        self.folder = folder
        self.kernel = Kernel()
        loopback = Address("127.0.0.1", 0)
        data = str(folder / "data")
        settings = ControlSettings("c1", "d", loopback, loopback, data)
        self.control = setup(
            self.kernel, settings, ReplicatedLogOptions(reserved_bytes=0)
        )
        self.control.host.log.read_barrier(20.0).unwrap()

    def run(self, *arguments, code=0):
        control = ("--control", str(self.control.address))
        result = CliRunner().invoke(main, [*control, *arguments])
        assert result.exit_code == code, result.output
        return result.output

    def write(self, *documents):
        path = self.folder / "records.json"
        path.write_text("// records\n" + json.dumps(documents))
        return str(path)

    def report(self, node, revision):
        channel = Channel(self.control.address)
        channel.call(REPORT, ReportRequest(node, "balancer", revision))
        channel.close()


@pytest.fixture
def operator(tmp_path):
    command = Operator(tmp_path)
    yield command
    command.kernel.stop()


def test_apply_waits_and_names_the_node_that_lags(operator):
    # Hazard 18. A change was accepted, and one balancer has not applied it. The command
    # must name that balancer, and not report success.
    path = operator.write(BUSINESS_DOCUMENT, SERVICE_DOCUMENT)
    operator.report("b1", 1_000)
    assert "in force on 1 nodes" in operator.run("apply", path, "--wait")
    operator.report("b2", 1)
    path = operator.write({**SERVICE_DOCUMENT, "slots": 2})
    output = operator.run("apply", path, "--wait", "--timeout", "0.3", code=1)
    assert "node b2 lags" in output
    assert "b1" not in output


def test_history_and_diff_show_what_changed(operator):
    operator.run("apply", operator.write(BUSINESS_DOCUMENT, SERVICE_DOCUMENT))
    path = operator.write({**SERVICE_DOCUMENT, "slots": 2})
    shown = operator.run("diff", path)
    assert '+ "slots": 2' in shown
    operator.run("apply", path)
    assert operator.run("diff", path) == ""
    lines = operator.run("history", "marea").splitlines()
    assert [line.split()[2] for line in lines] == ["created", "created", "changed"]
    since = lines[1].split()[0].removeprefix("revision=")
    assert "slots" in operator.run("diff", "--since", since)


def test_the_same_operation_runs_once(operator):
    operator.run("apply", operator.write(BUSINESS_DOCUMENT, SERVICE_DOCUMENT))
    path = operator.write({**SERVICE_DOCUMENT, "slots": 2})
    first = operator.run("apply", path, "--operation", "x")
    operator.run("apply", operator.write({**SERVICE_DOCUMENT, "slots": 3}))
    path = operator.write({**SERVICE_DOCUMENT, "slots": 2})
    assert operator.run("apply", path, "--operation", "x") == first
    assert '"slots\\": 3' in operator.run("get", "service", "marea", "booking")


def announce(operator):
    """Announce a target of the booking service in failure domain moin-a."""
    operator.run("apply", operator.write(BUSINESS_DOCUMENT, SERVICE_DOCUMENT))
    address = Address("127.0.0.1", 7001)
    announcement = Announcement(
        "marea", "booking", "t1", "s1", "h1", "moin-a", address, address, address
    )
    channel = Channel(operator.control.address)
    channel.call(ANNOUNCE, AnnounceRequest(announcement))
    channel.close()


def test_a_failure_domain_is_evacuated_and_taken_back(operator):
    announce(operator)
    operator.report("b1", 1_000)
    output = operator.run("evacuate", "moin-a", "--start", "--wait")
    assert "in force on 1 nodes" in output
    shown = operator.run("status")
    assert "failure domain moin-a EVACUATED" in shown
    assert "t1 leaving" in shown
    assert "evacuation /moin-a" in operator.run("list")
    operator.run("evacuate", "moin-a", "--end")
    assert "EVACUATED" not in operator.run("status")
    operator.run("evacuate", "moin-a", "--end")


def test_an_evacuation_names_what_is_wrong(operator):
    announce(operator)
    assert "--start" in operator.run("evacuate", "moin-a", code=2)
    output = operator.run("evacuate", "moin-z", "--start", code=1)
    assert "moin-z" in output
    assert "expected one of: moin-a" in output


def test_a_drain_is_put_and_taken_back(operator):
    operator.run("apply", operator.write(BUSINESS_DOCUMENT, SERVICE_DOCUMENT))
    operator.run("drain", "marea", "booking", "t1")
    assert "drain marea/booking.t1" in operator.run("list", "marea")
    operator.run("drain", "marea", "booking", "t1", "--undo")
    assert "drain" not in operator.run("list", "marea")


def test_a_refused_record_ends_with_an_error(operator):
    output = operator.run(
        "apply", operator.write({**SERVICE_DOCUMENT, "port": 0}), code=1
    )
    assert "key port: found 0, expected an integer 1-65535" in output
    assert "nothing" in operator.run("apply", operator.write({}), code=1)
