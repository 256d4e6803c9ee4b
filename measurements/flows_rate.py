"""Measure packets a second through a balancer and an agent, against a bare relay.

Prints JSON. One sender process floods the process under test for a few seconds; the
bare relay, the balancer and the agent take turns within one run, several rounds.
"""

from gevent import monkey

monkey.patch_all()

import argparse
import json
import statistics
import struct
import subprocess
import sys
import time
from types import SimpleNamespace

import dpkt
import gevent
from gevent import socket

from ibisshunt.components.agent import packets as agent_packets
from ibisshunt.components.balancer import packets as balancer_packets
from ibisshunt.core import Kernel
from ibisshunt.model.address import Address
from ibisshunt.model.configuration import Configuration, ServiceSlice
from ibisshunt.model.flow import Protocol
from ibisshunt.model.record import Service
from ibisshunt.model.target import Announcement, Target, TargetState
from ibisshunt.protocol.datagram import DatagramKind, Header, pack_header
from ibisshunt.settings import AgentSettings, BalancerSettings, TargetSettings

FLOWS = 1000
SECONDS = 1.5
WARM_UP_SECONDS = 0.7
ROUNDS = 3
PAYLOAD = b"x" * 200
ANY = Address("127.0.0.1", 0)


def make_packet(port: int, flags: int) -> bytes:
    """Return a TCP packet of one flow."""
    segment = dpkt.tcp.TCP(
        sport=port, dport=443, seq=1, ack=1, flags=flags, data=PAYLOAD
    )
    packet = dpkt.ip.IP(src=b"\x7f\x03\0\1", dst=b"\x7f\x01\0\1", p=6, data=segment)
    packet.len = 20 + len(segment)
    return bytes(packet)


def flood(address: str, prefix: str, control: str) -> None:
    """Send packets of all flows in turn, as fast as one process can.

    In between a message with the time goes to the control socket.
    """
    original = monkey.get_original("socket", "socket")
    ip, port = address.split(":")
    sender = original(socket.AF_INET, socket.SOCK_DGRAM)
    sender.connect((ip, int(port)))
    teller = original(socket.AF_INET, socket.SOCK_DGRAM)
    control_ip, control_port = control.split(":")
    teller.connect((control_ip, int(control_port)))
    head = bytes.fromhex(prefix)
    packets = [head + make_packet(20_000 + n, dpkt.tcp.TH_ACK) for n in range(FLOWS)]
    deadline = time.monotonic() + 30
    while time.monotonic() < deadline:
        for packet in packets:
            sender.send(packet)
        teller.send(struct.pack("!d", time.monotonic()))


class FakeConfiguration:
    """Hold one configuration for good."""

    def __init__(self, configuration):
        self.current = configuration

    def subscribe(self, callback):
        """Call back once."""
        callback(self.current)

    def record_peer_revision(self, revision):
        """Do nothing: nothing is ever stale here."""


class FakeMetrics:
    """Take metrics and drop them."""

    def add(self, name, amount=1, **labels):
        """Drop a count."""

    def set(self, name, value, **labels):
        """Drop a value."""


def make_kernel(configuration):
    """Return a kernel with the services that the packet path asks for."""
    kernel = Kernel()
    kernel.register("configuration", FakeConfiguration(configuration))
    kernel.register("announcement", SimpleNamespace(incarnation=1, leaving=False))
    kernel.register("metrics", FakeMetrics())
    return kernel


def make_configuration(agent: Address) -> Configuration:
    """Return one service with one target."""
    service = Service(
        "marea",
        "booking",
        "127.1.0.1",
        443,
        Protocol.TCP,
        ("127.3.0.0/16",),
        number=1,
    )
    announcement = Announcement(
        "marea", "booking", "t1", "s", "h", "d", agent, agent, agent
    )
    target = Target(announcement, 1, TargetState.READY, 0.0)
    return Configuration(1, {1: ServiceSlice(service, (target,), 1)})


def start_bare(sink):
    """The yardstick: receive a datagram, send it, nothing else."""
    relay = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    relay.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * 1024 * 1024)
    relay.bind(("127.0.0.1", 0))
    state = SimpleNamespace(count=0)

    def serve():
        pair = sink.as_pair()
        while True:
            data, _ = relay.recvfrom(65_535)
            relay.sendto(data, pair)
            state.count += 1
            # A bare loop never lets others run while data are ready; the measuring
            # task needs a turn now and then.
            if not state.count % 64:
                gevent.sleep(0)

    task = gevent.spawn(serve)
    address = Address(*relay.getsockname())
    return address, "", lambda: state.count, lambda: (task.kill(), relay.close())


def start_balancer(sink):
    """Start the packet path of a balancer."""
    settings = BalancerSettings("b1", "d", (ANY,), ANY, ANY)
    kernel = make_kernel(make_configuration(sink))
    balancer_packets.setup(kernel, settings)
    task = kernel.find("packets")
    return task.address, "", lambda: task.dump()["forwarded"], kernel.stop


def start_agent(sink):
    """Start the packet path of an agent that owns all flows."""
    target = TargetSettings("marea", "booking", "t1", "h", sink, sink)
    settings = AgentSettings("a1", "d", (ANY,), ANY, ANY, ANY, target, sink)
    kernel = make_kernel(make_configuration(sink))
    agent_packets.setup(kernel, settings)
    task = kernel.find("packets")
    gevent.sleep(0.5)
    head = Header(DatagramKind.PACKET, 0, 1, 1, 1)
    for number in range(FLOWS):
        packet = make_packet(20_000 + number, dpkt.tcp.TH_SYN)
        task._handle(pack_header(head) + packet, ("127.0.0.1", 1))
    prefix = pack_header(head).hex()
    return task.address, prefix, lambda: task.dump()["delivered"], kernel.stop


def measure(start, sink) -> dict:
    """Return the rate under flood and the delay of messages to a control task."""
    address, prefix, count, stop = start(sink)
    control = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    control.bind(("127.0.0.1", 0))
    command = [sys.executable, __file__, "--flood", str(address), "--prefix", prefix]
    command += ["--control", "{}:{}".format(*control.getsockname())]
    sender = subprocess.Popen(command)
    try:
        delays = []
        warm = time.monotonic() + WARM_UP_SECONDS
        while time.monotonic() < warm:
            control.recv(8)
        began, first = time.monotonic(), count()
        while time.monotonic() < began + SECONDS:
            (sent,) = struct.unpack("!d", control.recv(8))
            delays.append(time.monotonic() - sent)
        rate = (count() - first) / (time.monotonic() - began)
    finally:
        sender.kill()
        sender.wait()
        stop()
        control.close()
    delays.sort()
    return {
        "packets_per_second": round(rate),
        "control_messages": len(delays),
        "control_delay_ms_median": round(delays[len(delays) // 2] * 1000, 2),
        "control_delay_ms_p99": round(delays[int(len(delays) * 0.99)] * 1000, 2),
        "control_delay_ms_max": round(delays[-1] * 1000, 2),
    }


def main() -> None:
    """Take turns and print the result."""
    sink_socket = monkey.get_original("socket", "socket")(
        socket.AF_INET, socket.SOCK_DGRAM
    )
    sink_socket.bind(("127.0.0.1", 0))
    sink = Address(*sink_socket.getsockname())
    starts = {"bare": start_bare, "balancer": start_balancer, "agent": start_agent}
    runs = {name: [] for name in starts}
    for _ in range(ROUNDS):
        for name, start in starts.items():
            runs[name].append(measure(start, sink))
    rates = {
        name: statistics.median(one["packets_per_second"] for one in found)
        for name, found in runs.items()
    }
    result = {
        "packet_bytes": 40 + len(PAYLOAD),
        "median_packets_per_second": rates,
        "ratio_balancer_to_bare": round(rates["balancer"] / rates["bare"], 3),
        "ratio_agent_to_bare": round(rates["agent"] / rates["bare"], 3),
        "rounds": runs,
    }
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--flood", default="")
    parser.add_argument("--prefix", default="")
    parser.add_argument("--control", default="")
    arguments = parser.parse_args()
    if arguments.flood:
        flood(arguments.flood, arguments.prefix, arguments.control)
    else:
        main()
