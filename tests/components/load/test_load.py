import gevent
import pytest
from click.testing import CliRunner
from gevent.pywsgi import WSGIServer

from ibisshunt.components.load import load


@pytest.fixture
def most():
    return []


@pytest.fixture
def server(most):
    running = []

    def serve(environ, start):
        kind = environ["PATH_INFO"]
        if kind == "/slow":
            running.append(1)
            most.append(len(running))
            gevent.sleep(0.05)
            running.pop()
        if kind == "/refuse":
            start("503 No", [("Ibisshunt-Outcome", "not-run")])
            return [b""]
        start("200 OK", [("Ibisshunt-Outcome", "done")])
        return [environ.get("HTTP_IDEMPOTENCY_KEY", "").encode()]

    made = WSGIServer(("127.0.0.1", 0), serve, log=None)
    made.start()
    yield f"127.0.0.1:{made.server_port}"
    made.stop()


def run(*arguments):
    return CliRunner().invoke(load, [*arguments])


def test_the_report_counts_each_outcome_and_the_plot_is_written(server, tmp_path):
    plot = tmp_path / "load.svg"
    found = run(server, "--rate", "500", "--count", "40", "--plot", str(plot))
    assert found.exit_code == 0, found.output
    assert "sent 40" in found.output
    assert "done              40 100.0%" in found.output
    assert plot.read_bytes().lstrip().startswith(b"<?xml")


def test_refusals_are_told_apart(server):
    found = run(server, "--rate", "500", "--count", "10", "--path", "/refuse")
    assert "not-run           10 100.0%" in found.output


def test_arrivals_do_not_wait_for_answers(server, most):
    # A closed loop would have one under way; the open one has many.
    found = run(server, "--rate", "2000", "--count", "20", "--path", "/slow")
    assert "sent 20" in found.output
    assert max(most) > 5


def test_the_load_ends_with_its_time(server):
    found = run(server, "--rate", "20", "--count", "1000", "--seconds", "0.3")
    sent = int(found.output.split("sent ")[1].split()[0])
    assert 0 <= sent < 30


@pytest.mark.parametrize(
    "arguments", [("nowhere",), ("127.0.0.1:1", "--rate", "0"), ()]
)
def test_bad_input_is_refused_with_a_clear_error(arguments):
    found = run(*arguments)
    assert found.exit_code == 2
    assert "Error" in found.output


def test_a_service_that_is_not_there_is_broken_not_done():
    found = run("127.0.0.1:1", "--rate", "500", "--count", "5")
    assert "broken             5 100.0%" in found.output
