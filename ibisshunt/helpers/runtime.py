"""Make gRPC work with gevent."""

import os
from typing import Final

import gevent

# gRPC reads this variable when it is imported. Its fork handlers stop its threads in
# the parent and restart them in the child before the exec; both the parent and the
# child can deadlock there. Here an exec follows each fork, so that the child does not
# need gRPC.
os.environ.setdefault("GRPC_ENABLE_FORK_SUPPORT", "0")

import grpc.experimental.gevent as grpc_gevent

# gRPC polls each busy connection from a thread of the hub's pool. With gevent's default
# of 10 threads the eleventh connection of a process blocks all of them, and every call
# fails with DEADLINE_EXCEEDED. Threads are created on demand.
MAX_POLL_THREADS: Final = 2_000


def prepare_grpc() -> None:
    """Initialize gRPC for gevent; call once, after patching the standard library."""
    grpc_gevent.init_gevent()
    gevent.get_hub().threadpool.maxsize = MAX_POLL_THREADS
