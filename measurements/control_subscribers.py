"""Watch a control host from many channels and print when each change arrived."""

from gevent import monkey

monkey.patch_all()

import grpc.experimental.gevent as grpc_gevent

grpc_gevent.init_gevent()

import json
import sys
import time

import gevent

from ibisshunt.coordination.distribution.receiver import ActiveConfiguration, receive
from ibisshunt.exceptions import RpcError
from ibisshunt.model.address import parse_address
from ibisshunt.protocol.messages import WATCH, WatchRequest
from ibisshunt.protocol.rpc import Channel


class Subscriber:
    """Follow one stream and note when each revision came into force."""

    def __init__(self, address, name):
        self.channel = Channel(address)
        self.name = name
        self.in_force = {}
        self.updates = 0

    def run(self):
        """Put each update in force until the stream ends."""
        received = ActiveConfiguration()
        try:
            for update in self.channel.stream(WATCH, WatchRequest(self.name, 0)):
                received = receive(received, update).active
                self.updates += 1
                revision = received.configuration.revision
                self.in_force.setdefault(revision, time.monotonic())
        except RpcError:
            return


def main():
    """Run subscribers until standard input closes, then print what they saw."""
    address = parse_address(sys.argv[1]).unwrap()
    count, process = int(sys.argv[2]), sys.argv[3]
    subscribers = [Subscriber(address, f"{process}-{n}") for n in range(count)]
    for subscriber in subscribers:
        gevent.spawn(subscriber.run)
    gevent.get_hub().threadpool.apply(sys.stdin.read)
    print(
        json.dumps(
            {
                "cpu_seconds": time.process_time(),
                "updates": sum(found.updates for found in subscribers),
                "in_force": [found.in_force for found in subscribers],
            }
        )
    )
    sys.stdout.flush()


if __name__ == "__main__":
    main()
