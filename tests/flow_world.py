"""Simulation of routers and flow owners, without sockets or real clocks."""

from dataclasses import dataclass

from ibisshunt.coordination.flows.actions import ActionKind
from ibisshunt.coordination.flows.owner import FlowOwner
from ibisshunt.coordination.flows.recall import RECALL_TIMEOUT_SECONDS
from ibisshunt.coordination.flows.router import Router
from ibisshunt.coordination.flows.table import ServiceTable
from ibisshunt.model.target import TargetState
from ibisshunt.protocol.datagram import DatagramKind, read_datagram
from ibisshunt.protocol.packet import PacketError, scan_packet
from tests.flow_fakes import (
    ACK,
    SYN,
    make_configuration,
    make_service,
    make_slice,
    make_target,
    make_tcp,
)

MAX_HOPS = 200


@dataclass(frozen=True)
class Outcome:
    """Outcome of a packet: its target or a reason, and the agents that it visited."""

    target: str = ""
    visits: tuple = ()
    reason: str = ""
    reset: bool = False

    @property
    def agent_port(self):
        """Return the port of the agent that delivered the packet, or 0."""
        return self.visits[-1] if self.target else 0


class World:
    """Simulation of the targets of one service with their agents, and of balancers.

    Each node has its own table; ``publish`` updates some of them. The network loses
    only messages to ``dead`` addresses, all notices if ``lose_notices`` is set, and
    notices of the ``dropped_kinds``.
    """

    def __init__(
        self, targets=4, balancers=2, start=1000.0, warm=True, max_flows=1000, **service
    ):
        self.now = start
        self.revision = 0
        self.service = make_service(**service)
        self.slice = None
        self.targets = {}
        self.agents = {}
        self.dead = set()
        self.lose_notices = False
        self.dropped_kinds = set()
        self.next_incarnation = 1
        for number in range(1, targets + 1):
            self.add(f"t{number}", max_flows)
        self.balancers = [Router() for _ in range(balancers)]
        self.publish()
        if warm:
            self.now += 10 * self.service.idle_timeout_ms / 1000

    def add(self, name, max_flows=1000, **changes):
        """Start a target with its agent; ``publish`` adds it to the tables."""
        target = make_target(self.next_incarnation, self.service, name=name, **changes)
        self.next_incarnation += 1
        self.targets[target.incarnation] = target
        address = target.announcement.packets.as_pair()
        self.agents[address] = FlowOwner(max_flows, self.now)
        if self.slice is not None:
            # An agent announces its target only after it has received a table, so this
            # table does not contain the target.
            table = ServiceTable(self.slice, self.now)
            self.agents[address].update(table, target.incarnation, self.now)
        return target

    def find(self, name):
        targets = [target for target in self.targets.values() if target.name == name]
        return max(targets, key=lambda target: target.incarnation)

    def find_agent(self, name):
        return self.agents[self.find(name).announcement.packets.as_pair()]

    def change(self, name, **changes):
        """Change fields of a target in the records."""
        old = self.find(name)
        announcement = old.announcement
        fields = {
            "name": name,
            "packets": announcement.packets,
            "state": old.state,
            "weight": announcement.weight,
            "failure_domain": announcement.failure_domain,
            "warm_deadline": old.warm_deadline,
        }
        target = make_target(old.incarnation, self.service, **(fields | changes))
        self.targets[old.incarnation] = target

    def leave(self, name):
        self.change(name, state=TargetState.LEAVING)

    def restart_agent(self, name, replicate=True, same_incarnation=False):
        """Replace the agent of a running target, at the same address."""
        old = self.find(name)
        agent = self.find_agent(name)
        if replicate:
            for _ in agent.advertise_flows(to_backups=True):
                pass
            self._deliver_notices(agent)
        self.now += 0.1
        if same_incarnation:
            address = old.announcement.packets.as_pair()
            self.agents[address] = FlowOwner(agent.state.flows.limit, self.now)
            return old
        del self.targets[old.incarnation]
        return self.add(name, packets=old.announcement.packets)

    def make_slice(self):
        self.revision += 1
        targets = sorted(self.targets.values(), key=lambda target: target.incarnation)
        self.slice = make_slice(targets, self.revision, self.service)
        return self.slice

    def publish(self, agents=None, balancers=None):
        """Update the tables of the named agents and balancers; None means all."""
        slice_ = self.make_slice()
        balancer_numbers = (
            range(len(self.balancers)) if balancers is None else balancers
        )
        for number in balancer_numbers:
            self.balancers[number].update(make_configuration(slice_), self.now)
        table = ServiceTable(slice_, self.now)
        for target in list(self.targets.values()):
            if agents is None or target.name in agents:
                self.update_agent(target, table)
        # Agents that have just started wait for the replies to their recall.
        self.now += RECALL_TIMEOUT_SECONDS

    def update_agent(self, target, table):
        agent = self.agents[target.announcement.packets.as_pair()]
        agent.update(table, target.incarnation, self.now)
        for _ in agent.advertise_flows(to_backups=False):
            pass
        self._deliver_notices(agent)

    def send_loads(self):
        for agent in self.agents.values():
            agent.send_load()
            self._deliver_notices(agent)

    def replicate_flows(self):
        for agent in self.agents.values():
            agent.replicate_flows()
            self._deliver_notices(agent)

    def send(self, packet, balancer=0):
        """Send a packet through a balancer and return its outcome."""
        try:
            address, header_bytes = self.balancers[balancer].route(packet, self.now)
        except PacketError as error:
            return Outcome(reason=str(error))
        header, _ = read_datagram(header_bytes + packet).unwrap()
        return self.follow(address, header, packet)

    def follow(self, address, header, packet):
        key, packet_flags = scan_packet(packet)
        visits = []
        for _ in range(MAX_HOPS):
            if address not in self.agents or address in self.dead:
                return Outcome(visits=tuple(visits), reason="lost")
            agent = self.agents[address]
            visits.append(address[1])
            action = agent.handle(header, key, packet_flags, self.now)
            self._deliver_notices(agent)
            if action.kind != ActionKind.FORWARD:
                return self._end(action, address, visits)
            address, header = action.socket_address, action.header
        raise AssertionError(f"packet was forwarded in a loop: {visits}")

    def _end(self, action, address, visits):
        if action.kind == ActionKind.DELIVER:
            names_by_address = {
                target.announcement.packets.as_pair(): target.name
                for target in self.targets.values()
            }
            return Outcome(names_by_address[address], tuple(visits))
        reset = action.kind == ActionKind.RESET
        return Outcome("", tuple(visits), action.reason, reset)

    def _deliver_notices(self, agent):
        for notice in agent.take_notices():
            receiver = self.agents.get(notice.socket_address)
            if (
                receiver is None
                or self.lose_notices
                or notice.socket_address in self.dead
            ):
                continue
            header, payload = read_datagram(notice.data).unwrap()
            if header.kind in self.dropped_kinds:
                continue
            reason = receiver.receive(header, payload, self.now)
            assert reason in ("", "not_ready", "recall_late")
            if header.kind == DatagramKind.RECALL:
                self._deliver_notices(receiver)

    def open(self, port, balancer=0):
        """Open a TCP flow; return the target that accepted it."""
        outcome = self.send(make_tcp(SYN, port=port), balancer)
        assert outcome.target, outcome
        return outcome.target

    def send_ack(self, port, balancer=0):
        """Send a later packet of a flow."""
        return self.send(make_tcp(ACK, port=port), balancer)
