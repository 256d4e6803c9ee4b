"""Start programs of the system as processes of their own, for measurements."""

from pathlib import Path

import gevent
import psutil
import urllib3
from gevent import socket
from gevent.server import StreamServer

from .spawning import Program as Spawned

READY_SECONDS = 20.0


def reserve_port():
    """Return a port that is free for TCP and UDP."""
    while True:
        with (
            socket.socket() as stream,
            socket.socket(type=socket.SOCK_DGRAM) as packets,
        ):
            stream.bind(("127.0.0.1", 0))
            try:
                packets.bind(stream.getsockname())
            except OSError:
                continue
            return stream.getsockname()[1]


def make_loopback():
    """Return a free loopback address as text."""
    return f"127.0.0.1:{reserve_port()}"


class Relay:
    """Count the bytes between one node and control."""

    def __init__(self, control):
        self.control = control
        self.sent = self.received = self.reads = 0
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"

    def serve(self, node, _):
        """Copy both ways until one side ends."""
        control = socket.create_connection(self.control)
        back = gevent.spawn(self.copy, control, node, "received")
        self.copy(node, control, "sent")
        back.join()

    def copy(self, source, target, direction):
        """Copy one way."""
        try:
            while data := source.recv(65_536):
                setattr(self, direction, getattr(self, direction) + len(data))
                self.reads += 1
                target.sendall(data)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            return


class Program(Spawned):
    """Own one process of the system and read what it costs."""

    def __init__(self, folder, name, program, settings):
        folder = Path(folder)
        super().__init__(
            program, {"name": name, "failure_domain": "east", **settings}, folder
        )
        self.admin = settings["admin"]
        self.relay = None
        self.start()
        self.kernel_view = psutil.Process(self.pid)

    def read_cpu(self):
        """Return the processor seconds used so far."""
        times = self.kernel_view.cpu_times()
        return times.user + times.system

    def read_memory(self):
        """Return the resident bytes."""
        return self.kernel_view.memory_info().rss

    def wait_until_ready(self):
        """Wait until the process says that it can do its work."""
        with gevent.Timeout(READY_SECONDS):
            while not self.is_ready():
                gevent.sleep(0.1)

    def is_ready(self):
        """Tell whether the process answers that it is ready."""
        assert self.kernel_view.status() != psutil.STATUS_ZOMBIE, f"{self.name} ended"
        try:
            return urllib3.request("GET", f"http://{self.admin}/ready").status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def stop(self):
        """Ask the process to stop and wait for it."""
        try:
            super().stop(timeout=15.0)
        except TimeoutError:
            self.kill()
