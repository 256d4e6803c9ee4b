import gevent
import pytest
from click.testing import CliRunner
from gevent.pywsgi import WSGIServer

from ibisshunt.components.load import load


@pytest.fixture
def concurrency():
    return []


@pytest.fixture
def server(concurrency):
    running = []

    def serve(environ, start_response):
        path = environ["PATH_INFO"]
        if path == "/slow":
            running.append(1)
            concurrency.append(len(running))
            gevent.sleep(0.05)
            running.pop()
        if path == "/refuse":
            start_response("503 No", [("Ibisshunt-Outcome", "not-run")])
            return [b""]
        start_response("200 OK", [("Ibisshunt-Outcome", "done")])
        return [environ.get("HTTP_IDEMPOTENCY_KEY", "").encode()]

    started = WSGIServer(("127.0.0.1", 0), serve, log=None)
    started.start()
    yield f"127.0.0.1:{started.server_port}"
    started.stop()


def run(*arguments):
    return CliRunner().invoke(load, [*arguments])


def test_the_report_counts_each_outcome_and_the_plot_is_written(server, tmp_path):
    plot = tmp_path / "load.svg"
    result = run(server, "--rate", "500", "--count", "40", "--plot", str(plot))
    assert result.exit_code == 0, result.output
    assert "sent 40" in result.output
    assert "done              40 100.0%" in result.output
    assert plot.read_bytes().lstrip().startswith(b"<?xml")


def test_refused_requests_are_counted_under_their_outcome(server):
    result = run(server, "--rate", "500", "--count", "10", "--path", "/refuse")
    assert "not-run           10 100.0%" in result.output


def test_arrivals_do_not_wait_for_answers(server, concurrency):
    # A closed loop would have one request in flight, an open loop has many.
    result = run(server, "--rate", "2000", "--count", "20", "--path", "/slow")
    assert "sent 20" in result.output
    assert max(concurrency) > 5


def test_the_load_ends_at_its_time_limit(server):
    result = run(server, "--rate", "20", "--count", "1000", "--seconds", "0.3")
    sent = int(result.output.split("sent ")[1].split()[0])
    assert 0 <= sent < 30


@pytest.mark.parametrize(
    "arguments", [("nowhere",), ("127.0.0.1:1", "--rate", "0"), ()]
)
def test_bad_input_is_refused_with_a_clear_error(arguments):
    result = run(*arguments)
    assert result.exit_code == 2
    assert "Error" in result.output


def test_requests_to_an_unreachable_service_are_counted_as_broken():
    result = run("127.0.0.1:1", "--rate", "500", "--count", "5")
    assert "broken             5 100.0%" in result.output
