"""Fakes of the replicated log and of a gRPC call context."""

import grpc
from returns.result import Failure, Success

from ibisshunt.exceptions import Fault


class Aborted(Exception):
    """Carry the status code and text with which a handler aborted a call."""


class FakeContext:
    def __init__(self, active=1_000):
        self.remaining_checks = active

    def is_active(self):
        self.remaining_checks -= 1
        return self.remaining_checks >= 0

    def abort(self, code: grpc.StatusCode, text):
        raise Aborted(code, text)


class FakeLog:
    """Apply commands at once; tests can disconnect it or change the leader."""

    def __init__(self, name, machine, peers):
        self.name = name
        self.peers = peers
        self.machine = machine
        self.index = 0
        self.leading = name
        self.connected = True
        self.commands = []

    def propose(self, command, timeout):
        if not self.connected or self.leading != self.name:
            return Failure(Fault("propose", "", "not accepted"))
        self.index += 1
        self.commands.append(command)
        return Success(self.machine.apply(self.index, command))

    def read_barrier(self, timeout):
        if not self.connected:
            return Failure(Fault("read barrier", "", "no quorum in time"))
        return Success(self.index)

    def get_leader_name(self):
        return self.leading

    def is_leading(self):
        return self.leading == self.name

    def find_leader_address(self):
        return self.peers.get(self.leading)

    def stop(self):
        pass
