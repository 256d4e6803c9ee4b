"""Run all agents of one HTTP service in one process, over real sockets."""

import contextlib
import http.client
import itertools
import socket
import time

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer

from ibisshunt.components.requests import setup
from ibisshunt.core import Kernel
from ibisshunt.model.address import Address
from ibisshunt.model.configuration import Configuration, ServiceSlice
from ibisshunt.model.flow import Protocol
from ibisshunt.model.record import FrontKind, RequestPolicy, Service
from ibisshunt.model.target import Announcement, Target, TargetState
from ibisshunt.settings import AgentSettings, TargetSettings

LOOPBACK = "127.0.0.1"
ANY = Address(LOOPBACK, 0)
SESSIONS = itertools.count(1)


class FakeTarget:
    """Serve requests: record each body, then wait for ``gate`` before the response."""

    def __init__(self):
        self.run_bodies = []
        self.environs = []
        self.running_count = 0
        self.max_running_count = 0
        self.cut = 0
        self.gate = Event()
        self.gate.set()
        self.seconds = 0.0
        self.refusing = False
        self.mode = "whole"
        self.server = WSGIServer((LOOPBACK, 0), self.serve, log=None, error_log=None)
        self.server.start()
        self.address = Address(LOOPBACK, self.server.server_port)

    def serve(self, environ, start):
        body = environ["wsgi.input"].read()
        self.environs.append(environ)
        self.running_count += 1
        self.max_running_count = max(self.max_running_count, self.running_count)
        try:
            yield from self.answer(environ, start, body)
        finally:
            self.running_count -= 1

    def answer(self, environ, start, body):
        if self.refusing:
            start("503 Service Unavailable", [("Content-Length", "0")])
            return
        self.run_bodies.append(body)
        self.gate.wait()
        gevent.sleep(self.seconds)
        reply = b"answer to " + (body or environ["PATH_INFO"].encode())
        if self.mode == "short":
            start("200 OK", [("Content-Length", str(len(reply) + 10))])
            yield reply
        elif self.mode == "feed":
            start("200 OK", [("Content-Type", "text/event-stream")])
            yield b"data: 1\n\n"
            while True:
                gevent.sleep(0.01)
                yield b"data: 2\n\n"
        else:
            start("200 OK", [("Content-Length", str(len(reply)))])
            yield reply


class FakeConfiguration:
    def __init__(self):
        self.current = Configuration()
        self.callbacks = []

    def subscribe(self, callback):
        self.callbacks.append(callback)
        callback(self.current)

    def put(self, configuration):
        self.current = configuration
        for callback in self.callbacks:
            callback(configuration)


class FakeAnnouncement:
    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.leaving = False
        self.agent_session = f"process {next(SESSIONS)}"


class Agent:
    """Run one agent with its target, and a port that replaces its stream relay."""

    def __init__(self, name, domain, incarnation, target=None):
        self.target = target or FakeTarget()
        self.name, self.domain, self.incarnation = name, domain, incarnation
        self.kernel = Kernel()
        self.configuration = FakeConfiguration()
        self.announcement = FakeAnnouncement(incarnation)
        self.kernel.register("configuration", self.configuration)
        self.kernel.register("announcement", self.announcement)
        settings = AgentSettings(
            name,
            domain,
            (ANY,),
            ANY,
            ANY,
            ANY,
            TargetSettings("marea", "booking", name, name, ANY, self.target.address),
            rpc=ANY,
        )
        self.requests = setup(self.kernel, settings)
        self.server = StreamServer((LOOPBACK, 0), self.accept)
        self.server.start()
        self.port = self.server.server_port

    def accept(self, connection, pair):
        self.requests.http_server.handle(connection, Address(*pair))

    def describe(self, state=TargetState.READY):
        announcement = Announcement(
            "marea",
            "booking",
            self.name,
            "s",
            self.name,
            self.domain,
            ANY,
            ANY,
            ANY,
            rpc=self.requests.peer_server.address,
            agent_session=self.announcement.agent_session,
        )
        return Target(announcement, self.incarnation, state, 0.0)

    def kill(self):
        """Stop like a killed process: all connections are cut without a shutdown."""
        self.server.close()
        self.requests.peer_server._server._server.stop(0).wait()
        gevent.killall(self.requests._tasks)
        self.requests.dispatcher.peers.close()


class RequestService:
    """Run the agents of one service and publish its configuration."""

    def __init__(self, size=3, slots=1, **policy):
        self.agents = [
            Agent(f"t{number}", f"d{number % 3}", number + 1) for number in range(size)
        ]
        self.slots = slots
        self.policy = RequestPolicy(**policy)
        self.revision = 0
        self.left_revision = 0
        self.states = {}
        self.publish()

    def publish(self):
        self.revision += 1
        service = Service(
            "marea",
            "booking",
            LOOPBACK,
            80,
            Protocol.TCP,
            (),
            slots=self.slots,
            front=FrontKind.HTTP,
            requests=self.policy,
            number=7,
        )
        targets = tuple(
            agent.describe(self.states.get(agent.incarnation, TargetState.READY))
            for agent in self.agents
        )
        slice_ = ServiceSlice(service, targets, self.revision, self.left_revision)
        for agent in self.agents:
            agent.configuration.put(Configuration(self.revision, {7: slice_}))

    def remove(self, agent):
        self.agents.remove(agent)
        self.left_revision = self.revision + 1
        self.publish()

    def wait_until_open(self):
        wait_for(
            lambda: all(agent.requests.ledger_service.is_open for agent in self.agents)
        )

    def close(self):
        for agent in self.agents:
            agent.target.gate.set()
            agent.kill()


def wait_for(condition, seconds=6.0):
    """Wait until a condition holds; fail after ``seconds``."""
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "condition did not hold in time"
        gevent.sleep(0.005)


@contextlib.contextmanager
def connect(agent):
    connection = http.client.HTTPConnection(LOOPBACK, agent.port, timeout=15)
    try:
        yield connection
    finally:
        connection.close()


def send(agent, method="POST", path="/swap", body=b"", **headers):
    """Send one request; return status, headers and body of its response."""
    with connect(agent) as connection:
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        connection.request(method, path, body or None, names)
        response = connection.getresponse()
        return response.status, response.headers, response.read()


def open_raw(agent, data):
    connection = socket.create_connection((LOOPBACK, agent.port))
    connection.sendall(data)
    return connection
