"""Clients and an operator that use the system while faults come."""

import json
import random
import threading
import time

from .standin import CONTROL, PLACE, SERVICE, Client, call

OTHER_SERVICE = "wuno96b"
OTHER_PLACE = ("198.18.0.2", 8443)
SERVICES = ((SERVICE, PLACE), (OTHER_SERVICE, OTHER_PLACE))
PUT, GET = "/-/config/put", "/-/config/get"
TRIES = 3


def make_config(version):
    """Return a configuration with one route more for each version."""
    places = [(service, *place) for service, place in SERVICES]
    places += [(SERVICE, "198.18.1.1", 1000 + extra) for extra in range(version % 50)]
    routes = [
        {
            "Name": f"r-{number}",
            "Hostname": host,
            "PathPrefix": f"/{port}/",
            "Type": "non_idempotent",
            "TimeoutMs": 3000,
            "TargetLatencyMs": 500,
            "Service": service,
        }
        for number, (service, host, port) in enumerate(places)
    ]
    names = [{"Name": service} for service, _ in SERVICES]
    return {"Version": version, "Routes": routes, "Services": names}


class Actor(threading.Thread):
    """Run until it is told to stop."""

    def __init__(self, seed, record):
        super().__init__(daemon=True)
        self.random = random.Random(seed)
        self.record = record
        self.stopping = threading.Event()

    def run(self):
        """Act again and again."""
        while not self.stopping.is_set():
            self.act()

    def end(self):
        """Stop, and wait for the last act."""
        self.stopping.set()
        self.join()


class Caller(Actor):
    """Open a flow, send requests over it through any balancer, and check answers."""

    def __init__(self, seed, record, ip, fronts):
        super().__init__(seed, record)
        self._client = Client(ip, patience=0.4)
        self._fronts = fronts
        self._port = 20_000
        self._number = 0

    def act(self):
        """Use one flow."""
        self._port += 1
        service, place = self.random.choice(SERVICES)
        name = self._draw_name()
        opened = self._open(place)
        if opened is None or opened.resets:
            self.record.not_run.add(name)
            time.sleep(0.05)
            return
        sent = got = 0
        for _ in range(self.random.randint(1, 12)):
            answer, size = self._ask(opened, name, place, sent, got)
            if answer is None or answer.resets:
                self._note_loss(answer, service)
                return
            self.record.check_answer(service, name, _read_body(answer))
            sent, got = sent + size, got + len(answer.data)
            name = self._draw_name()
            time.sleep(self.random.uniform(0.0, 0.1))
            if self.stopping.is_set():
                return

    def end(self):
        """Stop and close the socket."""
        super().end()
        self._client.close()

    def _draw_name(self):
        self._number += 1
        return f"{self._client.ip}-{self._number}"

    def _open(self, place):
        for _ in range(TRIES):
            front = self.random.choice(self._fronts)
            opened = self._client.open(front, self._port, place)
            if opened is not None:
                return opened
        return None

    def _ask(self, opened, name, place, sent, got):
        size = len(f"GET / HTTP/1.1\r\nX-Request-Id: {name}\r\n\r\n")
        for _ in range(TRIES * 2):
            front = self.random.choice(self._fronts)
            answer = self._client.ask(front, self._port, opened, name, place, sent, got)
            if answer is not None and not answer.opens:
                return answer, size
        return None, size

    def _note_loss(self, answer, service):
        if answer is None:
            self.record.silences += 1
            return
        self.record.resets += 1
        if self.record.is_calm():
            self.record.report(
                "planned change breaks no flow", port=self._port, service=service
            )


class Operator(Actor):
    """Send versions in uneven steps, old and invalid ones too, and read back."""

    def __init__(self, seed, record, controls):
        super().__init__(seed, record)
        self._controls = controls
        self._version = 3

    def act(self):
        """Send one change and read once."""
        self._version += self.random.randint(1, 3)
        if self._put(make_config(self._version)):
            self.record.acked = max(self.record.acked, self._version)
        if self.random.random() < 0.3:
            self._put(make_config(max(1, self._version - 5)))
        if self.random.random() < 0.3:
            invalid = {**make_config(self._version + 100), "Services": []}
            if self._put(invalid):
                self.record.report("invalid is refused", version=self._version + 100)
        self.read()
        time.sleep(self.random.uniform(0.1, 0.6))

    def read(self):
        """Read the configuration from any control host; return its version or 0."""
        floor = self.record.acked
        status, body = call(self._pick(), GET)
        if status != 200:
            return 0
        version = json.loads(body)["Version"]
        self.record.check_read(floor, version)
        return version

    def _put(self, config):
        return call(self._pick(), PUT, config)[0] == 200

    def _pick(self):
        return f"{self.random.choice(self._controls)}:{CONTROL}"


def _read_body(answer):
    return answer.data.rpartition(b"\r\n\r\n")[2].decode()
