"""Stand-ins for the platform: an endpoint, a client and the settings of a process."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request
from dataclasses import dataclass
from pathlib import Path

from ibisshunt.coordination.forwarding.holding.requests import find_request_id
from ibisshunt.platform import packet

ROOT = Path(__file__).resolve().parent.parent
INNER = 17_720
PACKETS = 17_172
OUTWARD = 17_162
APP = 17_165
CONTROL = 17_166
READY = 17_167
METRICS = 9464
SERVICE = "huvo11a"
ZONES = ("a", "b")
PLACE = ("198.18.0.1", 8443)
DEADLINE_SECONDS = 30.0


def wait_for(check, what):
    """Return the first true result; fail after the deadline."""
    deadline = time.monotonic() + DEADLINE_SECONDS
    while time.monotonic() < deadline:
        found = check()
        if found:
            return found
        time.sleep(0.05)
    raise AssertionError(f"{what} did not happen within {DEADLINE_SECONDS} s")


def call(address, path, body=None):
    """Return status and body of an HTTP call; 0 when nobody answers."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data)
    try:
        with urllib.request.urlopen(request, timeout=2) as reply:
            return reply.status, reply.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except OSError:
        return 0, b""


class Process:
    """Own one program of ours, with settings as the platform writes them."""

    def __init__(self, folder, role, ip, seeds, listen, losses=None, zone="a", **more):
        self.path = folder / f"{role}-{ip}.toml"
        self.lock = threading.Lock()
        self.losses = losses or {}
        self.zone = zone
        self.role = role
        self.fields = {"ip": ip, "seeds": seeds, "listen": listen, "more": more}
        self.write()
        self.log = (folder / f"{role}-{ip}.log").open("ab")
        self.start()

    def write(self, **changes):
        """Write the settings file."""
        self.fields.update(changes)
        lines = [
            f'NodeName = "{self.role}"',
            f'Ip = "{self.fields["ip"]}"',
            f'Zone = "{self.zone}"',
            f"InternalPortRange = [{INNER}, {INNER + 9}]",
            f"Seeds = {json.dumps(self.fields['seeds'])}",
            *[
                f"{key} = {json.dumps(found)}"
                for key, found in self.fields["more"].items()
            ],
            "[Zones]",
            *[f'{zone} = "region"' for zone in ZONES],
            "[ListenAddrs]",
            *[f'{key} = "{found}"' for key, found in self.fields["listen"].items()],
            "[FaultTolerance]",
            *[f"{key} = {found}" for key, found in self.losses.items()],
        ]
        self.path.write_text("\n".join(lines))

    def start(self):
        """Start the program."""
        environment = {**os.environ, "IBISSHUNT_NODE_FILE": str(self.path)}
        command = [sys.executable, "-m", "ibisshunt.platform", self.role]
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )

    def read_log(self):
        """Return what the program has written."""
        return Path(self.log.name).read_text()

    def send(self, number):
        """Send a signal, if the program runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def has_ended(self):
        """Tell whether the program does not run."""
        return self.process.poll() is not None

    def wait_for_end(self):
        """Wait until the program has ended."""
        self.process.wait(timeout=DEADLINE_SECONDS)

    def stop(self):
        """End the program and wait."""
        if self.process.poll() is None:
            self.send(signal.SIGKILL)
        self.process.wait(timeout=DEADLINE_SECONDS)
        self.log.close()


@dataclass
class EndpointFlow:
    """Hold one flow at an endpoint: the next numbers both ways, the last answer."""

    opened_by: int
    first: int
    next_out: int
    next_in: int
    answer: bytes = b""


class Endpoint:
    """Answer flows as the platform's endpoints do, one packet a request.

    ``runs`` counts how often each request id ran, over all endpoints that share it.
    """

    def __init__(self, ip, number, service=SERVICE, runs=None):
        self.ip = ip
        self.service = service
        self.name = f"i-{number}"
        self.first = 1_000_000 * number
        self.flows = {}
        self.requests = 0
        self.bounced = 0
        self.opened_at = []
        self.runs = {} if runs is None else runs
        self.state = "ready"
        # Whether it resets what it does not hold, as it does on flows that ended there.
        self.resets_strays = False
        self._beats = 0
        self._running = True
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((ip, APP))
        self._socket.settimeout(0.1)
        self._threads = [
            threading.Thread(target=run, daemon=True)
            for run in (self._serve, self._beat)
        ]
        for thread in self._threads:
            thread.start()

    def beat(self):
        """Send one heartbeat; return the status."""
        self._beats += 1
        body = {
            "Service": self.service,
            "Address": f"{self.ip}:{APP}",
            "Zone": "a",
            "Version": "v1",
            "Slots": 4,
            "State": self.state,
            "WarmupLeftMs": 0,
            "Seq": self._beats,
        }
        path = f"/-/instances/{self.name}/heartbeat"
        return call(f"{self.ip}:{CONTROL}", path, body)[0]

    def stop(self):
        """Fall silent."""
        self._running = False
        for thread in self._threads:
            thread.join()
        self._socket.close()

    def _beat(self):
        while self._running:
            self.beat()
            time.sleep(0.3)

    def _serve(self):
        while self._running:
            try:
                data, _ = self._socket.recvfrom(65_535)
            except TimeoutError:
                continue
            answer = self._answer(data)
            self._socket.sendto(answer, (self.ip, OUTWARD))

    def _answer(self, data):
        segment = packet.parse_inward(data)
        flow = self.flows.get(segment.key)
        if segment.opens:
            return self._open(segment, flow)
        if flow is None or not flow.first < segment.acknowledgement <= flow.next_out:
            # Not held; or the caller took the opening of another endpoint.
            self.bounced += 1
            if self.resets_strays:
                return make_answer(segment.key, packet.RST, 0)
            return bytes((data[0] | packet.BOUNCED,)) + data[1:]
        if segment.sequence < flow.next_in:
            return flow.answer
        return self._run(segment, flow)

    def _open(self, segment, flow):
        # A copy of the opening packet opens nothing again.
        if flow is None or flow.opened_by != segment.sequence:
            self.first += 100_000
            flow = EndpointFlow(
                segment.sequence, self.first, self.first + 1, segment.sequence + 1
            )
            flow.answer = make_answer(segment.key, packet.SYN | packet.ACK, self.first)
            self.flows[segment.key] = flow
            self.opened_at.append(time.monotonic())
        return flow.answer

    def _run(self, segment, flow):
        name = find_request_id(segment.data)
        self.requests += 1
        self.runs[name] = self.runs.get(name, 0) + 1
        text = f"HTTP/1.1 200 OK\r\n\r\n{self.service} {name} {self.name}"
        body = text.encode()
        flow.answer = make_answer(segment.key, packet.ACK, flow.next_out, body)
        flow.next_out += len(body)
        flow.next_in = segment.sequence + len(segment.data)
        return flow.answer


def make_answer(key, flags, number, data=b""):
    """Return a packet from the service to the caller."""
    return (
        packet._HEAD.pack(
            flags,
            len(data),
            key[10:],
            key[6:10],
            key[4:6],
            key[:4],
            bytes(4),
            0,
            number,
            0,
        )
        + data
    )


class Client:
    """Open flows from one address, at the port that the platform uses for callers."""

    def __init__(self, ip, patience=2.0):
        self.ip = ip
        self._patience = patience
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((ip, PACKETS))

    def make_key(self, port, place=PLACE):
        """Return the key of a flow."""
        return (
            socket.inet_aton(self.ip)
            + port.to_bytes(2, "big")
            + socket.inet_aton(place[0])
            + place[1].to_bytes(2, "big")
        )

    def open(self, balancer, port, place=PLACE):
        """Open a flow; return the answer's segment, or None after the patience."""
        return self.send(balancer, self.make_key(port, place), packet.SYN, 1000, 0)

    def ask(self, balancer, port, opened, name="r", place=PLACE, sent=0, got=0):
        """Send a request after ``sent`` and ``got`` bytes; return the answer."""
        request = f"GET / HTTP/1.1\r\nX-Request-Id: {name}\r\n\r\n".encode()
        number = (opened.sequence + 1 + got) % (1 << 32)
        key = self.make_key(port, place)
        return self.send(balancer, key, packet.ACK, 1001 + sent, number, request)

    def send(self, balancer, key, flags, sequence, number, data=b""):
        """Send one packet and return the next answer of its flow, or None."""
        head = packet._HEAD.pack(
            flags,
            len(data),
            key[4:6],
            key[:4],
            key[10:],
            key[6:10],
            bytes(4),
            0,
            sequence,
            number,
        )
        self._socket.sendto(head + data, (balancer, PACKETS))
        return self._receive(key, time.monotonic() + self._patience, number)

    def _receive(self, key, deadline, wanted):
        """Return the next packet in order; copies of earlier answers are left out."""
        while (left := deadline - time.monotonic()) > 0:
            self._socket.settimeout(left)
            try:
                found = packet.parse_outward(self._socket.recv(65_535))
            except TimeoutError:
                return None
            in_order = found.resets or wanted in (0, found.sequence)
            if found.key == key and in_order:
                return found
        return None

    def close(self):
        """Close the socket."""
        self._socket.close()
