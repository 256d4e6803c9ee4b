"""Measure the real programs as processes of their own, on loopback.

Run ``python -m measurements.processes PART``; it prints JSON and takes under a minute
for each part: ``balancers``, ``agents`` or ``services``. Nodes reach control through a
relay in this process that counts the bytes of their TCP connections; processor time and
resident memory are those that the kernel reports.
"""

from gevent import monkey

monkey.patch_all()

import grpc.experimental.gevent as grpc_gevent

grpc_gevent.init_gevent()

import argparse
import json
import os
import tempfile
import time
from pathlib import Path

import gevent

from ibisshunt.const import HEARTBEAT_SECONDS, WARM_UP_SECONDS
from ibisshunt.coordination.distribution.sender import Sender
from ibisshunt.exceptions import RpcError
from ibisshunt.model.address import Address
from ibisshunt.model.configuration import Configuration
from ibisshunt.protocol.messages import (
    APPLY,
    REPORT,
    WATCH,
    ApplyRequest,
    ReportReply,
)
from ibisshunt.protocol.rpc import Channel, Server

from .configurations import make_record, make_slices
from .programs import READY_SECONDS, Program, Relay, make_loopback, reserve_port

STAGES = (3, 6, 12)
SERVICES = (110, 330, 1100)
WINDOW_SECONDS = 3.0
SETTLE_SECONDS = 1.5
# After a target's warm-up nothing changes any more.
QUIET_SECONDS = WARM_UP_SECONDS - WINDOW_SECONDS


class System:
    """Own one control host and the nodes that follow it."""

    def __init__(self, folder):
        self.folder = folder
        self.rpc = make_loopback()
        self.control = Program(
            folder,
            "c1",
            "control",
            {
                "rpc": self.rpc,
                "admin": make_loopback(),
                "data_folder": f"{folder}/data",
            },
        )
        self.nodes = []

    def apply_records(self):
        """Put one service in force."""
        business = json.dumps({"kind": "business", "schema": 1, "name": "marea"})
        ip, port = self.rpc.split(":")
        channel = Channel(Address(ip, int(port)))
        request = ApplyRequest("setup", (business, make_record(0)))
        with gevent.Timeout(READY_SECONDS):
            while not self.try_apply(channel, request):
                gevent.sleep(0.2)
        channel.close()

    def try_apply(self, channel, request):
        """Return whether control accepted the records."""
        try:
            return not any(one.error for one in channel.call(APPLY, request).outcomes)
        except RpcError:
            return False

    def start_node(self, program, number):
        """Start a balancer or an agent behind a relay of its own."""
        ip, port = self.rpc.split(":")
        relay = Relay((ip, int(port)))
        settings = {
            "control": [relay.address],
            "packets": make_loopback(),
            "admin": make_loopback(),
        }
        if program == "balancer":
            settings["streams"] = False
        else:
            settings |= {"streams": make_loopback(), "target": self.describe(number)}
        node = Program(self.folder, f"{program}-{number}", program, settings)
        node.relay = relay
        self.nodes.append(node)

    def describe(self, number):
        """Return the settings of the target of an agent."""
        return {
            "business": "marea",
            "service": "service-0",
            "name": f"target-{number}",
            "host": f"host-{number}",
            "tunnel": make_loopback(),
            "streams": make_loopback(),
        }

    def settle(self):
        """Wait until all nodes have the configuration in force."""
        for node in self.nodes:
            node.wait_until_ready()
        gevent.sleep(SETTLE_SECONDS)

    def measure(self, program):
        """Return what control and the nodes of one kind use while nothing happens."""
        chosen = [node for node in self.nodes if node.name.startswith(program)]
        control_cpu = self.control.read_cpu()
        node_cpu = sum(node.read_cpu() for node in chosen)
        counts = [self.count(chosen, name) for name in ("sent", "received", "reads")]
        began = time.monotonic()
        gevent.sleep(WINDOW_SECONDS)
        lasted = time.monotonic() - began
        after = [self.count(chosen, name) for name in ("sent", "received", "reads")]
        each = lasted * max(1, len(chosen))
        sent, received, reads = (
            (new - old) / each for new, old in zip(after, counts, strict=True)
        )
        memory = sorted(node.read_memory() for node in chosen)
        return {
            "nodes": len(chosen),
            "all_nodes": len(self.nodes),
            "control_cpu_share": (self.control.read_cpu() - control_cpu) / lasted,
            "control_resident_bytes": self.control.read_memory(),
            "node_cpu_share": (sum(one.read_cpu() for one in chosen) - node_cpu) / each,
            "node_resident_bytes_median": memory[len(memory) // 2] if memory else 0,
            "node_resident_bytes_most": memory[-1] if memory else 0,
            "node_sent_bytes_per_second": sent,
            "node_received_bytes_per_second": received,
            "node_socket_reads_per_second": reads,
        }

    def count(self, nodes, name):
        """Add up one counter of the nodes' relays."""
        return sum(getattr(node.relay, name) for node in nodes)

    def stop(self):
        """Stop all, control last."""
        for node in [*self.nodes, self.control]:
            node.stop()


def measure_idle(folder, program):
    """Return one figure a stage for nodes of one kind."""
    system = System(folder)
    try:
        system.control.wait_until_ready()
        system.apply_records()
        system.settle()
        alone = system.measure(program)
        warming, quiet = [], []
        for count in STAGES:
            for number in range(len(system.nodes), count):
                system.start_node(program, number)
            system.settle()
            if program == "agent":
                warming.append(system.measure(program))
                gevent.sleep(QUIET_SECONDS)
            quiet.append(system.measure(program))
        return {"no_nodes": alone, "warming": warming, "quiet": quiet}
    finally:
        system.stop()


class FakeControl:
    """Serve one configuration, without a log or a disk."""

    def __init__(self, services):
        self.sender = Sender()
        slices = make_slices(services, 6, port=reserve_port())
        self.sender.advance(Configuration(1, slices))
        handlers = {WATCH: self.watch, REPORT: lambda request, _: ReportReply(1)}
        self.server = Server(Address("127.0.0.1", 0), handlers, 16)
        self.server.start()

    def watch(self, request, context):
        """Send what is wanted, then heartbeats."""
        since = request.since
        while context.is_active():
            yield self.sender.make_update(since)
            since = 1
            gevent.sleep(HEARTBEAT_SECONDS)


def measure_balancer(folder, services, streams):
    """Return the memory and idle cost of a balancer that holds many services."""
    control = FakeControl(services)
    settings = {
        "control": [str(control.server.address)],
        "packets": make_loopback(),
        "admin": make_loopback(),
        "streams": streams,
    }
    balancer = Program(
        folder,
        f"b-{services}-{'streams' if streams else 'packets'}",
        "balancer",
        settings,
    )
    try:
        balancer.wait_until_ready()
        gevent.sleep(SETTLE_SECONDS)
        start, began = balancer.read_cpu(), time.monotonic()
        gevent.sleep(WINDOW_SECONDS / 2)
        share = (balancer.read_cpu() - start) / (time.monotonic() - began)
        return {
            "services": services,
            "targets_each": 6,
            "streams": streams,
            "resident_bytes": balancer.read_memory(),
            "cpu_seconds_since_start": start,
            "idle_cpu_share": share,
            "open_files": balancer.kernel_view.num_fds(),
        }
    finally:
        balancer.stop()
        control.server.stop()


def measure_services(folder):
    """Return what a balancer takes by the number of services it holds."""
    return {
        name: [measure_balancer(folder, count, streams) for count in SERVICES]
        for name, streams in (("packets", False), ("streams", True))
    }


PARTS = {
    "balancers": lambda folder: measure_idle(folder, "balancer"),
    "agents": lambda folder: measure_idle(folder, "agent"),
    "services": measure_services,
}


def main():
    """Measure one part and print JSON."""
    os.environ["PYTHONPATH"] = str(Path(__file__).parents[1])
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", choices=PARTS)
    measure = PARTS[parser.parse_args().part]
    with tempfile.TemporaryDirectory() as folder:
        result = measure(folder)
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
