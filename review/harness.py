"""Run a small deployment on loopback, with stand-ins for what surrounds it.

The programs are started with the commands of ``deploy/system.toml``. Endpoints,
clients, routers and the operator are stand-ins that speak what the users' pages say.
Only the standard library is used.
"""

# ruff: noqa: ANN001, ANN002, ANN003, ANN201, ANN202, ANN204, ANN205

import atexit
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.error
import urllib.request
import zlib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HEADER = struct.Struct(">BH2s4s2s4s4sIII")
SYN, ACK, FIN, RST, BOUNCED = 64, 4, 128, 8, 2
SPACE = 1 << 32
SUM_KEY = b"stand-in"
# A client accepts a reset within this distance of its last ack.
RESET_WINDOW = 76_800
# The address and port of the route; only packets and the configuration name it.
VIP = ("127.198.0.1", 8443)
SERVICE = "huvo11a"
# A case that takes longer is given up.
MAX_RUN_SECONDS = 110
# Values of the small site.
HEARTBEAT_SECONDS = 0.77
CONTACT_SECONDS = 4.0
ZONES = ("moin-a", "moin-b", "limon-centro")


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Write what happened to a file, in the order of time."""

    def __init__(self, path):
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()
        self._lock = threading.Lock()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text):
        """Write one line."""
        with self._lock:
            self._file.write(f"{self.now():8.3f} {text}\n")
            self._file.flush()


def compute_sum(packet):
    """Return the keyed sum over all fields but echo, pad and BOUNCED, and the data."""
    flags = packet[0] & ~BOUNCED
    head = bytes((flags,)) + packet[1:15] + packet[23:31]
    return zlib.crc32(SUM_KEY + head + packet[31:])


def make_packet(flags, source, destination, seq, ack, data=b""):
    """Return a packet; addresses are pairs of IPv4 text and port."""
    fields = [flags, len(data)]
    for host, port in (source, destination):
        fields += [port.to_bytes(2, "big"), socket.inet_aton(host)]
    draft = HEADER.pack(*fields, bytes(4), 0, seq % SPACE, ack % SPACE) + data
    return draft[:19] + compute_sum(draft).to_bytes(4, "big") + draft[23:]


def parse_packet(packet):
    """Return flags, source, destination, seq, ack and data."""
    flags, size, sport, src, dport, dst, _, _, seq, ack = HEADER.unpack_from(packet)
    source = (socket.inet_ntoa(src), int.from_bytes(sport, "big"))
    destination = (socket.inet_ntoa(dst), int.from_bytes(dport, "big"))
    return flags, source, destination, seq, ack, packet[31 : 31 + size]


def is_intact(packet):
    """Return whether a packet is as its sender wrote it."""
    return int.from_bytes(packet[19:23], "big") == compute_sum(packet)


def call(address, path, body=None, timeout=1.0):
    """Return the status of an HTTP call and its body; status 0 without an answer."""
    data = None if body is None else json.dumps(body).encode()
    headers = {"Content-Type": "application/json"}
    request = urllib.request.Request(f"http://{address}{path}", data, headers)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            return reply.status, reply.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except OSError:
        return 0, b""


class Program:
    """One process of the system, with a settings file as the platform writes it."""

    def __init__(self, fleet, role, ip, zone, listen, is_first_start, **fields):
        self.fleet, self.role, self.ip = fleet, role, ip
        self._path = fleet.folder / f"{role}-{ip}.toml"
        self._log = (fleet.folder / f"{role}-{ip}.log").open("ab")
        self._zone, self._listen, self._fields = zone, listen, fields
        self.process = None
        self.start(bootstrap=is_first_start)

    def start(self, bootstrap=False):
        """Write the settings and start the program."""
        ports = self.fleet.ports
        lines = [
            f'NodeName = "{self.role}-{self.ip}"',
            f'Role = "{self.role}"',
            f'Ip = "{self.ip}"',
            f'Zone = "{self._zone}"',
            'Region = "limon"',
            f"InternalPortRange = [{ports['internal']}, {ports['internal'] + 15}]",
            f"Seeds = {json.dumps(self.fleet.seeds)}",
            f"Bootstrap = {json.dumps(bootstrap)}",
            f"HeartbeatMs = {int(1000 * HEARTBEAT_SECONDS)}",
            'FlowHash = "steady"',
            'ForwardingMode = "agent"',
            *[f"{key} = {json.dumps(value)}" for key, value in self._fields.items()],
            "[Zones]",
            *[f'{zone} = "limon"' for zone in ZONES],
            "[ListenAddrs]",
            *[f'{key} = "{value}"' for key, value in self._listen.items()],
            "[FaultTolerance]",
            "Machines = 1",
            "[Bounds]",
            "ContactMs = 4000",
            "DrainMs = 3000",
            "ConfigApplyMs = 3000",
            "MaxFlowS = 60",
        ]
        self._path.write_text("\n".join(lines) + "\n")
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["IBISSHUNT_NODE_FILE"] = str(self._path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.process = subprocess.Popen(
            self.fleet.commands[self.role],
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=self._log,
        )

    def send_signal(self, number):
        """Send a signal to the process if it runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self, grace_seconds=6.0):
        """Stop the program as the platform does: SIGTERM, then SIGKILL."""
        self.send_signal(signal.SIGTERM)
        try:
            self.process.wait(timeout=grace_seconds)
        except subprocess.TimeoutExpired:
            self.send_signal(signal.SIGKILL)
            self.process.wait()

    def count_starts(self):
        """Return how often the program has reported that it started."""
        return Path(self._log.name).read_text().count("event=started")

    def end(self):
        """End the process."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        self.process.wait()


class Fleet:
    """Three control hosts, some balancers, and agents beside endpoints."""

    def __init__(self, record, balancers=2, agents=3):
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("target/deps is missing; run the build of the deploy file")
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self.commands = {name: role["run"].split() for name, role in roles.items()}
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._prefix = self._find_prefix()
        self.ports = self._find_ports()
        control_port = self.ports["control"]
        self.control_ips = [self.make_ip(1, n) for n in (1, 2, 3)]
        self.seeds = [f"{ip}:{control_port}" for ip in self.control_ips]
        self.programs = []
        atexit.register(self.close)
        self.controls = [
            self._add(
                "control",
                ip,
                zone,
                {"Control": f"{ip}:{control_port}"},
                DataDir=str(self.folder / f"data-{ip}"),
                FailureDomainMember=True,
            )
            for ip, zone in zip(self.control_ips, ZONES, strict=True)
        ]
        self.balancers = [
            self.add_balancer(self.make_ip(2, n + 1), ZONES[n % 3])
            for n in range(balancers)
        ]
        self.agents = [
            self.add_agent(self.make_ip(3, n + 1), ZONES[n % 3]) for n in range(agents)
        ]

    def make_ip(self, group, number):
        """Return a loopback address of this run."""
        return f"{self._prefix}.{group}.{number}"

    def add_balancer(self, ip, zone):
        """Start a balancer."""
        listen = {
            "UdpAddr": f"{ip}:{self.ports['packets']}",
            "ReadyAddr": f"{ip}:{self.ports['ready']}",
        }
        return self._add("balancer", ip, zone, listen)

    def add_control(self, ip, zone, seeds=None):
        """Start a control host with an empty disk in a fleet that runs."""
        if seeds is not None:
            self.seeds = seeds
        folder = tempfile.mkdtemp(prefix=f"data-{ip}-", dir=self.folder)
        return self._add(
            "control",
            ip,
            zone,
            {"Control": f"{ip}:{self.ports['control']}"},
            is_first_start=False,
            DataDir=folder,
            FailureDomainMember=True,
        )

    def add_agent(self, ip, zone, service=SERVICE):
        """Start an agent."""
        listen = {
            "UdpAddr": f"{ip}:{self.ports['packets']}",
            "outbound": f"{ip}:{self.ports['outbound']}",
            "ReadyAddr": f"{ip}:{self.ports['ready']}",
            "Control": f"{ip}:{self.ports['control']}",
        }
        app = f"{ip}:{self.ports['app']}"
        return self._add("agent", ip, zone, listen, app=app, Service=service)

    def put(self, config, attempts=60):
        """Send a configuration until it is acknowledged."""
        for attempt in range(attempts):
            seed = self.seeds[attempt % len(self.seeds)]
            status, _ = call(seed, "/-/config/put", config)
            if status == 200:
                self.record.write(f"config {config['Version']} acknowledged by {seed}")
                return
            time.sleep(0.25)
        raise CannotRun("no configuration was acknowledged")

    def wait_until_ready(self, seconds=30.0):
        """Wait until each balancer is ready."""
        deadline = time.monotonic() + seconds
        for balancer in self.balancers:
            address = f"{balancer.ip}:{self.ports['ready']}"
            while call(address, "/-/ready")[0] != 200:
                if time.monotonic() >= deadline:
                    raise CannotRun(f"the balancer at {balancer.ip} is not ready")
                time.sleep(0.1)

    def close(self):
        """End all processes and remove the folder."""
        for program in self.programs:
            program.end()
        if os.environ.get("KEEP"):
            print(f"kept: {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def _add(self, role, ip, zone, listen, is_first_start=True, **fields):
        program = Program(self, role, ip, zone, listen, is_first_start, **fields)
        self.programs.append(program)
        return program

    @staticmethod
    def _find_prefix():
        for _ in range(50):
            prefix = f"127.{random.randrange(20, 250)}"
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
                try:
                    probe.bind((f"{prefix}.1.1", 0))
                except OSError:
                    continue
            return prefix
        raise CannotRun("no loopback address can be bound")

    def _find_ports(self):
        """Return ports that are free at all addresses of this run's prefix."""
        names = ("control", "ready", "packets", "outbound", "app")
        for _ in range(50):
            first = random.randrange(12_000, 30_000)
            wanted = range(first, first + 16 + len(names))
            if all(self._is_free(port) for port in wanted):
                ports = {name: first + 16 + n for n, name in enumerate(names)}
                return {"internal": first, **ports}
        raise CannotRun("no free ports")

    def _is_free(self, port):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind((f"{self._prefix}.1.1", port))
                except OSError:
                    return False
        return True


class EndpointFlow:
    """One flow at an endpoint."""

    def __init__(self, syn_seq, first):
        self.syn_seq = syn_seq
        self.first = first
        self.next_seq = first + 1
        self.expected = (syn_seq + 1) % SPACE
        self.is_open = False
        self.answer = b""


class Endpoint:
    """One incarnation of an endpoint: flows at ``app``, heartbeats to its node.

    ``work_seconds`` is how long a request takes; ``control`` is the address to which
    its heartbeats go.
    """

    def __init__(self, fleet, ip, name, control=None, work_seconds=0.02):
        self.fleet, self.ip, self.name = fleet, ip, name
        self.record = fleet.record
        self.flows = {}
        self.runs = []
        self.state = "ready"
        self.sequence = 0
        self.acknowledged = 0
        self.damaged = 0
        self._work_seconds = work_seconds
        self._control = control or f"{ip}:{fleet.ports['control']}"
        self._lock = threading.Lock()
        self._ended = threading.Event()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((ip, fleet.ports["app"]))
        self._socket.settimeout(0.05)
        self._threads = [
            threading.Thread(target=target, daemon=True)
            for target in (self._serve, self._send_heartbeats)
        ]
        self.record.write(f"endpoint {name} starts at {ip}")
        for thread in self._threads:
            thread.start()

    @property
    def is_alive(self):
        """Return whether this incarnation runs."""
        return not self._ended.is_set()

    def make_heartbeat(self):
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            "Service": SERVICE,
            "Address": f"{self.ip}:{self.fleet.ports['app']}",
            "Zone": ZONES[0],
            "Version": "v1",
            "Slots": 4,
            "State": self.state,
            "WarmupLeftMs": 0,
            "Seq": self.sequence,
        }

    def crash(self):
        """End without a word; all flows are discarded."""
        self._ended.set()
        for thread in self._threads:
            thread.join()
        self._socket.close()
        self.record.write(f"endpoint {self.name} has crashed")

    def _send_heartbeats(self):
        while not self._ended.is_set():
            body = self.make_heartbeat()
            status, _ = call(self._control, f"/-/instances/{self.name}/heartbeat", body)
            self.acknowledged += 200 <= status < 300
            self.record.write(
                f"heartbeat {self.name} Seq {body['Seq']} {body['State']}: "
                f"{status or 'no answer'}"
            )
            self._ended.wait(HEARTBEAT_SECONDS)

    def _serve(self):
        outbound = (self.ip, self.fleet.ports["outbound"])
        while not self._ended.is_set():
            try:
                packet, _ = self._socket.recvfrom(65_535)
            except TimeoutError:
                continue
            for answer in self._handle(packet):
                self._socket.sendto(answer, outbound)

    def _handle(self, packet):
        flags, source, destination, seq, ack, data = parse_packet(packet)
        if not is_intact(packet):
            self.damaged += 1
            self.record.write(f"damaged packet at {self.name}")
            return []
        key = (source, destination)
        flow = self.flows.get(key)
        if flags & SYN:
            return [self._open(key, flow, seq)]
        if (
            flow is None
            or ((ack - flow.first - 1) % SPACE) > flow.next_seq - flow.first
        ):
            return [bytes((packet[0] | BOUNCED,)) + packet[1:]]
        if flags & RST:
            del self.flows[key]
            return []
        if not flow.is_open:
            flow.is_open = True
            self.record.write(f"flow {source[0]}:{source[1]} opens at {self.name}")
        if flags & FIN:
            return self._close(key, flow, seq, data)
        if not data:
            return []
        if seq != flow.expected:
            return [flow.answer] if flow.answer else []
        flow.expected = (seq + len(data)) % SPACE
        threading.Thread(target=self._run, args=(key, flow, data), daemon=True).start()
        return []

    def _open(self, key, flow, seq):
        if flow is None or flow.syn_seq != seq:
            flow = self.flows[key] = EndpointFlow(seq, random.randrange(SPACE // 2))
        return make_packet(SYN | ACK, key[1], key[0], flow.first, seq + 1)

    def _close(self, key, flow, seq, data):
        del self.flows[key]
        ack = seq + len(data) + 1
        return [make_packet(ACK | FIN, key[1], key[0], flow.next_seq, ack)]

    def _run(self, key, flow, data):
        head = data.split(b"\r\n")
        name = next(
            (line[14:].decode() for line in head if line.startswith(b"X-Request-Id: ")),
            "",
        )
        with self._lock:
            self.runs.append(name)
        self.record.write(f"request {name} runs at {self.name}")
        time.sleep(self._work_seconds)
        if self._ended.is_set():
            return
        body = f"{name} {self.name}\n".encode()
        answer = (
            f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
            f"X-Response-Signature: {zlib.crc32(SUM_KEY + body):08x}\r\n\r\n"
        ).encode() + body
        flow.answer = make_packet(
            ACK, key[1], key[0], flow.next_seq, flow.expected, answer
        )
        flow.next_seq += len(answer)
        self._socket.sendto(flow.answer, (self.ip, self.fleet.ports["outbound"]))


class HeldLink:
    """The link between an endpoint and its node while it is cut.

    What the endpoint sends on its first connection stays on the way; it is sent again
    until it arrives. Later connections do not come about.
    """

    def __init__(self, ip):
        self.held = b""
        self._is_first = True
        self._listener = socket.create_server((ip, 0))
        self.address = f"{ip}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def deliver(self, address):
        """Let the bytes that are on the way arrive; return the first line answered."""
        host, _, port = address.rpartition(":")
        with socket.create_connection((host, int(port)), 2.0) as connection:
            connection.sendall(self.held)
            return connection.recv(4096).partition(b"\r\n")[0].decode()

    def close(self):
        """Stop listening."""
        self._listener.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            if not self._is_first:
                connection.close()
                continue
            self._is_first = False
            threading.Thread(target=self._hold, args=(connection,), daemon=True).start()

    def _hold(self, connection):
        with connection:
            while data := connection.recv(4096):
                self.held += data


class ClientFlow:
    """One flow of a client, kept open for many requests."""

    def __init__(self, port):
        self.port = port
        self.seq = random.randrange(SPACE // 2)
        self.ack = 0
        self.state = "opening"
        self.resets = 0
        self.last_answer = ""
        self.waiting_for = ""


class Client:
    """Open flows from one address and send requests over them.

    Packets go to a balancer that is ready, chosen by the flow, as the routers do.
    """

    def __init__(self, fleet, ip):
        self.fleet, self.ip = fleet, ip
        self.record = fleet.record
        self.flows = {}
        self.answered = set()
        self.damaged = 0
        self._port = 40_000
        self._packets = {}
        self._ready = [balancer.ip for balancer in fleet.balancers]
        self._misses = {}
        self._ended = threading.Event()
        self._condition = threading.Condition()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((ip, fleet.ports["packets"]))
        self._socket.settimeout(0.05)
        self._threads = [
            threading.Thread(target=target, daemon=True)
            for target in (self._receive, self._probe)
        ]
        for thread in self._threads:
            thread.start()

    def open(self):
        """Open a flow; return it, or None if it did not open."""
        self._port += 1
        flow = ClientFlow(self._port)
        self.flows[flow.port] = flow
        for copy, pause in enumerate((0.2, 0.4, 0.8)):
            self._send(flow, SYN, flow.seq, copy)
            if self._wait(lambda: flow.state != "opening", pause):
                break
        if flow.state != "open":
            self.record.write(f"flow {self.ip}:{flow.port} does not open: {flow.state}")
            return None
        return flow

    def ask(self, flow, name, seconds=2.5, method="GET"):
        """Send a request over a flow; return whether it was answered."""
        data = (
            f"{method} / HTTP/1.1\r\nHost: {VIP[0]}\r\nX-Request-Id: {name}\r\n"
            "Content-Length: 0\r\n\r\n"
        ).encode()
        flow.waiting_for = name
        self.record.write(f"request {name} sent on flow {self.ip}:{flow.port}")
        deadline, pause = time.monotonic() + seconds, 0.2
        while time.monotonic() < deadline and flow.state == "open":
            self._send(flow, ACK, flow.seq, flow.ack, data)
            if self._wait(lambda: not flow.waiting_for or flow.state != "open", pause):
                break
            pause = min(1.6, 2 * pause)
        is_answered = not flow.waiting_for
        if is_answered:
            flow.seq = (flow.seq + len(data)) % SPACE
            self._send(flow, ACK, flow.seq, flow.ack)
        self.record.write(
            f"request {name}: "
            + (f"answered by {flow.last_answer}" if is_answered else flow.state)
        )
        return is_answered

    def close(self):
        """Stop and close the socket."""
        self._ended.set()
        for thread in self._threads:
            thread.join()
        self._socket.close()

    def _wait(self, check, seconds):
        with self._condition:
            return self._condition.wait_for(check, seconds)

    def _send(self, flow, flags, seq, ack, data=b""):
        packet = make_packet(flags, (self.ip, flow.port), VIP, seq, ack, data)
        ready = self._ready or [balancer.ip for balancer in self.fleet.balancers]
        weights = [(zlib.crc32(f"{ip} {flow.port}".encode()), ip) for ip in ready]
        self._socket.sendto(packet, (max(weights)[1], self.fleet.ports["packets"]))

    def _probe(self):
        """Keep the nodes in rotation: out after two misses, in with the next 200."""
        while not self._ended.is_set():
            for balancer in list(self.fleet.balancers):
                address = f"{balancer.ip}:{self.fleet.ports['ready']}"
                is_ready = call(address, "/-/ready", timeout=0.4)[0] == 200
                misses = 0 if is_ready else self._misses.get(balancer.ip, 0) + 1
                self._misses[balancer.ip] = misses
            self._ready = [ip for ip, misses in self._misses.items() if misses < 2]
            self._ended.wait(0.5)

    def _receive(self):
        while not self._ended.is_set():
            try:
                packet, _ = self._socket.recvfrom(65_535)
            except TimeoutError:
                continue
            with self._condition:
                self._handle(packet)
                self._condition.notify_all()

    def _handle(self, packet):
        flags, source, destination, seq, ack, data = parse_packet(packet)
        flow = self.flows.get(destination[1])
        if flow is None or source != VIP:
            return
        if flags & RST:
            self._handle_reset(flow, packet, seq)
            return
        if not is_intact(packet):
            self.damaged += 1
            self.record.write(f"damaged packet for flow {self.ip}:{flow.port}")
            return
        if flags & SYN:
            if flow.state == "opening":
                flow.state, flow.ack = "open", (seq + 1) % SPACE
                flow.seq = (flow.seq + 1) % SPACE
                self._send(flow, ACK, flow.seq, flow.ack)
            return
        if flow.state == "open" and data and seq == flow.ack and flow.waiting_for:
            flow.ack = (flow.ack + len(data)) % SPACE
            flow.last_answer = data.rpartition(b"\r\n\r\n")[2].decode().strip()
            self.answered.add(flow.waiting_for)
            flow.waiting_for = ""

    def _handle_reset(self, flow, packet, seq):
        is_own = int.from_bytes(packet[19:23], "big") == 0
        is_near = (seq - flow.ack + RESET_WINDOW) % SPACE <= 2 * RESET_WINDOW
        sender = "the system" if is_own else "an endpoint"
        if flow.state == "open" and not is_near:
            return
        flow.resets += is_own
        self.record.write(
            f"flow {self.ip}:{flow.port} ({flow.state}) reset by {sender}"
        )
        flow.state = "reset"


def make_config(version=7, kind="idempotent", timeout_ms=2500):
    """Return a configuration with one route to the service."""
    route = {
        "Name": "r-3d3zji9",
        "Hostname": VIP[0],
        "PathPrefix": f"/{VIP[1]}/",
        "Type": kind,
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 500,
        "Priority": 1,
        "Service": SERVICE,
        "MaxAttempts": 2,
    }
    service = {
        "Name": SERVICE,
        "HealthPath": "/health",
        "MaxConns": 2000,
        "Protocol": "h1",
        "Tls": False,
    }
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 262144,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    return {
        "Version": version,
        "Routes": [route],
        "Services": [service],
        "Limits": limits,
    }


def run_case(record, has_trouble, play):
    """Run ``play(record, has_trouble)``; exit with 1 if it returns True, else 0.

    Exit with 2 if the case could not run.
    """
    for number in (signal.SIGTERM, signal.SIGALRM):
        signal.signal(number, lambda number, frame: sys.exit(2))
    signal.alarm(MAX_RUN_SECONDS)
    record.write(f"disruption: {'on' if has_trouble else 'off'}")
    try:
        broken = play(record, has_trouble)
    except (CannotRun, OSError) as error:
        record.write(f"cannot run: {error}")
        sys.exit(2)
    record.write("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
