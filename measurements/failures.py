"""Count broken flows while separate processes are stopped, killed and replaced.

Run: ``python -m measurements.failures [STEP ...]``. Three control hosts, three
balancers and seven agents run as processes of their own; the fabric, the callers and
the endpoints are stand-ins in this process. Each step changes the system while flows
are open and asks once on each of them afterwards. Prints JSON; bounded by
STEP_SECONDS a step.
"""

from gevent import monkey

monkey.patch_all()

import json
import random
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import gevent
from absl import logging
from gevent import socket

from ibisshunt.components.standin import Caller, Endpoint, Fabric, FlowBrokenError
from ibisshunt.exceptions import RpcError
from ibisshunt.helpers.runtime import prepare_grpc
from ibisshunt.model.address import Address
from ibisshunt.protocol.messages import (
    APPLY,
    STATUS,
    ApplyRequest,
    StatusReply,
    StatusRequest,
)
from ibisshunt.protocol.rpc import Channel
from measurements.spawning import Program, reserve_addresses

STEP_SECONDS = 40.0
FLOWS = 70
TARGETS = 7
BALANCERS = 3
DOMAINS = ("moin-a", "moin-b", "limon-centro", "cieneguita")
FIRST_PORT = 20_000


@dataclass(frozen=True, slots=True)
class StepResult:
    """Tell what one step did to the flows that were open."""

    step: str
    flows: int
    broken: int
    moved: int
    seconds: float


class Stage:
    """Own the processes and the flows of one run."""

    def __init__(self, folder: Path) -> None:
        tcp = iter(reserve_addresses(60, socket.SOCK_STREAM))
        udp = iter(reserve_addresses(60, socket.SOCK_DGRAM))
        self.replies = next(udp)
        self.service = next(tcp)
        rpcs = [next(tcp) for _ in range(3)]
        self.control = [
            Program(
                "control",
                {
                    "name": f"c{number + 1}",
                    "failure_domain": DOMAINS[number],
                    "rpc": str(rpc),
                    "admin": str(next(tcp)),
                    "data_folder": str(folder / f"data-{number + 1}"),
                    "peers": {f"c{n + 1}": str(one) for n, one in enumerate(rpcs)},
                },
                folder,
            )
            for number, rpc in enumerate(rpcs)
        ]
        self.channels = [Channel(rpc) for rpc in rpcs]
        shared = {"control": [str(rpc) for rpc in rpcs]}
        self.balancers = [
            Program(
                "balancer",
                {
                    **shared,
                    "name": f"b{number + 1}",
                    "failure_domain": DOMAINS[number],
                    "packets": str(next(udp)),
                    "admin": str(next(tcp)),
                    "streams": False,
                },
                folder,
            )
            for number in range(BALANCERS)
        ]
        self.endpoints: list[Endpoint] = []
        self.agents = [
            self._make_agent(number, shared, tcp, udp, folder)
            for number in range(TARGETS)
        ]
        places = [_read(program.settings["packets"]) for program in self.balancers]
        self.live = list(places)
        self.fabric = Fabric(
            self.replies,
            places,
            lambda _: random.Random(next(self._draws)).choice(self.live),
        )
        self._draws = iter(range(10**9))
        self.callers: list[Caller] = []
        self.owners: dict[Caller, bytes] = {}

    def _make_agent(
        self, number: int, shared: dict, tcp: object, udp: object, folder: Path
    ) -> Program:
        name = f"booking-{number + 1}"
        endpoint = Endpoint("booking", name, next(udp), next(tcp), self.replies)
        self.endpoints.append(endpoint)
        settings = {
            **shared,
            "name": name,
            "failure_domain": DOMAINS[number % len(DOMAINS)],
            "packets": str(next(udp)),
            "streams": str(next(tcp)),
            "admin": str(next(tcp)),
            "replies": str(self.replies),
            "target": {
                "business": "marea",
                "service": "booking",
                "name": name,
                "host": f"host-{number + 1}",
                "tunnel": str(endpoint.tunnel),
                "streams": str(endpoint.web),
            },
        }
        return Program("agent", settings, folder)

    def list_programs(self) -> list[Program]:
        """Return all programs."""
        return [*self.control, *self.balancers, *self.agents]

    def call(self, method: object, request: object) -> object:
        """Return the reply of the first control host that answers in time."""
        deadline = time.monotonic() + STEP_SECONDS
        while True:
            for channel in self.channels:
                try:
                    return channel.call(method, request, timeout=2.0)
                except RpcError as error:
                    last = error
            if time.monotonic() > deadline:
                raise last
            gevent.sleep(0.1)

    def apply(self, operation: str, *records: dict) -> None:
        """Apply records; raise RuntimeError when one is refused."""
        documents = tuple(json.dumps(record) for record in records)
        reply = self.call(APPLY, ApplyRequest(operation, documents))
        errors = [outcome.error for outcome in reply.outcomes if outcome.error]
        if errors:
            raise RuntimeError(errors)

    def wait(self, holds: Callable[[StatusReply], bool]) -> float:
        """Wait until the status fits; return the seconds that it took."""
        started = time.monotonic()
        while time.monotonic() < started + STEP_SECONDS:
            status = self.call(STATUS, StatusRequest())
            if holds(status):
                return time.monotonic() - started
            gevent.sleep(0.1)
        raise TimeoutError(self._explain(status))

    def _explain(self, status: StatusReply) -> str:
        """Return what is missing, with the end of the log of each program at fault."""
        fresh = {
            node.node
            for node in status.nodes
            if node.age_seconds < 3.0 and node.revision >= status.revision
        }
        parts = [str(status.targets)]
        for program in [*self.balancers, *self.agents]:
            if program.name not in fresh:
                parts.append(f"{program.name}: {program.read_log()[-1500:]}")
        return "\n".join(parts)

    def wait_in_force(self, nodes: int, ready: int) -> float:
        """Wait until so many nodes have the revision and so many targets are ready."""

        def holds(status: StatusReply) -> bool:
            fresh = [n for n in status.nodes if n.age_seconds < 3.0]
            current = [n for n in fresh if n.revision >= status.revision]
            states = [target.state for target in status.targets]
            return len(current) >= nodes and states.count("ready") >= ready

        return self.wait(holds)

    def open_flows(self, count: int) -> None:
        """Open more flows."""
        for _ in range(count):
            port = FIRST_PORT + len(self.owners)
            caller = Caller(self.fabric, Address("127.9.0.1", port), self.service)
            caller.open()
            self.callers.append(caller)
            self.owners[caller] = caller.send_request(b"first").split(b" ")[1]

    def ask_all(self) -> tuple[int, int]:
        """Ask on every flow; return how many broke and how many changed target."""
        broken = moved = 0
        for caller in list(self.callers):
            try:
                owner = caller.send_request(b"again").split(b" ")[1]
            except FlowBrokenError:
                broken += 1
                self.callers.remove(caller)
                continue
            moved += owner != self.owners[caller]
        return broken, moved

    def close(self) -> None:
        """End every process and socket."""
        for program in self.list_programs():
            program.kill()
        for channel in self.channels:
            channel.close()
        self.fabric.close()
        for endpoint in self.endpoints:
            endpoint.close()


def _read(text: str) -> Address:
    ip, _, port = text.rpartition(":")
    return Address(ip, int(port))


def make_records(service: Address) -> list[dict]:
    """Return the records of one business with one service."""
    return [
        {"kind": "business", "schema": 1, "name": "marea"},
        {
            "kind": "service",
            "schema": 1,
            "business": "marea",
            "name": "booking",
            "address": service.ip,
            "port": service.port,
            "protocol": "tcp",
            "callers": ["127.0.0.0/8"],
        },
    ]


def roll_balancers(stage: Stage) -> None:
    """Stop and start each balancer; the fabric stops to use it first."""
    for program in stage.balancers:
        place = _read(program.settings["packets"])
        stage.live.remove(place)
        code = program.stop()
        assert code == 0, program.read_log()
        stage.ask_all()
        program.start()
        stage.wait_in_force(BALANCERS + TARGETS, 1)
        stage.live.append(place)


def kill_balancer(stage: Stage) -> None:
    """Kill a balancer; the fabric notices after a while and stops to use it."""
    program = stage.balancers[0]
    stage.live.remove(_read(program.settings["packets"]))
    program.kill()


def restart_balancer(stage: Stage) -> None:
    """Start the balancer that was killed, with empty memory."""
    program = stage.balancers[0]
    program.start()
    stage.wait_in_force(BALANCERS + TARGETS, 1)
    stage.live.append(_read(program.settings["packets"]))


def roll_agents(stage: Stage) -> None:
    """Stop and start each agent beside its living target."""
    for program in stage.agents:
        code = program.stop()
        assert code == 0, program.read_log()
        program.start()
        stage.wait_in_force(BALANCERS + TARGETS, TARGETS)


def kill_agent(stage: Stage) -> None:
    """Kill one agent beside its living target and start it again."""
    stage.agents[2].kill()
    gevent.sleep(0.5)
    stage.agents[2].start()
    stage.wait_in_force(BALANCERS + TARGETS, TARGETS)


def kill_leader(stage: Stage) -> None:
    """Kill the control host that leads and go on with the two others."""
    leader = stage.call(STATUS, StatusRequest()).leader
    for program in stage.control:
        if program.name == leader:
            program.kill()
    drain(stage, 0)


def restart_control(stage: Stage) -> None:
    """Start the control host that was killed."""
    for program in stage.control:
        program.kill()
        program.start()
        stage.wait_in_force(BALANCERS + TARGETS, TARGETS - 1)


def drain(stage: Stage, number: int) -> None:
    """Drain one target while its flows go on."""
    name = f"booking-{number + 1}"
    record = {
        "kind": "drain",
        "schema": 1,
        "business": "marea",
        "service": "booking",
        "target": name,
    }
    stage.apply(f"drain-{number}", record)
    stage.wait_in_force(BALANCERS + TARGETS, 1)


def freeze_leader(stage: Stage) -> None:
    """Freeze the control host that leads, change a record, let it go on."""
    leader = stage.call(STATUS, StatusRequest()).leader
    frozen = [program for program in stage.control if program.name == leader]
    for program in frozen:
        program.send(signal.SIGSTOP)
    drain(stage, 1)
    for program in frozen:
        program.send(signal.SIGCONT)
    stage.wait_in_force(BALANCERS + TARGETS, 1)


def kill_leader_and_agent(stage: Stage) -> None:
    """Kill the leader and an agent in the same moment; start both again."""
    leader = stage.call(STATUS, StatusRequest()).leader
    dead = [program for program in stage.control if program.name == leader]
    dead.append(stage.agents[4])
    for program in dead:
        program.kill()
    gevent.sleep(1.0)
    for program in dead:
        program.start()
    stage.wait_in_force(BALANCERS + TARGETS, 1)


def lose_control(stage: Stage) -> None:
    """Kill all control hosts: flows go on, and new ones find their targets."""
    for program in stage.control:
        program.kill()
    gevent.sleep(1.0)
    stage.open_flows(10)


STEPS: tuple[Callable[[Stage], None], ...] = (
    roll_balancers,
    kill_balancer,
    restart_balancer,
    roll_agents,
    kill_agent,
    kill_leader,
    restart_control,
    freeze_leader,
    kill_leader_and_agent,
    lose_control,
)


def run(folder: Path, steps: tuple[Callable[[Stage], None], ...]) -> list[StepResult]:
    """Run the steps; return what each did to the flows."""
    stage = Stage(folder)
    results = []
    try:
        for program in stage.list_programs():
            program.start()
        stage.apply("records", *make_records(stage.service))
        stage.wait_in_force(BALANCERS + TARGETS, TARGETS)
        stage.open_flows(FLOWS)
        for step in steps:
            started = time.monotonic()
            flows = len(stage.callers)
            step(stage)
            broken, moved = stage.ask_all()
            seconds = round(time.monotonic() - started, 2)
            results.append(StepResult(step.__name__, flows, broken, moved, seconds))
            print(results[-1], file=sys.stderr)
    finally:
        stage.close()
    return results


def main() -> None:
    """Run every step and print JSON."""
    prepare_grpc()
    logging.set_verbosity(logging.ERROR)
    with tempfile.TemporaryDirectory(prefix="ibisshunt-failures-") as folder:
        names = sys.argv[1:]
        steps = tuple(s for s in STEPS if not names or s.__name__ in names)
        results = run(Path(folder), steps)
    print(json.dumps([vars_of(result) for result in results], indent=1))


def vars_of(result: StepResult) -> dict:
    """Return the fields of a result."""
    return {name: getattr(result, name) for name in StepResult.__slots__}


if __name__ == "__main__":
    main()
