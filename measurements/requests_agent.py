"""Run the request front of one agent as a process of its own, for measurements.

The measurement writes one configuration a line to the standard input.
"""

from gevent import monkey

monkey.patch_all()

import grpc.experimental.gevent as grpc_gevent

grpc_gevent.init_gevent()

import sys

import msgspec
from gevent.fileobject import FileObject
from gevent.server import StreamServer

from ibisshunt.components.requests import setup
from ibisshunt.core import Kernel
from ibisshunt.model.address import Address, parse_address
from ibisshunt.model.configuration import Configuration, ServiceSlice
from ibisshunt.settings import AgentSettings, TargetSettings

ANY = Address("127.0.0.1", 0)


class PipedConfiguration:
    """Hold the configuration that came last."""

    def __init__(self):
        self.current = Configuration()
        self._callbacks = []

    def subscribe(self, callback):
        """Call back at once and after each change."""
        self._callbacks.append(callback)
        callback(self.current)

    def put(self, part):
        """Put a slice in force."""
        self.current = Configuration(part.revision, {part.number: part})
        for callback in self._callbacks:
            callback(self.current)


class PipedAnnouncement:
    """Hold what control would have answered."""

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.leaving = False
        self.agent_session = ""


def main():
    """Serve until the standard input ends."""
    name, domain, incarnation, target = sys.argv[1:5]
    kernel = Kernel()
    configuration = PipedConfiguration()
    kernel.register("configuration", configuration)
    kernel.register("announcement", PipedAnnouncement(int(incarnation)))
    address = parse_address(target).unwrap()
    place = TargetSettings("marea", "booking", name, name, ANY, address)
    settings = AgentSettings(name, domain, (ANY,), ANY, ANY, ANY, place, rpc=ANY)
    requests = setup(kernel, settings)
    server = StreamServer(
        ("127.0.0.1", 0),
        lambda connection, pair: requests.http_server.handle(
            connection, Address(*pair)
        ),
    )
    server.start()
    print(requests.peer_server.address.port, server.server_port, flush=True)
    for line in FileObject(sys.stdin.buffer, "rb"):
        configuration.put(msgspec.json.decode(line, type=ServiceSlice))
    server.stop()
    kernel.stop()


if __name__ == "__main__":
    main()
