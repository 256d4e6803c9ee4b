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

from ibisshunt.coordination.forwarding.target_tracking.request_tracker import (
    find_request_id,
)
from ibisshunt.platform import packet

ROOT = Path(__file__).resolve().parent.parent
INTERNAL_PORT = 17_720
PACKET_PORT = 17_172
OUTBOUND_PORT = 17_162
APP_PORT = 17_165
CONTROL_PORT = 17_166
READY_PORT = 17_167
METRICS_PORT = 9464
SERVICE = "huvo11a"
ZONES = ("a", "b")
VIP = ("198.18.0.1", 8443)
DEADLINE_SECONDS = 30.0


def wait_for(check, description):
    """Return the first true result of ``check``; raise AssertionError on a timeout."""
    deadline = time.monotonic() + DEADLINE_SECONDS
    while time.monotonic() < deadline:
        result = check()
        if result:
            return result
        time.sleep(0.05)
    raise AssertionError(f"{description} did not happen within {DEADLINE_SECONDS} s")


def call(address, path, body=None):
    """Return status and body of an HTTP call; status 0 without an answer."""
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
    """Own one process of the system, with settings as the platform writes them."""

    def __init__(
        self, folder, role, ip, seeds, listen, fault_tolerance=None, zone="a", **more
    ):
        self.path = folder / f"{role}-{ip}.toml"
        self.lock = threading.Lock()
        self.fault_tolerance = fault_tolerance or {}
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
            f"InternalPortRange = [{INTERNAL_PORT}, {INTERNAL_PORT + 9}]",
            f"Seeds = {json.dumps(self.fields['seeds'])}",
            *[
                f"{key} = {json.dumps(value)}"
                for key, value in self.fields["more"].items()
            ],
            "[Zones]",
            *[f'{zone} = "region"' for zone in ZONES],
            "[ListenAddrs]",
            *[f'{key} = "{value}"' for key, value in self.fields["listen"].items()],
            "[FaultTolerance]",
            *[f"{key} = {value}" for key, value in self.fault_tolerance.items()],
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
        """Return the output of the program."""
        return Path(self.log.name).read_text()

    def send_signal(self, number):
        """Send a signal if the program is running."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def has_exited(self):
        """Return whether the program has exited."""
        return self.process.poll() is not None

    def wait_for_exit(self):
        """Wait until the program has exited."""
        self.process.wait(timeout=DEADLINE_SECONDS)

    def stop(self):
        """Kill the program and wait until it has exited."""
        if self.process.poll() is None:
            self.send_signal(signal.SIGKILL)
        self.process.wait(timeout=DEADLINE_SECONDS)
        self.log.close()


@dataclass
class EndpointFlow:
    """Hold one flow at an endpoint.

    ``next_sequence`` is the endpoint's next sequence number, ``next_expected`` the
    caller's; ``answer`` is the packet last sent.
    """

    syn_sequence: int
    initial_sequence: int
    next_sequence: int
    next_expected: int
    answer: bytes = b""


class Endpoint:
    """Answer flows as the platform's endpoints do, with one packet per request.

    ``runs`` counts the runs of each request id over all endpoints that share it.
    """

    def __init__(self, ip, number, service=SERVICE, runs=None):
        self.ip = ip
        self.service = service
        self.name = f"i-{number}"
        self.initial_sequence = 1_000_000 * number
        self.flows = {}
        self.requests = 0
        self.bounced = 0
        self.opened_at = []
        self.runs = {} if runs is None else runs
        self.state = "ready"
        # Whether packets of unknown flows are reset, as after a flow ended, or bounced.
        self.resets_unknown_flows = False
        self._heartbeats = 0
        self._running = True
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((ip, APP_PORT))
        self._socket.settimeout(0.1)
        self._threads = [
            threading.Thread(target=function, daemon=True)
            for function in (self._serve, self._run_heartbeats)
        ]
        for thread in self._threads:
            thread.start()

    def send_heartbeat(self):
        """Send one heartbeat; return the HTTP status."""
        self._heartbeats += 1
        body = {
            "Service": self.service,
            "Address": f"{self.ip}:{APP_PORT}",
            "Zone": "a",
            "Version": "v1",
            "Slots": 4,
            "State": self.state,
            "WarmupLeftMs": 0,
            "Seq": self._heartbeats,
        }
        path = f"/-/instances/{self.name}/heartbeat"
        return call(f"{self.ip}:{CONTROL_PORT}", path, body)[0]

    def stop(self):
        """Stop answering and sending heartbeats."""
        self._running = False
        for thread in self._threads:
            thread.join()
        self._socket.close()

    def _run_heartbeats(self):
        while self._running:
            self.send_heartbeat()
            time.sleep(0.3)

    def _serve(self):
        while self._running:
            try:
                data, _ = self._socket.recvfrom(65_535)
            except TimeoutError:
                continue
            answer = self._answer(data)
            self._socket.sendto(answer, (self.ip, OUTBOUND_PORT))

    def _answer(self, data):
        segment = packet.parse_caller_packet(data)
        flow = self.flows.get(segment.key)
        if segment.is_syn:
            return self._open(segment, flow)
        if (
            flow is None
            or not flow.initial_sequence < segment.acknowledgement <= flow.next_sequence
        ):
            # Unknown flow, or the caller completed the handshake with another endpoint.
            self.bounced += 1
            if self.resets_unknown_flows:
                return make_answer(segment.key, packet.RST, 0)
            return bytes((data[0] | packet.BOUNCED,)) + data[1:]
        if segment.sequence < flow.next_expected:
            return flow.answer
        return self._run(segment, flow)

    def _open(self, segment, flow):
        # A retransmitted SYN gets the same answer.
        if flow is None or flow.syn_sequence != segment.sequence:
            self.initial_sequence += 100_000
            flow = EndpointFlow(
                segment.sequence,
                self.initial_sequence,
                self.initial_sequence + 1,
                segment.sequence + 1,
            )
            flow.answer = make_answer(
                segment.key, packet.SYN | packet.ACK, self.initial_sequence
            )
            self.flows[segment.key] = flow
            self.opened_at.append(time.monotonic())
        return flow.answer

    def _run(self, segment, flow):
        name = find_request_id(segment.data)
        self.requests += 1
        self.runs[name] = self.runs.get(name, 0) + 1
        text = f"HTTP/1.1 200 OK\r\n\r\n{self.service} {name} {self.name}"
        body = text.encode()
        flow.answer = make_answer(segment.key, packet.ACK, flow.next_sequence, body)
        flow.next_sequence += len(body)
        flow.next_expected = segment.sequence + len(segment.data)
        return flow.answer


def make_answer(key, flags, sequence, data=b""):
    """Return a packet from the service to the caller."""
    return (
        packet._HEADER.pack(
            flags,
            len(data),
            key[10:],
            key[6:10],
            key[4:6],
            key[:4],
            bytes(4),
            0,
            sequence,
            0,
        )
        + data
    )


class Client:
    """Open flows from one address, at the port that the platform uses for callers."""

    def __init__(self, ip, timeout_seconds=2.0):
        self.ip = ip
        self._timeout_seconds = timeout_seconds
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((ip, PACKET_PORT))

    def make_key(self, port, vip=VIP):
        """Return the key of a flow."""
        return (
            socket.inet_aton(self.ip)
            + port.to_bytes(2, "big")
            + socket.inet_aton(vip[0])
            + vip[1].to_bytes(2, "big")
        )

    def open(self, balancer, port, vip=VIP):
        """Open a flow; return the answer to the SYN, or None on a timeout."""
        return self.send(balancer, self.make_key(port, vip), packet.SYN, 1000, 0)

    def ask(
        self, balancer, port, syn_ack, name="r", vip=VIP, sent_bytes=0, received_bytes=0
    ):
        """Send a request; return the answer, or None on a timeout.

        ``sent_bytes`` and ``received_bytes`` count the data of earlier requests.
        """
        request = f"GET / HTTP/1.1\r\nX-Request-Id: {name}\r\n\r\n".encode()
        acknowledgement = (syn_ack.sequence + 1 + received_bytes) % (1 << 32)
        key = self.make_key(port, vip)
        return self.send(
            balancer, key, packet.ACK, 1001 + sent_bytes, acknowledgement, request
        )

    def send(self, balancer, key, flags, sequence, acknowledgement, data=b""):
        """Send one packet; return the next answer on its flow, or None on a timeout."""
        head = packet._HEADER.pack(
            flags,
            len(data),
            key[4:6],
            key[:4],
            key[10:],
            key[6:10],
            bytes(4),
            0,
            sequence,
            acknowledgement,
        )
        self._socket.sendto(head + data, (balancer, PACKET_PORT))
        return self._receive(
            key, time.monotonic() + self._timeout_seconds, acknowledgement
        )

    def _receive(self, key, deadline, expected_sequence):
        """Return the next packet in order; skip copies of earlier answers."""
        while (remaining := deadline - time.monotonic()) > 0:
            self._socket.settimeout(remaining)
            try:
                segment = packet.parse_target_packet(self._socket.recv(65_535))
            except TimeoutError:
                return None
            in_order = segment.is_rst or expected_sequence in (0, segment.sequence)
            if segment.key == key and in_order:
                return segment
        return None

    def close(self):
        """Close the socket."""
        self._socket.close()
