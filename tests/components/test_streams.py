from types import SimpleNamespace

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from ibisshunt.components.agent import streams as agent_streams
from ibisshunt.components.balancer import streams as balancer_streams
from ibisshunt.core import Kernel
from ibisshunt.helpers.metrics import Metrics
from ibisshunt.model.address import Address
from ibisshunt.model.target import TargetState
from ibisshunt.protocol.preamble import (
    Preamble,
    PreambleStatus,
    receive_verdict,
    send_preamble,
)
from ibisshunt.settings import AgentSettings, BalancerSettings, TargetSettings
from tests.builders import make_configuration, make_service, make_slice, make_target

ANY = Address("127.0.0.1", 0)


class FakeConfiguration:
    def __init__(self):
        self.subscribers = []

    def subscribe(self, callback):
        self.subscribers.append(callback)

    def publish(self, configuration):
        for callback in self.subscribers:
            callback(configuration)


def find_free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class System:
    """One balancer and one agent per target, on real sockets."""

    def __init__(self, callers=("127.0.0.0/8",), targets=2):
        self.configuration = FakeConfiguration()
        port = find_free_port("127.0.0.1")
        self.service = make_service(address="127.0.0.1", port=port, callers=callers)
        self.servers = [self.start_target(f"t{n}") for n in range(targets)]
        self.agents = [
            self.start_agent(n + 1, server.server_port)
            for n, server in enumerate(self.servers)
        ]
        kernel = self.make_kernel()
        settings = BalancerSettings("b1", "moin-a", (), ANY, ANY)
        self.relay = balancer_streams.setup(kernel, settings)
        self.publish()

    def make_kernel(self, **services):
        kernel = Kernel()
        kernel.register("configuration", self.configuration)
        kernel.register("metrics", Metrics())
        for name, service in services.items():
            kernel.register(name, service)
        return kernel

    @staticmethod
    def start_target(name):
        def answer(connection, _):
            while data := connection.recv(1000):
                connection.sendall(f"{name}:".encode() + data)

        server = StreamServer(("127.0.0.1", 0), answer)
        server.start()
        return server

    def start_agent(self, number, port):
        address = Address("127.0.0.1", find_free_port("127.0.0.1"))
        target = TargetSettings(
            "marea",
            "booking",
            f"booking-{number}",
            "h",
            ANY,
            Address("127.0.0.1", port),
        )
        settings = AgentSettings("a", "moin-a", (), ANY, address, ANY, target)
        announcement = SimpleNamespace(incarnation=number, leaving=False)
        kernel = self.make_kernel(announcement=announcement)
        intake = agent_streams.setup(kernel, settings)
        return SimpleNamespace(
            intake=intake, address=address, announcement=announcement, number=number
        )

    def publish(self, state=TargetState.READY):
        targets = [
            make_target(agent.number, streams=agent.address, state=state)
            for agent in self.agents
        ]
        part = make_slice(self.service, *targets)
        self.configuration.publish(make_configuration(part))

    def ask(self, data=b"hello"):
        address = (self.service.address, self.service.port)
        with socket.create_connection(address) as caller:
            caller.sendall(data)
            caller.shutdown(socket.SHUT_WR)
            received = b""
            while part := caller.recv(1000):
                received += part
            return received


def test_streams_are_spread_over_both_targets():
    system = System()
    answers = {system.ask() for _ in range(30)}
    assert answers == {b"t0:hello", b"t1:hello"}


def test_a_leaving_target_gets_no_new_stream_from_a_stale_balancer():
    # A target is leaving and the balancer does not know yet. The agent refuses the
    # stream before any data is sent, so the balancer offers it to the next agent and
    # the caller gets that target's answer.
    system = System()
    system.agents[0].announcement.leaving = True
    assert {system.ask() for _ in range(20)} == {b"t1:hello"}


def test_streams_continue_when_every_target_is_suspect():
    # All leases expire at once: control is unreachable rather than all targets down, so
    # suspect targets must still get streams.
    system = System()
    system.publish(state=TargetState.SUSPECT)
    assert {system.ask() for _ in range(30)} == {b"t0:hello", b"t1:hello"}


def test_a_caller_that_is_not_allowed_is_reset():
    system = System(callers=("10.0.0.0/8",))
    with pytest.raises(ConnectionError):
        system.ask()


def test_a_stream_for_an_earlier_incarnation_is_not_delivered():
    # The address of the target was reassigned and the balancer still uses the earlier
    # incarnation: the caller must get a reset and not an answer of another target.
    system = System(targets=1)
    system.agents[0].announcement.incarnation = 99
    with pytest.raises(ConnectionError):
        system.ask()
    assert system.agents[0].intake.dump()["verdicts"] == {"wrong_incarnation": 1}


def test_a_removed_service_gets_no_new_stream_and_open_ones_continue():
    # The service's record is removed while a stream is open: the listener closes and
    # the open stream continues.
    system = System()
    address = (system.service.address, system.service.port)
    caller = socket.create_connection(address)
    caller.sendall(b"one")
    assert caller.recv(100).endswith(b":one")
    system.configuration.publish(make_configuration(revision=2))
    with pytest.raises(ConnectionError):
        system.ask()
    caller.sendall(b"two")
    assert caller.recv(100).endswith(b":two")
    caller.close()


def test_a_planned_stop_of_a_balancer_waits_for_its_streams():
    # The balancer is stopped while a stream is open: the listener closes, and the stop
    # returns only after the caller has received its complete answer.
    system = System()
    address = (system.service.address, system.service.port)
    caller = socket.create_connection(address)
    caller.sendall(b"one")
    assert caller.recv(100).endswith(b":one")
    stop = gevent.spawn(system.relay.stop)
    gevent.sleep(0.05)
    assert not stop.ready()
    caller.sendall(b"two")
    assert caller.recv(100).endswith(b":two")
    caller.close()
    stop.get(timeout=10)


def test_a_planned_stop_waits_for_a_stream_that_is_being_offered():
    # The balancer is stopped after it accepted a stream and before the agent has
    # answered the offer. The agent accepts, and the caller must get its answer.
    system = System(targets=1)
    check_started, check_released = Event(), Event()
    check = system.agents[0].intake._check_preamble

    def delayed_check(preamble):
        check_started.set()
        check_released.wait(10)
        return check(preamble)

    system.agents[0].intake._check_preamble = delayed_check
    answer = gevent.spawn(system.ask)
    assert check_started.wait(10)
    stop = gevent.spawn(system.relay.stop)
    gevent.sleep(0.05)
    assert not stop.ready()
    check_released.set()
    assert answer.get(timeout=10) == b"t0:hello"
    stop.get(timeout=10)


def test_a_change_during_a_planned_stop_opens_no_listener():
    # A configuration that arrives while the balancer stops must not reopen the
    # listeners: a new caller is refused at once.
    system = System()
    system.relay.stop()
    system.publish()
    with pytest.raises(ConnectionError):
        system.ask()


def test_a_listener_that_could_not_be_opened_is_retried(monkeypatch):
    # The address of a service is in use when the configuration arrives and is released
    # later without another change: the listener must then be opened.
    monkeypatch.setattr(balancer_streams, "LISTEN_RETRY_SECONDS", 0.05)
    system = System()
    system.configuration.publish(make_configuration(revision=2))
    with socket.socket() as other:
        other.bind((system.service.address, system.service.port))
        other.listen(1)
        system.publish()
        assert system.relay.dump()["listeners"] == []
    with gevent.Timeout(10):
        while not system.relay.dump()["listeners"]:
            gevent.sleep(0.02)
    assert system.ask().endswith(b":hello")


def test_a_malformed_preamble_is_counted_and_the_agent_keeps_serving():
    system = System(targets=1)
    with socket.create_connection(system.agents[0].address.as_pair()) as client:
        client.sendall(b"\x00\x04oops")
        client.recv(1)
    assert system.agents[0].intake.dump()["verdicts"] == {"malformed": 1}
    assert system.ask() == b"t0:hello"


def test_a_preamble_with_an_invalid_caller_is_refused_and_the_agent_keeps_serving():
    system = System(targets=1)
    agent = system.agents[0]
    preamble = Preamble(system.service.number, 1, 1, Address("not an address", 1))
    with socket.create_connection(agent.address.as_pair()) as client:
        send_preamble(client, preamble)
        assert receive_verdict(client, 5).unwrap() == PreambleStatus.MALFORMED
    assert system.ask() == b"t0:hello"
