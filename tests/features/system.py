"""Run a small system in one process for the feature tests."""

import random

import gevent
from gevent import socket

from ibisshunt.components.standin import Endpoint, Fabric
from ibisshunt.components.standin.traffic import ServiceAddress
from ibisshunt.core import Kernel
from ibisshunt.model.address import Address
from ibisshunt.programs import set_up_standalone
from ibisshunt.protocol.messages import STATUS, StatusRequest
from ibisshunt.protocol.rpc import Channel
from ibisshunt.settings import (
    AgentSettings,
    BalancerSettings,
    ControlSettings,
    StandaloneSettings,
    TargetSettings,
)

SERVICES = {
    "booking": "marea",
    "docs": "marea",
    "gatepass": "kai-heap",
    "reportery": "kai-heap",
}
DOMAINS = ("east", "west")
CALLERS = ["127.0.0.0/8"]
HTTP_SERVICES = ("booking",)


def reserve_addresses(kind=socket.SOCK_STREAM):
    """Yield free addresses, reserved by open sockets until the generator is closed."""
    reserved = []
    try:
        while True:
            probe = socket.socket(socket.AF_INET, kind)
            probe.bind(("127.0.0.1", 0))
            reserved.append(probe)
            yield Address(*probe.getsockname())
    finally:
        for probe in reserved:
            probe.close()


class System:
    """Run every program of a small system as services of one kernel."""

    def __init__(self, folder, balancers, targets):
        self.tcp = reserve_addresses()
        self.udp = reserve_addresses(socket.SOCK_DGRAM)
        rpc = next(self.tcp)
        self.control = ControlSettings("c1", "east", rpc, next(self.tcp), str(folder))
        self.services = {
            name: ServiceAddress(name, next(self.tcp)) for name in SERVICES
        }
        self.replies = next(self.udp)
        self.balancers = [
            self.make_balancer(number, rpc) for number in range(balancers)
        ]
        self.agents = [
            self.make_agent(name, number, rpc)
            for name in SERVICES
            for number in range(1, targets + 1)
        ]
        self.tcp.close()
        self.udp.close()
        self.start()

    def make_balancer(self, number, rpc):
        packets, admin = next(self.udp), next(self.tcp)
        accepts_streams = number == 0
        return BalancerSettings(
            f"b{number}", DOMAINS[number % 2], (rpc,), packets, admin, accepts_streams
        )

    def make_agent(self, service, number, rpc):
        target = TargetSettings(
            SERVICES[service],
            service,
            f"{service}-{number}",
            f"host-{service}-{number}",
            next(self.udp),
            next(self.tcp),
        )
        return AgentSettings(
            f"{service}-{number}",
            DOMAINS[number % 2],
            (rpc,),
            next(self.udp),
            next(self.tcp),
            next(self.tcp),
            target,
            self.replies,
            rpc=next(self.tcp),
        )

    def start(self):
        self.kernel = Kernel()
        self.endpoints = [
            Endpoint(
                agent.target.service,
                agent.target.name,
                agent.target.tunnel,
                agent.target.streams,
                agent.replies,
            )
            for agent in self.agents
        ]
        settings = StandaloneSettings(
            (self.control,), tuple(self.balancers), tuple(self.agents)
        )
        set_up_standalone(self.kernel, settings)
        addresses = [balancer.packets for balancer in self.balancers]
        self.fabric = Fabric(self.replies, addresses, random.Random(7).choice)
        self.channel = Channel(self.control.rpc)

    def list_records(self):
        records = [
            {"kind": "business", "schema": 1, "name": name}
            for name in sorted(set(SERVICES.values()))
        ]
        records += [self.make_service_record(name) for name in SERVICES]
        return records

    def make_service_record(self, name):
        address = self.services[name].address
        record = {"kind": "service", "business": SERVICES[name], "name": name}
        listen = {"address": address.ip, "port": address.port, "protocol": "tcp"}
        if name not in HTTP_SERVICES:
            return {**record, "schema": 1, **listen, "callers": CALLERS}
        return {
            **record,
            "schema": 2,
            "listen": listen,
            "admission": {"callers": CALLERS},
            "front": {"kind": "http"},
        }

    def status(self):
        return self.channel.call(STATUS, StatusRequest())

    def wait_until_active(self, targets):
        node_count = len(self.balancers) + len(self.agents)
        with gevent.Timeout(20):
            while True:
                status = self.status()
                current = [
                    node for node in status.nodes if node.revision >= status.revision
                ]
                if len(status.targets) == targets and len(current) == node_count:
                    return status
                gevent.sleep(0.05)

    def find_dump(self, child, service):
        return self.kernel.find(child).dump()[service]

    def stop(self):
        self.channel.close()
        self.fabric.close()
        self.kernel.stop()
        for endpoint in self.endpoints:
            endpoint.close()
