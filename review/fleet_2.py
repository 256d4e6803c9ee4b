"""Run a small deployment on loopback addresses for the cases of the second review.

The programs are started with the ``run`` lines of ``deploy/system.toml``. The operator,
the platform, endpoints and clients are stand-ins of this file and of the cases. Only
the standard library is used.
"""

import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
PUT_PATH, GET_PATH, READY_PATH = "/-/config/put", "/-/config/get", "/-/ready"
HEARTBEAT_SECONDS = 0.77
CALL_SECONDS = 1.0
CATCHUP_SECONDS = 4.0
CONTACT_SECONDS = 4.0
ZONES = ("moin-a", "moin-b", "limon-centro", "cieneguita")
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 4000,
    "AckMs": 5000,
    "CatchupS": 4,
    "DrainMs": 3000,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 3000,
    "DowngradeSlackMs": 250,
    "MaxSkewMs": 12000,
    "RecoveryS": 12,
    "ReorderWindowMs": 2000,
    "MaxFlowS": 60,
}


class CaseNotRunError(Exception):
    """The case could not run, so it says nothing about the rule."""


class Record:
    """Write what was sent, answered and run to the record of a case."""

    def __init__(self, path: Path) -> None:
        self._started_at = time.monotonic()
        self._lock = threading.Lock()
        self._stream = path.open("w")

    def write(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        seconds = time.monotonic() - self._started_at
        with self._lock:
            self._stream.write(f"{seconds:8.3f} {text}\n")
            self._stream.flush()


def wait_for(check: Callable[[], Any], seconds: float, what: str) -> Any:
    """Return the first true result; raise CaseNotRunError after ``seconds``."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        result = check()
        if result:
            return result
        time.sleep(0.05)
    raise CaseNotRunError(f"{what}: not within {seconds} s")


def call(
    address: str, method: str, path: str, body: Any = None
) -> tuple[int, bytes, float]:
    """Return status, body and seconds of an HTTP call; status 0 without an answer."""
    started_at = time.monotonic()
    data = None if body is None else json.dumps(body).encode()
    connection = http.client.HTTPConnection(address, timeout=CALL_SECONDS)
    try:
        fields = {"Content-Type": "application/json"} if data else {}
        connection.request(method, path, data, fields)
        response = connection.getresponse()
        status, content = response.status, response.read()
    except (OSError, http.client.HTTPException):
        status, content = 0, b""
    finally:
        connection.close()
    return status, content, time.monotonic() - started_at


class Ports:
    """The ports of one deployment; they are the same on all machines."""

    def __init__(self, addresses: Iterable[str]) -> None:
        count = 24
        for first in range(21_000 + os.getpid() % 500 * 40, 60_000, count):
            if all(
                _is_free(address, port)
                for address in addresses
                for port in range(first, first + count)
            ):
                break
        else:
            raise CaseNotRunError("found no free ports")
        self.internal = (first, first + 15)
        self.control, self.packets, self.ready = first + 16, first + 17, first + 18
        self.outbound, self.app = first + 19, first + 20


def _is_free(address: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((address, port))
            except OSError:
                return False
    return True


class Node:
    """One process of the system, with settings as the platform writes them."""

    def __init__(
        self,
        fleet: "Fleet",
        role: str,
        ip: str,
        zone: str,
        bootstrap: bool,
        **more: str,
    ) -> None:
        self.ip, self.role, self.zone, self.more = ip, role, zone, more
        self.bootstrap = bootstrap
        self.control = f"{ip}:{fleet.ports.control}"
        self._fleet = fleet
        self._path = fleet.folder / f"{role}-{ip}.toml"
        self.data_folder = fleet.folder / f"data-{ip}"
        if role == "control":
            self.data_folder.mkdir()
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Write the settings and start the program."""
        self._path.write_text(self._make_settings())
        with open(ROOT / "deploy" / "system.toml", "rb") as stream:
            command = tomllib.load(stream)["roles"][self.role]["run"].split(" ")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["IBISSHUNT_NODE_FILE"] = str(self._path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self._fleet.folder / f"{self.role}-{self.ip}.log", "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._fleet.record.write(f"platform starts {self.role} {self.ip}")

    def send_signal(self, number: int) -> None:
        """Send a signal to the program."""
        if self.process is not None and self.process.poll() is None:
            self._fleet.record.write(
                f"platform sends {signal.Signals(number).name} to {self.role} {self.ip}"
            )
            self.process.send_signal(number)

    def wait_for_exit(self, seconds: float) -> None:
        """Wait until the program has ended; kill it after ``seconds``."""
        if self.process is None:
            return
        try:
            self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.send_signal(signal.SIGKILL)
            self.process.wait(10)
        self._fleet.record.write(
            f"{self.role} {self.ip} has ended, exit code {self.process.returncode}"
        )

    def kill(self) -> None:
        """Kill the program and wait for its end."""
        self.send_signal(signal.SIGKILL)
        self.wait_for_exit(10)

    def lose_disk(self) -> None:
        """Empty the data folder of a program that does not run."""
        shutil.rmtree(self.data_folder)
        self.data_folder.mkdir()
        self._fleet.record.write(f"the disk of {self.ip} is empty")

    def _make_settings(self) -> str:
        ports, fleet = self._fleet.ports, self._fleet
        listen = {
            "control": {"Control": ports.control},
            "balancer": {"UdpAddr": ports.packets, "ReadyAddr": ports.ready},
            "agent": {
                "UdpAddr": ports.packets,
                "outbound": ports.outbound,
                "ReadyAddr": ports.ready,
                "Control": ports.control,
            },
        }[self.role]
        classes = {"control": "core", "balancer": "front", "agent": "side"}
        fields: dict[str, Any] = {
            "NodeName": f"{self.role}-{self.ip}",
            "Role": self.role,
            "MachineClass": classes[self.role],
            "Ip": self.ip,
            "Zone": self.zone,
            "Region": "limon",
            "InternalPortRange": list(ports.internal),
            "Seeds": [f"{seed}:{ports.control}" for seed in fleet.seeds],
            "Bootstrap": self.bootstrap,
            "FailureDomainMember": self.role == "control",
            "Discovery": "local",
            "Entry": "announce",
            "HeartbeatMs": int(1000 * HEARTBEAT_SECONDS),
            "Contracts": ["base", "drain", "config", "cost", "recover", "flows"],
            "config_mode": "highest",
            "FlowHash": "steady",
            "ForwardingMode": "agent",
            **self.more,
        }
        if self.role == "control":
            fields["DataDir"] = str(self.data_folder)
        lines = [f"{name} = {json.dumps(value)}" for name, value in fields.items()]
        lines += [
            "[Zones]",
            *[f'{zone} = "limon"' for zone in dict.fromkeys((*ZONES, self.zone))],
        ]
        lines += ["[ListenAddrs]"]
        lines += [f'{name} = "{self.ip}:{port}"' for name, port in listen.items()]
        lines += ["[FaultTolerance]", "Machines = 1", "Zones = 0", "Regions = 0"]
        lines += ["[Bounds]", *[f"{name} = {value}" for name, value in BOUNDS.items()]]
        return "\n".join(lines) + "\n"


class Fleet:
    """All processes of one case, in a temporary folder."""

    def __init__(
        self, record: Record, seeds: Iterable[str], addresses: Iterable[str]
    ) -> None:
        self.record = record
        self.seeds = tuple(seeds)
        self.folder = Path(tempfile.mkdtemp(prefix="ibisshunt-review-"))
        self.ports = Ports((*self.seeds, *addresses))
        self.nodes: list[Node] = []

    def add(
        self, role: str, ip: str, zone: str, bootstrap: bool = True, **more: str
    ) -> Node:
        """Start a node on a new machine."""
        node = Node(self, role, ip, zone, bootstrap, **more)
        self.nodes.append(node)
        node.start()
        return node

    def put(self, node: Node, configuration: dict[str, Any]) -> int:
        """Send a configuration to one node; return the status."""
        status, _, seconds = call(node.control, "POST", PUT_PATH, configuration)
        self.record.write(
            f"operator puts version {configuration['Version']} at {node.ip}:"
            f" {status or 'no answer'} after {seconds:.3f} s"
        )
        return status

    def put_until_acknowledged(
        self, nodes: list[Node], configuration: dict[str, Any], seconds: float
    ) -> bool:
        """Send a configuration to one node after the other until it is accepted."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for node in nodes:
                if self.put(node, configuration) == 200:
                    return True
            time.sleep(0.2)
        return False

    def read_version(self, node: Node) -> int:
        """Read the configuration at a node; return its version, 0 without one."""
        status, body, seconds = call(node.control, "GET", GET_PATH)
        version = json.loads(body)["Version"] if status == 200 else 0
        self.record.write(
            f"operator reads at {node.ip}: {status or 'no answer'}"
            f" version {version or '-'} after {seconds:.3f} s"
        )
        return version

    def close(self) -> None:
        """End all processes and remove the folder."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait(10)
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
            return
        shutil.rmtree(self.folder, ignore_errors=True)


def make_configuration(
    version: int, routes: Iterable[tuple[str, str, int, str]]
) -> dict[str, Any]:
    """Return a configuration; a route is (service, address, port, type)."""
    listed = list(routes)
    return {
        "Version": version,
        "Routes": [
            {
                "Name": f"r-{number}",
                "Hostname": address,
                "PathPrefix": f"/{port}/",
                "Type": kind,
                "TimeoutMs": 600,
                "TargetLatencyMs": 120,
                "Priority": 1,
                "Service": service,
                "MaxAttempts": 2,
            }
            for number, (service, address, port, kind) in enumerate(listed)
        ],
        "Services": [
            {
                "Name": name,
                "HealthPath": "/health",
                "MaxConns": 2000,
                "Protocol": "h1",
                "Tls": False,
            }
            for name in dict.fromkeys(service for service, *_ in listed)
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 262144,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }


def run_case(path: Path, is_troubled: bool, case: Callable[[Record], int]) -> None:
    """Run a case and exit with its result."""
    record = Record(path)
    record.write("with the disruption" if is_troubled else "without the disruption")
    try:
        result = case(record)
    except CaseNotRunError as error:
        record.write(f"the case could not run: {error}")
        result = NOT_RUN
    names = {HELD: "the rule held", BROKEN: "the rule is broken", NOT_RUN: "not run"}
    record.write(names[result])
    print(names[result])
    sys.exit(result)
